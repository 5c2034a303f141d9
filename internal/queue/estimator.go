package queue

import (
	"math"
	"time"
)

const (
	minCompletions    = 8.0       // completions that suffice for an estimate
	minBusy           = 0.25      // or this part of the window spent with items waiting
	meanGain          = 1.0 / 8   // weight of a completion in the average duration
	deviationGain     = 1.0 / 4   // weight of a completion in the mean deviation
	allowedDeviations = 4         // mean deviations above the mean that a request is allowed
	maxDeviations     = 8         // mean deviations above the mean at which a sample is capped
	minRate           = 1e-3      // completions per second; below it the predicted wait is maxWait
	gapFactor         = 2         // largest gap between completions that counts as work, in expected durations
	minGap            = 0.25      // seconds of a gap that always count as work; a longer gap is a pause
	deadAfter         = 2.0       // seconds of pause after which a service is assumed dead
	maxWait           = time.Hour // longest predicted wait
)

// estimator estimates how fast requests of one service complete. Only time during
// which items wait is counted: otherwise it would measure the arrival rate.
type estimator struct {
	window          time.Duration
	updatedAt       time.Time // time to which busy and completions are decayed
	hasWaiting      bool      // whether items have waited since updatedAt
	sinceCompletion float64   // seconds with items waiting since the last completion
	busy            float64   // seconds with items waiting, decayed over the window
	completions     float64   // completions in busy, decayed alike
	mean            float64   // average duration of a request, seconds; 0 if none has completed
	deviation       float64   // mean deviation from mean, seconds
	lastRetry       time.Time // retry time of the last refused request; the next one gets a later one

	lastCompletion       time.Time // the last completion; zero if there was none
	pauseStart, pauseEnd time.Time // the last pause: nothing completed in between
}

// advance brings the estimates up to now.
func (e *estimator) advance(now time.Time) {
	if !now.After(e.updatedAt) {
		return
	}
	passed := now.Sub(e.updatedAt).Seconds()
	e.updatedAt = now
	window := e.window.Seconds()
	keep := math.Exp(-passed / window)
	e.completions *= keep
	e.busy *= keep
	if !e.hasWaiting {
		return
	}
	// A pause says nothing about how fast requests complete once it is over. When pauses
	// were counted as work, 22 of 1,381 requests were refused right after targets had been
	// paused for 1.2 s, although they could have been served 20 ms later.
	work := min(passed, max(0, e.maxGap()-e.sinceCompletion))
	e.sinceCompletion += passed
	e.busy += window * (1 - math.Exp(-work/window))
}

// maxGap returns how many seconds between two completions count as work. A longer gap is
// a pause.
func (e *estimator) maxGap() float64 {
	return max(minGap, gapFactor*(e.mean+allowedDeviations*e.deviation))
}

func (e *estimator) setWaiting(now time.Time, n int) {
	e.advance(now)
	if !e.hasWaiting && n > 0 {
		e.sinceCompletion = 0
	}
	e.hasWaiting = n > 0
}

func (e *estimator) completed(now time.Time, took time.Duration) {
	e.advance(now)
	e.sinceCompletion = 0
	if e.hasWaiting {
		e.completions++
	}
	e.recordCompletion(now, now.Add(-took))
	v := (took - e.pausedSince(now.Add(-took))).Seconds()
	if e.mean == 0 {
		e.mean = v
		e.deviation = v / 2
		return
	}
	// Few requests are paused for seconds with a target or this process. Without the cap,
	// one of 3 s among those of 5 ms adds 3 s to the expected duration, and requests queued
	// behind another are refused: 8 in 40 ms in a run on a busy machine. A service that has
	// become slow is still detected after about 6 requests.
	v = min(v, e.mean+maxDeviations*max(e.deviation, e.mean/maxDeviations))
	e.deviation += deviationGain * (math.Abs(v-e.mean) - e.deviation)
	e.mean += meanGain * (v - e.mean)
}

// recordCompletion records a completion, and the pause that it ends if there was one: more
// than maxGap since the last completion and since the start of the completed request.
func (e *estimator) recordCompletion(now, begun time.Time) {
	from := e.lastCompletion
	e.lastCompletion = now
	if from.IsZero() {
		return // there is no gap between completions yet
	}
	if begun.After(from) {
		from = begun
	}
	from = from.Add(seconds(e.maxGap()))
	if now.After(from) {
		e.pauseStart, e.pauseEnd = from, now
	}
}

// pausedSince returns how long the last pause held up a request that began at the given
// time. When pauses counted as work, one of 1.2 s in which 8 requests at a time were held up
// raised the expected duration of 5 ms requests to 2 s: up to 14 of 757 were refused after it.
func (e *estimator) pausedSince(begun time.Time) time.Duration {
	from := e.pauseStart
	if begun.After(from) {
		from = begun
	}
	return max(0, e.pauseEnd.Sub(from))
}

// rate returns completions per second while items wait, or false if too few were
// observed.
func (e *estimator) rate() (float64, bool) {
	if e.sinceCompletion > deadAfter+e.maxGap() {
		return 0, true
	}
	if e.completions < minCompletions && e.busy < minBusy*e.window.Seconds() {
		return 0, false
	}
	if e.busy <= 0 {
		return 0, false
	}
	return e.completions / e.busy, true
}

// wait predicts how long a request with n others ahead of it waits.
func (e *estimator) wait(n int) time.Duration {
	rate, known := e.rate()
	if n == 0 || !known {
		return 0
	}
	if rate < minRate {
		return maxWait
	}
	return min(maxWait, seconds(float64(n)/rate))
}

// expectedDuration returns how long a request may take once started: the mean plus
// an allowance for its deviation.
func (e *estimator) expectedDuration() time.Duration {
	return seconds(e.mean + allowedDeviations*e.deviation)
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
