package core

import (
	"time"

	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// The baselines are plain ways of choosing a target, kept to measure against.
// They know no owners and no limits: each instance sends to any target.

// baseline says whether the node runs one of the plain policies.
func (n *Node) baseline() bool { return n.cfg.Policy != PolicyOwner }

// tryBaseline sends the request to a target of this place.
func (n *Node) tryBaseline(now time.Time, f *inFlight, reason Reason) (Reason, bool) {
	keys := n.untried(now, f)
	if len(keys) == 0 {
		return ReasonNoTargets, false
	}
	key := keys[n.cfg.Rand.IntN(len(keys))]
	if n.cfg.Policy == PolicyTwo {
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

// probedTargets says which targets this instance probes.
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

// handOffMode names what a hand-off to another place needs.
type handOffMode int

const (
	handOffGranted  handOffMode = iota // a grant, or to be the first to ask for one
	handOffReserved                    // the same, and granted slots are kept free of other requests
	handOffWindow                      // a few at first, more only as far as answers come
	handOffAlways                      // nothing
)

func (s handOffMode) ungranted() bool { return s == handOffWindow || s == handOffAlways }

// chooseUngranted finds a peer of another place by a baseline.
func (n *Node) chooseUngranted(now time.Time, f *inFlight, place string, peers []Peer) (Peer, Reason) {
	if n.cfg.handOff == handOffAlways {
		return peers[n.cfg.Rand.IntN(len(peers))], ReasonUngranted
	}
	p, why := n.choosePeer(now, f, place)
	return p, or(why, ReasonUngranted)
}

// reserved is how many free slots are kept for granted requests: none but in a baseline.
func (n *Node) reserved(now time.Time, id settings.ServiceID, granted bool) int {
	if n.cfg.handOff != handOffReserved || granted {
		return 0
	}
	return n.grants.Outstanding(now, id)
}
