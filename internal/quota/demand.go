package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// demandWindow is the time over which the demand of a workspace is smoothed.
	demandWindow = time.Second
	// maxAsked is how many holders are asked for one token, in turn: with 3, 6% of what a
	// workspace asked below its limit were refused when its callers were all in one of six
	// failure domains, with 5 it is 1%.
	maxAsked = 5
	// retryAfterMin and againMost bound when a refused caller is told to come back: a caller
	// follows that for a third of its time, which is 4 s and more.
	retryAfterMin = 50 * time.Millisecond
	retryAfterMax = 1500 * time.Millisecond
)

// quota is what this instance knows of a workspace's quota.
type quota struct {
	bucket

	limit   Limit
	divided bool     // the share and who to ask are as the members are
	holders []Member // the other holders, the nearest first

	avoidUntil map[string]time.Time // by name: holders that gave less than wanted are not asked before

	demand      float64   // requests a second, smoothed over demandTime
	demandAt    time.Time // until when demand is smoothed
	lastRetryAt time.Time // refused callers were told to come back until then
}

// decayDemand lets the demand decayDemand to a time.
func (q *quota) decayDemand(now time.Time) {
	if passed := now.Sub(q.demandAt); passed > 0 {
		q.demand *= math.Exp(-passed.Seconds() / demandWindow.Seconds())
		q.demandAt = now
	}
}

// countRequest takes a request into the demand.
func (q *quota) countRequest(now time.Time) {
	q.decayDemand(now)
	q.demand += 1 / demandWindow.Seconds()
}

// want is what to ask others for: tokens for the requests of loanTime, and what the
// share lacks for the demand.
func (q *quota) want(now time.Time) Want {
	w := Want{Tokens: 1 + int(q.demand*tokenLifetime.Seconds())}
	if q.demand >= minBorrowDemand {
		w.Rate = max(0, headroom*q.demand-q.available(now).rate)
	}
	return w
}

// holdersToAsk lists the holders that may have tokens, askMost at most.
func (q *quota) holdersToAsk(now time.Time) []Member {
	var list []Member
	for _, m := range q.holders {
		if len(list) < maxAsked && !now.Before(q.avoidUntil[m.Name]) {
			list = append(list, m)
		}
	}
	return list
}

// pruneAvoided drops what is known of instances that hold nothing of this quota any more:
// they are replaced all the time.
func (q *quota) pruneAvoided() {
	maps.DeleteFunc(q.avoidUntil, func(name string, _ time.Time) bool {
		return !slices.ContainsFunc(q.holders, func(m Member) bool { return m.Name == name })
	})
}

// untilNextToken is how long until the bucket holds a token.
func (q *quota) untilNextToken(now time.Time) time.Duration {
	rate := q.available(now).rate
	if rate <= 0 {
		return partialBackoff
	}
	return time.Duration(max(0, 1-q.stock) / rate * float64(time.Second))
}

// retryAfter is when a refused caller should come back: each is told the time of a token of
// its own, so that they don't come back at once.
func (q *quota) retryAfter(now time.Time) time.Duration {
	at := now.Add(q.untilNextToken(now))
	if rate := q.available(now).rate; rate > 0 && q.lastRetryAt.After(now) {
		at = q.lastRetryAt.Add(time.Duration(float64(time.Second) / rate))
	}
	if most := now.Add(retryAfterMax); at.After(most) {
		at = most
	}
	q.lastRetryAt = at
	return max(retryAfterMin, at.Sub(now))
}
