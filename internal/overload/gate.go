package overload

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minDelay is the delay up to which all requests are taken, and full the one from which none
	// is: a request waits for the processor about ten times on its way.
	minDelay = 5 * time.Millisecond
	maxDelay = 25 * time.Millisecond
	// riseTime and fall are how long the share that is refused takes to follow the delay. It
	// falls slowly, as what was taken shows as delay later: otherwise all requests are taken
	// and refused by turns.
	riseTime = 15 * time.Millisecond
	fallTime = 300 * time.Millisecond
	// minQueueTime is how long delays have to be long without a short one between: a burst, a
	// collection of garbage or a stop of the process makes them so for a moment.
	minQueueTime = 30 * time.Millisecond
	// minShare is a share that is not worth refusing.
	minShare = 0.01
)

// Gate decides which share of new requests is refused, by how long what becomes ready to run
// waits for a processor. It is safe for concurrent use; the zero one refuses none.
type Gate struct {
	mu         sync.Mutex
	last       time.Duration // the delay that was measured last; guarded by mu
	measuredAt time.Time     // when that was; guarded by mu
	shortAt    time.Time     // when a delay was short, or before the first long one, last; guarded by mu
	share      float64       // of new requests to refuse, 0 to 1; guarded by mu
}

// Note takes in a delay that was measured, and says whether it is long.
func (g *Gate) Note(now time.Time, delay time.Duration) bool {
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

// targetShare is the share to refuse at a delay that lasts.
func targetShare(delay time.Duration) float64 {
	over := float64(delay-minDelay) / float64(maxDelay-minDelay)
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
