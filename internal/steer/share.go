package steer

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/retry"
)

// retrySpan is the time within which requests earn the retries that may be spent, as a part of the
// window of the bound. A longer one allows more retries at the same moment, and fewer in the long run.
const retrySpan = 0.4

// newBudget returns this instance's share of a service's retry budget: retries that its own requests
// of the last retrySpan have earned, and its share of the slack. Within a window of the bound, all
// instances and all their runs together spend what the requests of the window and of one span before
// it have earned, so the ratio and the slack are those of a window that is longer by the span.
func (f *Fleet) newBudget(now time.Time) *retry.Window {
	w := retry.NewWindow(now, f.budgetSpan(), f.retryShare())
	w.SetSlack(f.slack(), f.sharesFrom)
	return w
}

// budgetSpan returns the time within which requests earn the retries that may be spent.
func (f *Fleet) budgetSpan() time.Duration {
	return time.Duration(retrySpan * float64(f.cfg.RetryWindow))
}

// retryShare returns how many retries a request earns.
func (f *Fleet) retryShare() float64 { return f.cfg.RetryRatio / (1 + retrySpan) }

// StartShares gives this instance its shares of the bounds that are divided among the instances, once
// it knows them. Only the first call counts. What an earlier run has used is not known, so the slack of
// the retry budgets grows from then on. The shares of a newcomer begin later, when all others know it.
func (f *Fleet) StartShares(now time.Time, newcomer bool) {
	if f.sharesStarted() {
		return
	}
	f.sharesFrom = now
	if newcomer {
		f.sharesFrom = now.Add(newcomerDelay)
	}
	f.updateSlack()
}

func (f *Fleet) sharesStarted() bool { return f.cfg.Started.IsZero() || !f.sharesFrom.IsZero() }

// ConfirmShares tells that the store had this instance's record at a time. The others count it for
// expiredPeerTTL after that at least. Later they may divide its shares among themselves, though it
// still serves.
func (f *Fleet) ConfirmShares(now, recorded time.Time) {
	f.countedUntil = later(f.countedUntil, recorded.Add(expiredPeerTTL))
	f.updatePart(now)
}

// updatePart sets the part of bounds that is divided among instances like this one: those that the
// others count, or those that they may not count any more or not yet.
func (f *Fleet) updatePart(now time.Time) {
	part := dividedShare
	if !f.cfg.Started.IsZero() && !now.Before(f.countedUntil) {
		part = uncountedShare
	}
	if part != f.part {
		f.part = part
		f.updateSlack()
	}
}

// updateSlack sets the slack of all retry budgets.
func (f *Fleet) updateSlack() {
	for _, s := range f.services {
		s.budget.SetSlack(f.slack(), f.sharesFrom)
	}
}

// slack returns the retries that this instance may make within a retrySpan on top of the ratio; 0
// until the number of peers is known.
func (f *Fleet) slack() float64 {
	if len(f.peers) == 0 || !f.sharesStarted() {
		return 0
	}
	return f.part * float64(f.cfg.RetrySlack) * retrySpan / (1 + retrySpan) / float64(len(f.peers))
}

// RetryUsage returns what this instance has used of its share of a service's retry budget; zero if the
// service is unknown.
func (f *Fleet) RetryUsage(now time.Time, name string) retry.Usage {
	s, ok := f.services[name]
	if !ok {
		return retry.Usage{}
	}
	return s.budget.Usage(now)
}

// PeerCount returns the number of instances that bounds are divided among, including this one.
func (f *Fleet) PeerCount() int { return len(f.peers) }

// coldShare returns how many requests this instance may send to a cold target within coldWindow.
// The target's bound is divided evenly. The remainder goes to the instances that rank first for
// this target, which uses up a bound below the number of instances too. The shares add up to the
// bound at most. For one window after its start, in which an earlier run may have used its share, this
// instance counts as one that the others don't count.
func (f *Fleet) coldShare(now time.Time, t *target) int {
	if len(f.peers) == 0 || !f.sharesStarted() || now.Before(f.sharesFrom) {
		return 0
	}
	part := f.part
	if now.Before(f.cfg.Started.Add(coldWindow)) {
		part = uncountedShare
	}
	bound := int(part * (f.services[t.Service].limits.ColdRate*f.cfg.ColdFactor + f.cfg.ColdSlack))
	share, remainder := bound/len(f.peers), bound%len(f.peers)
	if f.rank(t) < remainder {
		share++
	}
	return share
}

// rank returns the position of this instance among all instances in the rendezvous order for t's
// ID. It is computed once for each change of the instances.
func (f *Fleet) rank(t *target) int {
	if t.rankedFor != f.peersVersion {
		t.rank, t.rankedFor = f.computeRank(t), f.peersVersion
	}
	return t.rank
}

func (f *Fleet) computeRank(t *target) int {
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

// coldAllowed reports whether the bound on requests to cold targets allows another request to the
// target.
func (f *Fleet) coldAllowed(now time.Time, t *target) bool {
	return !t.cold(now) || t.recentColdRequests(now) < f.coldShare(now, t)
}
