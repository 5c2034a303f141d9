package admission

import "time"

// interval is what this instance was asked for and sent in one period.
type interval struct {
	asked, sent float64 // requests per second, smoothed; 0 or more

	askedCount, sentCount int // so far
}

// fewRequests is the number of requests in a period from which its own rates count more than those
// before.
const fewRequests = 8

// end completes an interval that took the given time, after an earlier one. The fewer requests it
// had, the more it follows the earlier one.
func (i *interval) end(elapsed time.Duration, earlier interval) {
	weight := float64(i.askedCount+1) / float64(i.askedCount+fewRequests)
	i.asked = follow(earlier.asked, float64(i.askedCount)/elapsed.Seconds(), weight)
	i.sent = follow(earlier.sent, float64(i.sentCount)/elapsed.Seconds(), weight)
}

// follow moves a rate towards a sample; the first sample becomes the rate.
func follow(rate, sample, weight float64) float64 {
	if rate == 0 {
		return sample
	}
	return rate + weight*(sample-rate)
}

// askedSoFar returns the requests per second of an interval that began the given time ago, after an
// earlier one. It is that of the earlier one unless enough requests show that more are asked for.
func (i *interval) askedSoFar(elapsed time.Duration, earlier interval) float64 {
	if i.askedCount < fewRequests {
		return earlier.asked
	}
	return max(earlier.asked, float64(i.askedCount)/max(updateInterval, elapsed).Seconds())
}
