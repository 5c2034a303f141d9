package rollout

import "time"

const (
	// rampParts: the shift to the new version takes one in this many parts of the time that an
	// order leaves, within minRamp and maxRamp.
	rampParts = 8
	minRamp   = 2 * time.Second
	maxRamp   = 30 * time.Second
	// turns is in how many turns targets are the canary of a service that has only one at a time.
	turns = 6
)

// Schedule is the time that an order leaves for its rollout.
type Schedule struct {
	Began    time.Time
	Deadline time.Time // the rollout has to be completed or rolled back by then; not before Began
}

// PromoteAt returns when the canary phase ends: as late as possible, as some versions fail only
// after a while, but early enough for the ramp and for the last requests of the old version. These
// take a multiple of the service's mean latency. The canary phase takes half of the time at least,
// and three quarters at most.
func (s Schedule) PromoteAt(latency time.Duration) time.Time {
	total := s.Deadline.Sub(s.Began)
	latest := s.Deadline.Add(-rampDelay - s.ramp() - latencyMargin*latency - completeMargin)
	return later(s.Began.Add(total/2), earlier(latest, s.Began.Add(total-total/4)))
}

// ramp returns how long the shift to the new version takes after the canary phase.
func (s Schedule) ramp() time.Duration {
	return min(maxRamp, max(minRamp, s.Deadline.Sub(s.Began)/rampParts))
}

// RampShare returns the share of requests that go to the new version when it was promoted at a
// time. It begins with the share of the canary.
func (s Schedule) RampShare(canaryShare float64, promotedAt, now time.Time) float64 {
	done := float64(now.Sub(promotedAt)) / float64(s.ramp())
	return canaryShare + (1-canaryShare)*min(1, max(0, done))
}

// Turn returns the number of the turn at a time, from 0.
func (s Schedule) Turn(now time.Time) int {
	return int(turns * now.Sub(s.Began) / max(1, s.Deadline.Sub(s.Began)))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
