package steer

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/retry"
)

// newBudget makes this instance's part of a service's retry budget: the ratio for
// its own requests, and its part of the slack. The sums over all instances stay
// within the bound by construction.
func (f *Fleet) newBudget(now time.Time) *retry.Window {
	w := retry.NewWindow(now, f.cfg.RetryWindow, dividedShare*f.cfg.RetryRatio)
	w.SetSlack(f.slack())
	return w
}

// slack is this instance's part of the retries besides the ratio: nothing before
// it knows how many share them.
func (f *Fleet) slack() float64 {
	if len(f.peers) == 0 {
		return 0
	}
	return dividedShare * float64(f.cfg.RetrySlack) / float64(len(f.peers))
}

// coldShare is how many requests this instance may send to a cold target within
// coldWindow. The bound of the target is divided evenly; what is left over goes to
// the instances that rank first for this target, so that a bound below the number
// of instances is used too. The shares sum up to the bound at most.
func (f *Fleet) coldShare(t *target) int {
	if len(f.peers) == 0 {
		return 0
	}
	bound := int(dividedShare * (f.services[t.Service].limits.ColdRate*f.cfg.ColdFactor + f.cfg.ColdSlack))
	share, remainder := bound/len(f.peers), bound%len(f.peers)
	if f.rank(t) < remainder {
		share++
	}
	return share
}

// rank is the place of this instance among all in the order that t's ID gives.
func (f *Fleet) rank(t *target) int {
	if !slices.Contains(f.peers, f.cfg.Instance) {
		return len(f.peers)
	}
	own := mix(t.idHash, hash(f.cfg.Instance))
	n := 0
	for _, seed := range f.peerHashes {
		if mix(t.idHash, seed) > own {
			n++
		}
	}
	return n
}

// coldAllowed says whether a target may get a request as far as it is cold.
func (f *Fleet) coldAllowed(now time.Time, t *target) bool {
	return !t.cold(now) || t.recentColdRequests(now) < f.coldShare(t)
}
