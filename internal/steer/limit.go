package steer

import (
	"math"
	"time"
)

// What a target that names a limit gets within limitWindow, over all instances, is at most
// limitOver times as much as it names, and limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5.0
)

const (
	// probeInterval spaces the requests that show whether a target still has its limit where
	// nobody may send any otherwise.
	probeInterval = 10 * time.Second
	// maxLimitWait is the longest that a refused caller is told to wait for limits: they may
	// end any time. placesTime is the span in which callers that may come back at the same
	// time are given their places, mostGap the most between two of these.
	maxLimitWait = 1500 * time.Millisecond
	retrySpread  = time.Second
	maxRetryGap  = retrySpread / 8
)

// limit is how many requests a target takes from all instances together, and this instance's
// part of them.
type limit struct {
	active     bool
	rate       float64   // requests a second; 0 or more
	observedAt time.Time // when an answer last named it, or said that there is none
	probedAt   time.Time // when a request was last sent without a token

	share      tokenShare
	tokens     float64   // requests that may be sent; 0 to part.most
	refilledAt time.Time // until when tokens came in
}

// tokenShare is an instance's tokenShare of a limit. The parts of all hold no more tokens together than a
// window has beyond the rate, and take in no more than the rate.
type tokenShare struct {
	peersVersion int // of the peers by which it was divided; 0 if it has to be divided
	rank         int // of this instance for the target
	rate         float64
	burst        float64 // tokens that it may save up
}

// observe takes in that an answer named the limit.
func (l *limit) observe(now time.Time, rate float64) {
	if !l.active {
		*l = limit{active: true, refilledAt: now}
	}
	if l.rate != rate {
		l.rate, l.share.peersVersion = rate, 0
	}
	l.observedAt = now
}

// tokenShareOf returns this instance's part. A limit is divided evenly among as many instances
// as can save up a token each; those that rank lower for the target have none.
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

// refill takes in the tokens up to now.
func (f *Fleet) refill(now time.Time, t *target) {
	l := &t.constraints.limit
	if l.share.peersVersion != f.peersVersion {
		l.share = f.tokenShareOf(t, l.rate)
	}
	l.tokens = min(l.share.burst, l.tokens+l.share.rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
}

// limitWait returns how long until the target may get a request of this instance, as far as
// its limit goes; 0 if it may now.
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

// refillTime is how long so many tokens take to come in at a rate; noticeLife at most, as rates may
// be as small as anything.
func refillTime(tokens, rate float64) time.Duration {
	if tokens >= rate*noticeTTL.Seconds() {
		return noticeTTL
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// probeAt is when this instance may try whether the limit is over without a token. Each has
// its turn, by its rank, after the limit was last heard of.
func (l *limit) probeAt(peers int) time.Time {
	last := later(l.observedAt, l.probedAt)
	if peers == 0 {
		return last.Add(noticeTTL)
	}
	return last.Add(time.Duration(l.share.rank+1) * probeInterval)
}

// spendToken takes the token of a request to the target.
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

// scheduleRetry returns when a refused caller should come back: one after the other from a time on, as
// each takes so long, so that they don't come back at once.
func (s *service) scheduleRetry(now, first time.Time, gap time.Duration) time.Duration {
	at := s.retriesUntil.Add(gap)
	if at.Before(first) || at.Sub(first) > retrySpread {
		at = first
	}
	s.retriesUntil = at
	return max(minRetryAfter, at.Sub(now))
}

// limitRetryGap is how long it takes until this instance may send one more request to any target
// of a service, where all have limits; mostGap at most.
func (f *Fleet) limitRetryGap(now time.Time, s *service) time.Duration {
	rate := 0.0
	for _, t := range s.targets {
		if f.available(t) && t.constraints != nil && t.constraints.limit.active {
			f.refill(now, t)
			rate += t.constraints.limit.share.rate
		}
	}
	return min(maxRetryGap, refillTime(1, rate))
}

// Part is the limit that a target has named, and this instance's part of it, in requests a second.
type Part struct{ Limit, Rate float64 }

// limitShare is the part of the target's limit; nil if it has named none.
func (t *target) limitShare() *Part {
	if t.constraints == nil || !t.constraints.limit.active {
		return nil
	}
	l := &t.constraints.limit
	return &Part{Limit: l.rate, Rate: l.share.rate}
}
