package reservation

import "time"

const (
	// medianStep is the part of the longest time by which one caller moves the median; the first
	// callers move it by more.
	medianStep = 1.0 / 1024
	// margin is the part of the longest time by which the limit is below the first attempts, and a
	// return below the limit, as instances learn from different callers.
	margin = 1.0 / 64
	// returnedWeight is the fraction by which a caller that has returned moves the median less, as half
	// of all callers may have returned. They do move it, as first attempts may become as late.
	returnedWeight = 4
	// minWaited is the shortest wait by which a caller that returned can be told from others: less
	// than a connection between regions takes.
	minWaited = 30 * time.Millisecond
	// longestSpan is how long the longest time counts at least.
	longestSpan = 10 * time.Second
)

// Callers learns how much time the callers of a route have left when their requests arrive. A
// request that a caller repeats after a wait has less left than usual, which shows that it has returned.
type Callers struct {
	longest     time.Duration // most time that callers had left since longestSpan before turnAt
	nextLongest time.Duration // most since turnAt; replaces longest
	turnAt      time.Time     // when longest is replaced next
	count       int           // of callers
	median      time.Duration // running median of the time left of those that have not returned; 0 before the first
}

// Arrived records how much time is left to the caller of a request, and reports whether it has
// returned after a wait.
func (c *Callers) Arrived(now time.Time, left time.Duration) (returned bool) {
	if c.median == 0 {
		c.longest, c.nextLongest, c.median, c.turnAt = left, left, left, now.Add(longestSpan)
		return false
	}
	if !now.Before(c.turnAt) {
		c.longest, c.nextLongest, c.turnAt = c.nextLongest, 0, now.Add(longestSpan)
	}
	c.longest, c.nextLongest = max(c.longest, left), max(c.nextLongest, left)
	c.count++
	step := time.Duration(max(medianStep, 1/float64(8*c.count)) * float64(c.longest))
	returned = left < c.returnLimit()
	if returned {
		step /= returnedWeight
	}
	if left > c.median {
		c.median += min(step, left-c.median)
	} else {
		c.median -= min(step, c.median-left)
	}
	return returned
}

// returnLimit returns the time left below which a caller has returned. The times of first
// attempts are as far below the median as above it.
func (c *Callers) returnLimit() time.Duration {
	return c.longest - max(minWaited, 2*(c.longest-c.median)+c.marginTime())
}

// Recognizable returns how long a caller with the given time left must wait so that its return is
// recognised.
func (c *Callers) Recognizable(left time.Duration) time.Duration {
	return max(0, left-c.returnLimit()+c.marginTime())
}

func (c *Callers) marginTime() time.Duration { return time.Duration(margin * float64(c.longest)) }
