package steer

import (
	"math"
	"time"
)

// Bounds on requests to a target that announced a limit: within limitWindow, all instances
// together send at most limitOver times the limit plus limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5.0
)

const (
	// probeInterval is the interval of requests that probe whether a target still has its limit,
	// when no instance may send any otherwise.
	probeInterval = 10 * time.Second
	// maxLimitWait is the longest time after which a caller refused for limits is asked to retry,
	// as limits may end at any time. retrySpread is the span over which callers that may retry at
	// the same time are spread, and maxRetryGap the longest gap between two of them.
	maxLimitWait = 1500 * time.Millisecond
	retrySpread  = time.Second
	maxRetryGap  = retrySpread / 8
)

// limit is the number of requests that a target accepts from all instances together, and this
// instance's share of it.
type limit struct {
	active     bool
	rate       float64   // requests per second; 0 or more
	observedAt time.Time // when an answer last gave the limit, or showed that there is none
	probedAt   time.Time // when a request was last sent without a token

	share      tokenShare
	tokens     float64   // requests that may be sent; 0 to share.burst
	refilledAt time.Time // when tokens were last added
}

// tokenShare is one instance's share of a limit. Together, the shares of all instances hold no
// more tokens than a window allows beyond the rate, and refill at no more than the rate.
type tokenShare struct {
	peersVersion int // Fleet.peersVersion at which it was computed; 0: has to be computed
	rank         int // of this instance in the target's order of instances
	rate         float64
	burst        float64 // most tokens that can accumulate
}

// observe records that an answer gave the limit.
func (l *limit) observe(now time.Time, rate float64) {
	if !l.active {
		*l = limit{active: true, refilledAt: now}
	}
	if l.rate != rate {
		l.rate, l.share.peersVersion = rate, 0
	}
	l.observedAt = now
}

// tokenShareOf returns this instance's share of a limit. The limit is divided evenly among as
// many instances as can accumulate a whole token each; instances that rank lower for the target
// get no share.
func (f *Fleet) tokenShareOf(t *target, rate float64) tokenShare {
	n := len(f.peers)
	if n == 0 {
		return tokenShare{peersVersion: f.peersVersion}
	}
	totalTokens := dividedShare * ((limitOver-1)*rate*limitWindow.Seconds() + limitSlack)
	holders := int(math.Min(totalTokens, float64(n)))
	p := tokenShare{peersVersion: f.peersVersion, rank: f.rank(t)}
	if p.rank < holders {
		p.rate, p.burst = rate/float64(holders), totalTokens/float64(holders)
	}
	return p
}

// refill adds the tokens accrued up to now.
func (f *Fleet) refill(now time.Time, t *target) {
	l := &t.constraints.limit
	if l.share.peersVersion != f.peersVersion {
		l.share = f.tokenShareOf(t, l.rate)
	}
	l.tokens = min(l.share.burst, l.tokens+l.share.rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
}

// limitWait returns how long the target's limit keeps this instance from sending it a request; 0
// if it may send one now.
func (f *Fleet) limitWait(now time.Time, t *target) time.Duration {
	if t.constraints == nil || !t.constraints.limit.active {
		return 0
	}
	f.refill(now, t)
	l := &t.constraints.limit
	if l.tokens >= 1 {
		return 0
	}
	wait := max(0, l.probeAt(len(f.peers)).Sub(now))
	return min(wait, refillTime(1-l.tokens, l.share.rate))
}

// refillTime returns how long the given tokens take to accrue at a rate. It is capped at
// noticeTTL, as a rate may be arbitrarily small.
func refillTime(tokens, rate float64) time.Duration {
	if tokens >= rate*noticeTTL.Seconds() {
		return noticeTTL
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// probeAt returns when this instance may probe without a token whether the limit is over. After
// the limit was last observed, the instances probe in turn, in the order of their ranks.
func (l *limit) probeAt(peers int) time.Time {
	last := later(l.observedAt, l.probedAt)
	if peers == 0 {
		return last.Add(noticeTTL)
	}
	return last.Add(time.Duration(l.share.rank+1) * probeInterval)
}

// spendToken takes the token for a request to the target.
func (f *Fleet) spendToken(now time.Time, t *target) {
	if t.constraints == nil || !t.constraints.limit.active {
		return
	}
	l := &t.constraints.limit
	if l.tokens < 1 {
		l.probedAt = now
	}
	l.tokens = max(0, l.tokens-1)
}

// scheduleRetry returns after which time a refused caller should retry. From first on, retries
// are spaced by gap, which keeps callers from returning all at once.
func (s *service) scheduleRetry(now, first time.Time, gap time.Duration) time.Duration {
	at := s.retriesUntil.Add(gap)
	if at.Before(first) || at.Sub(first) > retrySpread {
		at = first
	}
	s.retriesUntil = at
	return max(minRetryAfter, at.Sub(now))
}

// limitRetryGap returns how long it takes until this instance may send one more request to any
// target of a service whose targets all have limits; maxRetryGap at most. It is estimated from the
// targets that the request may go to.
func (f *Fleet) limitRetryGap(now time.Time, s *service, q *Query) time.Duration {
	rate, considered := 0.0, 0
	for t := range s.window(q).all {
		considered++
		if f.available(t) && t.constraints != nil && t.constraints.limit.active {
			f.refill(now, t)
			rate += t.constraints.limit.share.rate
		}
	}
	return min(maxRetryGap, refillTime(1, rate*float64(len(s.targets))/float64(max(1, considered))))
}

// LimitShare is the limit that a target announced, and this instance's share of it, both in requests
// per second.
type LimitShare struct{ Limit, Rate float64 }

// limitShare returns the target's limit and this instance's share of it; nil if there is no
// limit.
func (t *target) limitShare() *LimitShare {
	if t.constraints == nil || !t.constraints.limit.active {
		return nil
	}
	l := &t.constraints.limit
	return &LimitShare{Limit: l.rate, Rate: l.share.rate}
}
