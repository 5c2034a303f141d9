package core

import (
	"time"

	"github.com/firlever/firlever/internal/owner"
)

// The baselines are plain ways of choosing a target, kept to measure against.
// They know no owners and no limits: each instance sends to any target.

// baseline says whether the node runs one of the plain policies.
func (n *Node) baseline() bool { return n.cfg.Policy != PolicyOwner }

// tryBaseline sends the request to a target of this place.
func (n *Node) tryBaseline(now time.Time, f *flight, reason Reason) (Reason, bool) {
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

func (n *Node) untried(now time.Time, f *flight) []owner.TargetKey {
	var keys []owner.TargetKey
	for _, key := range n.service(now, f.req.Service).keys {
		if !f.hasTried(key.Name) && !n.snapshot.TargetDrained(f.req.Service, key.Name) {
			keys = append(keys, key)
		}
	}
	return keys
}

// probedTargets says which targets this instance probes.
func (n *Node) probedTargets(now time.Time) []owner.TargetKey {
	if !n.baseline() {
		return n.book.Owned()
	}
	var keys []owner.TargetKey
	for _, id := range n.snapshot.Services() {
		keys = append(keys, n.service(now, id).keys...)
	}
	return keys
}
