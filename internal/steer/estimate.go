package steer

import "time"

// estimate is when a target would answer a request that is sent to it now.
type estimate struct {
	wait time.Duration // for a slot
}

// estimate returns when a candidate would answer. mean is the latency of one request at the
// service's targets.
func (f *Fleet) estimate(now time.Time, c *candidate, mean time.Duration) estimate {
	return estimate{wait: c.queueWait(now, c.workTime(mean))}
}
