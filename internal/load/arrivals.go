package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// arrivals draws the intended start times of one stream: a Poisson process whose rate grows
// linearly during the ramp.
type arrivals struct {
	rng      *rand.Rand
	rate     float64 // requests/s after the ramp
	ramp     float64 // s
	expected float64 // expected number of requests up to the last start
}

func newArrivals(rate float64, ramp time.Duration, seed, stream uint64) *arrivals {
	return &arrivals{
		rng:  rand.New(rand.NewPCG(seed, stream)),
		rate: rate,
		ramp: ramp.Seconds(),
	}
}

// next returns the next intended start, counted from the beginning of the run.
func (a *arrivals) next() time.Duration {
	a.expected += a.rng.ExpFloat64()
	return time.Duration(a.invert(a.expected) * float64(time.Second))
}

// invert returns after how many seconds n requests are expected: the inverse of the
// integral of the rate.
func (a *arrivals) invert(n float64) float64 {
	inRamp := a.rate * a.ramp / 2
	if n < inRamp {
		return math.Sqrt(2 * n * a.ramp / a.rate)
	}
	return a.ramp + (n-inRamp)/a.rate
}
