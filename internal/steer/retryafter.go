package steer

import (
	"time"

	"github.com/firlever/firlever/internal/reservation"
	"github.com/firlever/firlever/internal/retry"
)

// MaxReturnShare is the part of its remaining time after which a refused caller returns at the latest,
// whatever it is told.
const MaxReturnShare = 1.0 / 3

// retryAfter returns after which time the caller of a refused request should retry.
func (f *Fleet) retryAfter(now time.Time, s *service, q *Query, refused Choice) time.Duration {
	switch {
	case refused.Reason == LimitReached:
		return s.scheduleRetry(now, now.Add(refused.RetryAfter), f.limitRetryGap(now, s, q))
	case s.reserves(q) && reservable(refused.Reason):
		return f.reserveReturn(now, s, q, refused)
	default:
		return refused.RetryAfter
	}
}

// RefuseShed returns the refusal of a request that the targets have refused, with the time after which its
// caller should retry: when one has capacity, or when the first of them ends its back-off. It is
// 0 if the caller may retry at once.
func (f *Fleet) RefuseShed(now time.Time, q Query) Choice {
	s, ok := f.services[q.Service]
	if !ok {
		return Choice{}
	}
	if !f.anyEligible(now, s, &q) {
		c, _ := f.refuseBackingOff(now, s, &q)
		return c
	}
	if q.Objective <= 0 || !s.reserves(&q) {
		return Choice{}
	}
	q.Tried = nil
	c := f.best(now, s, &q)
	if !reservable(c.Reason) {
		return Choice{}
	}
	c.RetryAfter = f.reserveReturn(now, s, &q, c)
	c.Promised = q.promised
	return c
}

// reservable reports whether a caller that is refused for a reason gets a moment of its own to return.
func reservable(r Reason) bool { return r == NoCapacity || r == Cold }

// reserves reports whether the service reserves capacity for the return of a refused caller: its targets
// report their loads, the route of the request has an objective, and the return would be recognised.
func (s *service) reserves(q *Query) bool {
	return s.reportsLoad && !q.anyObjective && !q.Parallel && !q.ReturnFrom.IsZero()
}

// reserveReturn returns after which time the caller of a request that was refused for lack of capacity should
// retry. If no moment is left within the time that it waits, that is the time of the next one.
func (f *Fleet) reserveReturn(now time.Time, s *service, q *Query, refused Choice) time.Duration {
	latest := q.ReturnBy
	if latest.IsZero() {
		latest = now.Add(time.Duration(MaxReturnShare * float64(q.Deadline.Sub(now))))
	}
	caller := reservation.Caller{
		Hash: q.Fingerprint, Priority: q.Priority, Returned: q.Returned, NotBefore: later(now.Add(refused.RetryAfter), q.ReturnFrom),
		Latest: latest,
	}
	at, ok := s.returns.Reserve(now, caller, f.capacity(now, s, q))
	q.promised = ok
	return max(minRetryAfter, at.Sub(now))
}

// claimsReturn reports whether a request that was refused for lack of capacity is admitted to the
// capacity that is reserved for returns.
func (f *Fleet) claimsReturn(now time.Time, s *service, q *Query, reason Reason) bool {
	if !q.Returned || !s.reserves(q) || !reservable(reason) {
		return false
	}
	return s.returns.Claim(now, reservation.Caller{Hash: q.Fingerprint, Priority: q.Priority}, f.capacity(now, s, q))
}

// acceptsReturn reports whether the candidate gets a request that is admitted to the reserved capacity: it
// can answer before the deadline.
func (c *candidate) acceptsReturn(now time.Time, q *Query, e estimate, mean time.Duration) bool {
	return q.claimed && q.Deadline.After(now.Add(e.wait+mean+e.delay)) && !now.Before(c.shedUntil)
}

// minServed is the number of answers per second below which the last one is too long ago to tell
// anything about the capacity.
const minServed = 0.25

// capacity returns how many requests per second this instance can have served at a service: as many as
// were lately, or, as long as there were hardly any, an even share of what the slots allow.
func (f *Fleet) capacity(now time.Time, s *service, q *Query) float64 {
	if rate := s.served.PerSecond(now); rate >= minServed {
		return rate
	}
	slots := 0
	for t := range s.window(q).all {
		if f.available(t) {
			slots += t.Slots
		}
	}
	return float64(slots) / s.latency(q.Objective).Seconds() / float64(max(1, len(f.peers)))
}

// spendRetry takes a retry for which there is a target from the service's budget, and reports whether it
// did. Retries that can still be answered within the objective go before others, and the most
// urgent go first.
func (s *service) spendRetry(now time.Time, q *Query, c Choice) bool {
	class := min(retry.Classes/2-1, max(0, q.Priority))
	begin := q.ReceivedAt
	if begin.IsZero() {
		begin = now
	}
	if !q.anyObjective && now.Add(c.Wait+s.latency(q.Objective)).After(begin.Add(q.Objective)) {
		class += retry.Classes / 2
	}
	return s.retries.Spend(now, s.budget, class)
}
