package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// demandWindow is the time constant with which the demand of a workspace is smoothed.
	demandWindow = time.Second
	// maxAsked is how many holders are asked for one token, one after the other. With 3, 6% of the
	// requests of a workspace below its limit were refused when its callers were all in one of six
	// failure domains; with 5, 1%.
	maxAsked = 5
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to retry.
	// A caller follows that for a third of its timeout, which is 4 s or more.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// quota is this instance's state of a workspace's quota.
type quota struct {
	bucket

	limit   Limit
	divided bool     // share and holders match the current members and bounds
	holders []Member // the other holders, the nearest first

	avoidUntil map[string]time.Time // by name: holders that gave less than requested aren't asked before

	demand      float64   // requests per second, smoothed over demandWindow
	demandAt    time.Time // the time of demand
	lastRetryAt time.Time // the latest time at which a refused caller was told to retry
}

// decayDemand decays the demand to a time.
func (q *quota) decayDemand(now time.Time) {
	if passed := now.Sub(q.demandAt); passed > 0 {
		q.demand *= math.Exp(-passed.Seconds() / demandWindow.Seconds())
		q.demandAt = now
	}
}

// countRequest adds a request to the demand.
func (q *quota) countRequest(now time.Time) {
	q.decayDemand(now)
	q.demand += 1 / demandWindow.Seconds()
}

// want returns what to request from others: tokens for the demand of tokenLifetime, and the rate
// that the share lacks for the demand.
func (q *quota) want(now time.Time) Want {
	w := Want{Tokens: 1 + int(q.demand*tokenLifetime.Seconds())}
	if q.demand >= minBorrowDemand {
		w.Rate = max(0, headroom*q.demand-q.available(now).rate)
	}
	return w
}

// holdersToAsk returns the holders that may have tokens, at most maxAsked.
func (q *quota) holdersToAsk(now time.Time) []Member {
	var list []Member
	for _, m := range q.holders {
		if len(list) < maxAsked && !now.Before(q.avoidUntil[m.Name]) {
			list = append(list, m)
		}
	}
	return list
}

// pruneAvoided removes instances that hold nothing of this quota any more. Instances are replaced
// all the time, so the map would grow.
func (q *quota) pruneAvoided() {
	maps.DeleteFunc(q.avoidUntil, func(name string, _ time.Time) bool {
		return !slices.ContainsFunc(q.holders, func(m Member) bool { return m.Name == name })
	})
}

// untilNextToken returns how long it takes until the bucket holds a token.
func (q *quota) untilNextToken(now time.Time) time.Duration {
	rate := q.available(now).rate
	if rate <= 0 {
		return partialBackoff
	}
	return time.Duration(max(0, 1-q.stock) / rate * float64(time.Second))
}

// retryAfter returns after how long a refused caller should retry. Each caller gets the time of a
// token of its own, so that they don't all retry at once.
func (q *quota) retryAfter(now time.Time) time.Duration {
	at := now.Add(q.untilNextToken(now))
	if rate := q.available(now).rate; rate > 0 && q.lastRetryAt.After(now) {
		at = q.lastRetryAt.Add(time.Duration(float64(time.Second) / rate))
	}
	if most := now.Add(maxRetryAfter); at.After(most) {
		at = most
	}
	q.lastRetryAt = at
	return max(minRetryAfter, at.Sub(now))
}
