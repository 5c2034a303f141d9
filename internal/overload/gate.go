package overload

import (
	"math"
	"math/rand/v2"
	"slices"
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
	// standing is how many delays in a row have to be long: a collection of garbage or a stop
	// of the process makes a single one long.
	standing = 2
	// least is a share that is not worth refusing.
	least = 0.01
)

// Gate decides which share of new requests is refused, by how long what becomes ready to run
// waits for a processor. It is safe for concurrent use; the zero one refuses none.
type Gate struct {
	mu    sync.Mutex
	last  [standing]time.Duration // the delays that were measured last; guarded by mu
	count int                     // of all that were; guarded by mu
	noted time.Time               // when the last one was; guarded by mu
	share float64                 // of new requests to refuse, 0 to 1; guarded by mu
}

// Note takes in a delay that was measured.
func (g *Gate) Note(now time.Time, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last[g.count%standing] = delay
	g.count++
	want, time := ramp(slices.Min(g.last[:])), fall
	if want > g.share {
		time = rise
	}
	elapsed := max(0, now.Sub(g.noted))
	g.share += (want - g.share) * (1 - math.Exp(-float64(elapsed)/float64(time)))
	if want == 0 && g.share < least {
		g.share = 0
	}
	g.noted = now
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
