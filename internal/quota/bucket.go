package quota

import (
	"slices"
	"time"
)

// bucket holds the tokens of a workspace at one instance. It fills at the rate of its own share,
// less what it lends, and at rates that it borrows.
type bucket struct {
	share          share        // its own part of the quota; zero if the instance is no holder
	lent           []loan       // parts of the share that others use
	borrowed       []loan       // parts of others' shares that it uses
	borrowedTokens []tokenBatch // single tokens of others, in order of their expiry

	stock       float64   // tokens; from 0 to the maximum stock
	filledUntil time.Time // the time up to which the stock is filled
}

// share is a part of a quota.
type share struct {
	rate     float64 // tokens per second
	maxStock float64 // tokens by which it raises the capacity of a bucket
}

// loan is a part of a share that another instance uses until a time.
type loan struct {
	share

	until time.Time
}

// tokenBatch is a number of tokens that another instance gave.
type tokenBatch struct {
	count int
	until time.Time
}

// available returns the rate and capacity of the bucket at a time, with its loans.
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

// fill adds the tokens since a time, or since the last fill if that is later.
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
	expired := func(l loan) bool { return !now.Before(l.until) }
	b.lent = slices.DeleteFunc(b.lent, expired)
	b.borrowed = slices.DeleteFunc(b.borrowed, expired)
	b.stock = max(0, min(b.stock, b.available(now).maxStock))
}

// inflow returns how many tokens loans are worth within a span.
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

// take takes a token, preferably a borrowed one, because those expire.
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

// give removes tokens for another instance: as many as it requests, and at most half of the stock,
// or the last one.
func (b *bucket) give(want int) int {
	if b.stock < 1 {
		return 0
	}
	given := min(want, max(1, int(b.stock/2)))
	b.stock -= float64(given)
	return given
}

// lend lends a part of the share, at most the given rate. It covers as large a part of the capacity
// as of the rate.
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

// tokensLeft returns how many tokens the bucket holds, borrowed ones included.
func (b *bucket) tokensLeft(now time.Time) float64 {
	left := b.stock
	for _, t := range b.borrowedTokens {
		if now.Before(t.until) {
			left += float64(t.count)
		}
	}
	return left
}
