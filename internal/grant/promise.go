package grant

import (
	"slices"
	"time"
)

// grant is a number of requests that may be handed off until a deadline.
type promise struct {
	n     int // over 0
	until time.Time
}

// grants is sorted by deadline.
type promises []promise

// drop removes the expired grants, and returns how many requests they covered.
func (p *promises) drop(now time.Time) int {
	lost, i := 0, 0
	for i < len(*p) && !now.Before((*p)[i].until) {
		lost += (*p)[i].n
		i++
	}
	*p = slices.Delete(*p, 0, i)
	return lost
}

// add inserts a grant in the order of deadlines.
func (p *promises) add(n int, until time.Time) {
	i := len(*p)
	for i > 0 && until.Before((*p)[i-1].until) {
		i--
	}
	if i > 0 && (*p)[i-1].until.Equal(until) {
		(*p)[i-1].n += n
		return
	}
	*p = slices.Insert(*p, i, promise{n: n, until: until})
}

// take removes up to n requests, earliest deadline first, and returns how many.
func (p *promises) take(n int) int {
	taken := 0
	for n > taken && len(*p) > 0 {
		k := min((*p)[0].n, n-taken)
		(*p)[0].n -= k
		taken += k
		if (*p)[0].n == 0 {
			*p = slices.Delete(*p, 0, 1)
		}
	}
	return taken
}

func (p promises) sum() int {
	total := 0
	for _, g := range p {
		total += g.n
	}
	return total
}
