package overload

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minDelay is the delay up to which all requests are accepted, and maxDelay the delay from
	// which none is. A request waits for the processor about ten times while it is handled.
	minDelay = 5 * time.Millisecond
	maxDelay = 25 * time.Millisecond
	// riseTime and fallTime are the time constants with which the refused share follows the
	// delay. It falls slowly, as accepted requests show in the delay only later: otherwise the
	// gate would oscillate between accepting and refusing everything.
	riseTime = 15 * time.Millisecond
	fallTime = 300 * time.Millisecond
	// minQueueTime is how long delays have to be long, without a short one in between, to count
	// as a queue. A burst, a garbage collection or a pause of the process causes long delays for
	// a moment.
	minQueueTime = 30 * time.Millisecond
	// minShare is the share below which nothing is refused.
	minShare = 0.01
)

// Gate determines the share of new requests to refuse, from how long runnable work waits for a
// processor. It is safe for concurrent use; the zero value refuses nothing.
type Gate struct {
	mu         sync.Mutex
	last       time.Duration // last measured delay; guarded by mu
	measuredAt time.Time     // time of that measurement; guarded by mu
	shortAt    time.Time     // last measurement with a short delay, or the first long one after it; guarded by mu
	share      float64       // share of new requests to refuse, 0 to 1; guarded by mu
}

// Record records a measured delay, and reports whether it is long.
func (g *Gate) Record(now time.Time, delay time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	long := delay > minDelay
	if !long || g.last <= minDelay {
		g.shortAt = now
	}
	target, timeConstant := 0.0, fallTime
	if now.Sub(g.shortAt) >= minQueueTime {
		target = targetShare(min(delay, g.last))
	}
	if target > g.share {
		timeConstant = riseTime
	}
	elapsed := max(0, now.Sub(g.measuredAt))
	g.share += (target - g.share) * (1 - math.Exp(-float64(elapsed)/float64(timeConstant)))
	if target == 0 && g.share < minShare {
		g.share = 0
	}
	g.last, g.measuredAt = delay, now
	return long
}

// targetShare returns the share of requests to refuse at a sustained delay.
func targetShare(delay time.Duration) float64 {
	over := float64(delay-minDelay) / float64(maxDelay-minDelay)
	return min(max(over, 0), 1)
}

// Share returns the share of new requests to refuse, 0 to 1.
func (g *Gate) Share() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.share
}

// Refuse reports whether to refuse a new request.
func (g *Gate) Refuse() bool {
	share := g.Share()
	return share > 0 && rand.Float64() < share
}
