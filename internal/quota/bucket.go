package quota

import (
	"slices"
	"time"
)

// bucket holds the tokens of a workspace at one instance. Tokens come in at its own rate,
// less what it lends, and at rates that it borrows.
type bucket struct {
	share          share        // its own part of the quota; none if the instance is no holder
	lent           []loan       // parts of it that others use
	borrowed       []loan       // parts of others that it uses
	borrowedTokens []tokenBatch // single tokens of others, by their ends

	stock       float64   // tokens; 0 to most
	filledUntil time.Time // until when tokens came in
}

// share is a part of a quota.
type share struct {
	rate     float64 // tokens a second
	maxStock float64 // tokens that it lets a bucket hold
}

// loan is a part of a share that another instance uses for a while.
type loan struct {
	share

	until time.Time
}

// tokenBatch is tokens that another instance gave.
type tokenBatch struct {
	count int
	until time.Time
}

// available returns what the bucket may use at a time.
func (b *bucket) available(at time.Time) share {
	s := b.share
	for _, l := range b.lent {
		if at.Before(l.until) {
			s.rate, s.maxStock = s.rate-l.rate, s.maxStock-l.maxStock
		}
	}
	for _, l := range b.borrowed {
		if at.Before(l.until) {
			s.rate, s.maxStock = s.rate+l.rate, s.maxStock+l.maxStock
		}
	}
	return share{rate: max(0, s.rate), maxStock: max(0, s.maxStock)}
}

// fill lets tokens come in from a time on; those from before are there already.
func (b *bucket) fill(from, now time.Time) {
	if from.Before(b.filledUntil) {
		from = b.filledUntil
	}
	if now.After(from) {
		b.stock += b.share.rate * now.Sub(from).Seconds()
		b.stock -= inflow(b.lent, from, now)
		b.stock += inflow(b.borrowed, from, now)
		b.filledUntil = now
	}
	over := func(l loan) bool { return !now.Before(l.until) }
	b.lent = slices.DeleteFunc(b.lent, over)
	b.borrowed = slices.DeleteFunc(b.borrowed, over)
	b.stock = max(0, min(b.stock, b.available(now).maxStock))
}

// inflow is how many tokens loans are worth within a span.
func inflow(loans []loan, from, to time.Time) float64 {
	sum := 0.0
	for _, l := range loans {
		end := to
		if l.until.Before(end) {
			end = l.until
		}
		if end.After(from) {
			sum += l.rate * end.Sub(from).Seconds()
		}
	}
	return sum
}

// take takes a token, of those of others first: they don't last.
func (b *bucket) take(now time.Time) bool {
	for len(b.borrowedTokens) > 0 {
		first := &b.borrowedTokens[0]
		if first.count > 0 && now.Before(first.until) {
			first.count--
			return true
		}
		b.borrowedTokens = b.borrowedTokens[1:]
	}
	if b.stock < 1 {
		return false
	}
	b.stock--
	return true
}

// give takes out tokens for another instance: as many as are wanted, and at most half of
// the stock, but for the last one.
func (b *bucket) give(want int) int {
	if b.stock < 1 {
		return 0
	}
	given := min(want, max(1, int(b.stock/2)))
	b.stock -= float64(given)
	return given
}

// lend gives away a part of the share, as large a part of the rate as of the stock, and
// at most a rate.
func (b *bucket) lend(now time.Time, rate float64) share {
	left := b.available(now)
	if b.share.rate <= 0 || rate <= 0 {
		return share{}
	}
	rate = min(rate, left.rate)
	part := share{rate: rate, maxStock: min(left.maxStock, b.share.maxStock*rate/b.share.rate)}
	b.lent = append(b.lent, loan{share: part, until: now.Add(rateLoanDuration)})
	b.stock = min(b.stock, b.available(now).maxStock)
	return part
}

// tokensLeft is how many tokens are here.
func (b *bucket) tokensLeft(now time.Time) float64 {
	left := b.stock
	for _, t := range b.borrowedTokens {
		if now.Before(t.until) {
			left += float64(t.count)
		}
	}
	return left
}
