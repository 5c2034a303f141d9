package steer

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/retry"
)

// perThousand is the unit of the retry budget's share.
const perThousand = 1000

// newBudget makes this instance's part of a service's retry budget: its share of
// the slack as a burst, and the ratio for each of its own requests. The sums over
// all instances stay within the bound by construction. It starts empty.
func (f *Fleet) newBudget(now time.Time) *retry.Budget {
	n := max(1, len(f.peers))
	cfg := retry.Config{
		Share:   int(shareOfBound * f.cfg.RetryRatio * perThousand),
		Minimum: retry.NoMinimum,
		Burst:   max(1, int(shareOfBound*float64(f.cfg.RetrySlack))/n),
	}
	if f.peers == nil {
		cfg.Burst = 1 // nobody knows yet how many share the budget
	}
	b, err := retry.NewBudget(now, cfg)
	if err != nil {
		panic(err) // Validate bounds RetryRatio, which is all that can be wrong
	}
	return b
}

// coldShare is how many requests this instance may send to a cold target within
// coldWindow. The bound of the target is divided evenly; what is left over goes to
// the instances that rank first for this target, so that a bound below the number
// of instances is used too. The shares sum up to the bound at most.
func (f *Fleet) coldShare(t *target) int {
	if len(f.peers) == 0 {
		return 0
	}
	bound := int(shareOfBound * (f.services[t.Service].limits.ColdRate*f.cfg.ColdFactor + f.cfg.ColdSlack))
	share, rest := bound/len(f.peers), bound%len(f.peers)
	if f.rank(t) < rest {
		share++
	}
	return share
}

// rank is the place of this instance among all in the order that t's ID gives.
func (f *Fleet) rank(t *target) int {
	own := mix(t.seed, hash(f.cfg.Instance))
	n := 0
	for _, p := range f.peers {
		if p != f.cfg.Instance && mix(t.seed, hash(p)) > own {
			n++
		}
	}
	if !slices.Contains(f.peers, f.cfg.Instance) {
		return len(f.peers)
	}
	return n
}

// coldRoom says whether a target may get a request as far as it is cold.
func (f *Fleet) coldRoom(now time.Time, t *target) bool {
	return !t.cold(now) || t.recent(now) < f.coldShare(t)
}
