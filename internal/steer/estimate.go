package steer

import "time"

// estimate is when a target would answer a request that is sent to it now.
type estimate struct {
	wait  time.Duration // for a slot
	work  time.Duration // mean duration of a request once it has a slot, with the way there and back
	delay time.Duration // by which the target's slowdown prolongs work; negative if the target is faster than usual
}

// estimate returns when a candidate would answer. mean is the latency of one request at the service's
// targets.
func (f *Fleet) estimate(now time.Time, c *candidate, mean time.Duration) estimate {
	work := c.workTime(mean)
	if c.slowdown.factor == 0 {
		return estimate{wait: c.queueWait(now, work), work: work}
	}
	slow := time.Duration(c.slowdownFactor(now) * float64(mean))
	if work > mean {
		slow = max(slow, work) // the latency of a slow domain holds the slowdowns of its targets already
	}
	return estimate{wait: c.queueWait(now, slow), work: work, delay: slow - work}
}

// back returns after which time the candidate's answer arrives by the estimate e, with the length of
// the way and the chance of a first run of the object.
func (f *Fleet) back(c *candidate, q *Query, e estimate, mean time.Duration) time.Duration {
	return max(0, e.wait+e.work+e.delay+c.detour()+f.missPenalty(c, q, mean))
}
