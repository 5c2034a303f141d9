package grant

import (
	"slices"
	"time"
)

// grant is a number of requests that may be handed off until a deadline.
type grant struct {
	n     int // over 0
	until time.Time
}

// grants is sorted by deadline.
type grants []grant

// drop removes the expired grants, and returns how many requests they covered.
func (g *grants) drop(now time.Time) int {
	expired, i := 0, 0
	for i < len(*g) && !now.Before((*g)[i].until) {
		expired += (*g)[i].n
		i++
	}
	*g = slices.Delete(*g, 0, i)
	return expired
}

// add inserts a grant in the order of deadlines.
func (g *grants) add(n int, until time.Time) {
	i := len(*g)
	for i > 0 && until.Before((*g)[i-1].until) {
		i--
	}
	if i > 0 && (*g)[i-1].until.Equal(until) {
		(*g)[i-1].n += n
		return
	}
	*g = slices.Insert(*g, i, grant{n: n, until: until})
}

// take removes up to n requests, earliest deadline first, and returns how many.
func (g *grants) take(n int) int {
	taken := 0
	for n > taken && len(*g) > 0 {
		k := min((*g)[0].n, n-taken)
		(*g)[0].n -= k
		taken += k
		if (*g)[0].n == 0 {
			*g = slices.Delete(*g, 0, 1)
		}
	}
	return taken
}

func (g grants) sum() int {
	total := 0
	for _, gr := range g {
		total += gr.n
	}
	return total
}
