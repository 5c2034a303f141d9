package steer

import "time"

// estimate is when a target would answer a request that is sent to it now.
type estimate struct {
	wait  time.Duration // for a slot
	work  time.Duration // usual duration of the request once it has a slot, with the way there and back
	delay time.Duration // by which the target's slowdown prolongs work; negative if the target is faster than usual
}

// back returns after which time the answer arrives.
func (e estimate) back() time.Duration { return e.wait + e.work + e.delay }

// estimate returns when a candidate would answer. mean is the latency of one request at the
// service's targets.
func (f *Fleet) estimate(now time.Time, c *candidate, mean time.Duration) estimate {
	work := c.workTime(mean)
	slow := time.Duration(c.slowdownFactor(now) * float64(work))
	return estimate{wait: c.queueWait(now, slow), work: work, delay: slow - work}
}
