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
	// trialGap spaces the requests that show whether a target still has its limit where
	// nobody may send any otherwise.
	trialGap = 10 * time.Second
	// againLimited is the longest that a refused caller is told to wait for limits: they may
	// end any time. placesTime is the span in which callers that may come back at the same
	// time are given their places, mostGap the most between two of these.
	againLimited = 1500 * time.Millisecond
	placesTime   = time.Second
	mostGap      = placesTime / 8
)

// limit is how many requests a target takes from all instances together, and this instance's
// part of them.
type limit struct {
	named bool
	rate  float64   // requests a second; 0 or more
	heard time.Time // when an answer last named it, or said that there is none
	tried time.Time // when a request was last sent without a token

	part   part
	tokens float64   // requests that may be sent; 0 to part.most
	filled time.Time // until when tokens came in
}

// part is an instance's part of a limit. The parts of all hold no more tokens together than a
// window has beyond the rate, and take in no more than the rate.
type part struct {
	division int // of the peers by which it was divided; 0 if it has to be divided
	rank     int // of this instance for the target
	rate     float64
	most     float64 // tokens that it may save up
}

// name takes in that an answer named the limit.
func (l *limit) name(now time.Time, rate float64) {
	if !l.named {
		*l = limit{named: true, filled: now}
	}
	if l.rate != rate {
		l.rate, l.part.division = rate, 0
	}
	l.heard = now
}

// divideLimit returns this instance's part. A limit is divided evenly among as many instances
// as can save up a token each; those that rank lower for the target have none.
func (f *Fleet) divideLimit(t *target, rate float64) part {
	n := len(f.peers)
	if n == 0 {
		return part{division: f.division}
	}
	stock := shareOfBound * ((limitOver-1)*rate*limitWindow.Seconds() + limitSlack)
	holders := int(math.Min(stock, float64(n)))
	p := part{division: f.division, rank: f.rank(t)}
	if p.rank < holders {
		p.rate, p.most = rate/float64(holders), stock/float64(holders)
	}
	return p
}

// fill takes in the tokens up to now.
func (f *Fleet) fill(now time.Time, t *target) {
	l := &t.constraints.limit
	if l.part.division != f.division {
		l.part = f.divideLimit(t, l.rate)
	}
	l.tokens = min(l.part.most, l.tokens+l.part.rate*now.Sub(l.filled).Seconds())
	l.filled = now
}

// limitRoom returns how long until the target may get a request of this instance, as far as
// its limit goes; 0 if it may now.
func (f *Fleet) limitRoom(now time.Time, t *target) time.Duration {
	if t.constraints == nil || !t.constraints.limit.named {
		return 0
	}
	f.fill(now, t)
	l := &t.constraints.limit
	if l.tokens >= 1 {
		return 0
	}
	wait := max(0, l.trialAt(len(f.peers)).Sub(now))
	return min(wait, waitFor(1-l.tokens, l.part.rate))
}

// waitFor is how long so many tokens take to come in at a rate; noticeLife at most, as rates may
// be as small as anything.
func waitFor(tokens, rate float64) time.Duration {
	if tokens >= rate*noticeLife.Seconds() {
		return noticeLife
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// trialAt is when this instance may try whether the limit is over without a token. Each has
// its turn, by its rank, after the limit was last heard of.
func (l *limit) trialAt(peers int) time.Time {
	last := later(l.heard, l.tried)
	if peers == 0 {
		return last.Add(noticeLife)
	}
	return last.Add(time.Duration(l.part.rank+1) * trialGap)
}

// spend takes the token of a request to the target.
func (f *Fleet) spend(now time.Time, t *target) {
	if t.constraints == nil || !t.constraints.limit.named {
		return
	}
	l := &t.constraints.limit
	if l.tokens < 1 {
		l.tried = now
	}
	l.tokens = max(0, l.tokens-1)
}

// place returns when a refused caller should come back: one after the other from a time on, as
// each takes so long, so that they don't come back at once.
func (s *service) place(now, first time.Time, each time.Duration) time.Duration {
	at := s.booked.Add(each)
	if at.Before(first) || at.Sub(first) > placesTime {
		at = first
	}
	s.booked = at
	return max(againSoonest, at.Sub(now))
}

// limitGap is how long it takes until this instance may send one more request to any target
// of a service, where all have limits; mostGap at most.
func (f *Fleet) limitGap(now time.Time, s *service) time.Duration {
	rate := 0.0
	for _, t := range s.targets {
		if f.open(t) && t.constraints != nil && t.constraints.limit.named {
			f.fill(now, t)
			rate += t.constraints.limit.part.rate
		}
	}
	return min(mostGap, waitFor(1, rate))
}

// Part is the limit that a target has named, and this instance's part of it, in requests a second.
type Part struct{ Limit, Rate float64 }

// limitPart is the part of the target's limit; nil if it has named none.
func (t *target) limitPart() *Part {
	if t.constraints == nil || !t.constraints.limit.named {
		return nil
	}
	l := &t.constraints.limit
	return &Part{Limit: l.rate, Rate: l.part.rate}
}
