package overload

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// quiet is the delay up to which all requests are taken, and full the one from which none
	// is: a request waits for the processor about ten times on its way.
	quiet = 5 * time.Millisecond
	full  = 25 * time.Millisecond
	// rise and fall are how long the share that is refused takes to follow the delay. It
	// falls slowly, as what was taken shows as delay later: otherwise all requests are taken
	// and refused by turns.
	rise = 15 * time.Millisecond
	fall = 300 * time.Millisecond
	// standing is how long delays have to be long without a short one between: a burst, a
	// collection of garbage or a stop of the process makes them so for a moment.
	standing = 30 * time.Millisecond
	// least is a share that is not worth refusing.
	least = 0.01
)

// Gate decides which share of new requests is refused, by how long what becomes ready to run
// waits for a processor. It is safe for concurrent use; the zero one refuses none.
type Gate struct {
	mu    sync.Mutex
	last  time.Duration // the delay that was measured last; guarded by mu
	noted time.Time     // when that was; guarded by mu
	short time.Time     // when a delay was short, or before the first long one, last; guarded by mu
	share float64       // of new requests to refuse, 0 to 1; guarded by mu
}

// Note takes in a delay that was measured, and says whether it is long.
func (g *Gate) Note(now time.Time, delay time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	long := delay > quiet
	if !long || g.last <= quiet {
		g.short = now
	}
	want, follow := 0.0, fall
	if now.Sub(g.short) >= standing {
		want = ramp(min(delay, g.last))
	}
	if want > g.share {
		follow = rise
	}
	elapsed := max(0, now.Sub(g.noted))
	g.share += (want - g.share) * (1 - math.Exp(-float64(elapsed)/float64(follow)))
	if want == 0 && g.share < least {
		g.share = 0
	}
	g.last, g.noted = delay, now
	return long
}

// ramp is the share to refuse at a delay that lasts.
func ramp(delay time.Duration) float64 {
	over := float64(delay-quiet) / float64(full-quiet)
	return min(max(over, 0), 1)
}

// Share is the share of new requests to refuse, 0 to 1.
func (g *Gate) Share() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.share
}

// Refuse says whether to refuse a new request.
func (g *Gate) Refuse() bool {
	share := g.Share()
	return share > 0 && rand.Float64() < share
}
