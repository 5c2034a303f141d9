package core

import (
	"time"

	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// The baselines are simple policies for choosing a target, kept for comparison in
// measurements. They have no ownership and no limits: each instance sends to any target.

// baseline reports whether the node runs a baseline policy.
func (n *Node) baseline() bool { return n.cfg.Policy != PolicyOwner }

// tryBaseline sends the request to a target of this place.
func (n *Node) tryBaseline(now time.Time, f *inFlight, reason Reason) (Reason, bool) {
	keys := n.untried(now, f)
	if len(keys) == 0 {
		return ReasonNoTargets, false
	}
	key := keys[n.cfg.Rand.IntN(len(keys))]
	if n.cfg.Policy == PolicyTwoChoices {
		other := keys[n.cfg.Rand.IntN(len(keys))]
		if n.reports[other] < n.reports[key] {
			key = other
		}
	}
	f.unowned = true
	n.serve(now, f, key, reason)
	return "", true
}

func (n *Node) untried(now time.Time, f *inFlight) []owner.TargetKey {
	var keys []owner.TargetKey
	for _, key := range n.state(now, f.req.Service).keys {
		_, why := n.unavailableUntil(now, key)
		if why == "" && !f.hasTried(key.Name) && !n.snapshot.TargetDrained(f.req.Service, key.Name) {
			keys = append(keys, key)
		}
	}
	return keys
}

// probedTargets returns the targets that this instance probes.
func (n *Node) probedTargets(now time.Time) []owner.TargetKey {
	if !n.baseline() {
		return n.owners.Owned()
	}
	var keys []owner.TargetKey
	for _, id := range n.snapshot.Services() {
		keys = append(keys, n.state(now, id).keys...)
	}
	return keys
}

// handOffMode is what a hand-off to another place requires.
type handOffMode int

const (
	handOffGranted  handOffMode = iota // a grant, or a free slot among the few ungranted attempts
	handOffReserved                    // the same, and granted slots are reserved: other requests can't take them
	handOffWindow                      // free slots by the sender's estimate: few at first, more with each answer
	handOffAlways                      // nothing
)

func (s handOffMode) ungranted() bool { return s == handOffWindow || s == handOffAlways }

// chooseUngranted picks a peer of another place by a baseline policy.
func (n *Node) chooseUngranted(now time.Time, f *inFlight, place string, peers []Peer) (Peer, Reason) {
	if n.cfg.handOff == handOffAlways {
		return peers[n.cfg.Rand.IntN(len(peers))], ReasonUngranted
	}
	p, why := n.choosePeer(now, f, place)
	return p, or(why, ReasonUngranted)
}

// reserved returns how many free slots are reserved for granted requests. Only one
// baseline reserves any.
func (n *Node) reserved(now time.Time, id settings.ServiceID, granted bool) int {
	if n.cfg.handOff != handOffReserved || granted {
		return 0
	}
	return n.grants.Outstanding(now, id)
}
