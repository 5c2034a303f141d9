package queue

import (
	"math"
	"time"
)

const (
	enough     = 8.0       // completions that suffice for an estimate
	enoughBusy = 0.25      // or this part of the window spent with items waiting
	meanGain   = 1.0 / 8   // weight of a completion in the average duration
	spreadGain = 1.0 / 4   // weight of a completion in the mean deviation
	spreads    = 4         // mean deviations above the mean that a request is allowed
	outlier    = 8         // mean deviations above the mean at which a sample is capped
	leastRate  = 1e-3      // completions per second; below it the predicted wait is maxWait
	gapUsual   = 2         // typical durations between two completions that count as work
	gapLeast   = 0.25      // seconds that always count as work; a longer gap is a pause
	deadAfter  = 2.0       // seconds of pause after which a service is assumed dead
	endless    = time.Hour // longest predicted wait
)

// estimator estimates how fast requests of one service complete. Only time during
// which items wait is counted: otherwise it would measure the arrival rate.
type station struct {
	window time.Duration
	at     time.Time // time to which busy and completions are decayed
	since  bool      // whether items have waited since updatedAt
	still  float64   // seconds with items waiting since the last completion
	busy   float64   // seconds with items waiting, decayed over the window
	done   float64   // completions in busy, decayed alike
	mean   float64   // average duration of a request, seconds; 0 if none has completed
	spread float64   // mean deviation from mean, seconds
	retry  time.Time // retry time of the last refused request; the next one gets a later one

	last         time.Time // the last completion; zero if there was none
	stood, moved time.Time // the last pause: nothing completed in between
}

// advance brings the estimates up to now.
func (s *station) settle(now time.Time) {
	if !now.After(s.at) {
		return
	}
	passed := now.Sub(s.at).Seconds()
	s.at = now
	window := s.window.Seconds()
	keep := math.Exp(-passed / window)
	s.done *= keep
	s.busy *= keep
	if !s.since {
		return
	}
	// A pause says nothing about how fast requests complete once it is over. When pauses
	// were counted as work, 22 of 1,381 requests were refused right after targets had been
	// paused for 1.2 s, although they could have been served 20 ms later.
	work := min(passed, max(0, s.gap()-s.still))
	s.still += passed
	s.busy += window * (1 - math.Exp(-work/window))
}

// maxGap returns how many seconds between two completions count as work.
func (s *station) gap() float64 { return max(gapLeast, gapUsual*(s.mean+spreads*s.spread)) }

func (s *station) waiting(now time.Time, n int) {
	s.settle(now)
	if !s.since && n > 0 {
		s.still = 0
	}
	s.since = n > 0
}

func (s *station) completed(now time.Time, took time.Duration) {
	s.settle(now)
	s.still = 0
	if s.since {
		s.done++
	}
	s.move(now, now.Add(-took))
	v := (took - s.stoodStill(now.Add(-took))).Seconds()
	if s.mean == 0 {
		s.mean = v
		s.spread = v / 2
		return
	}
	// Few requests are paused for seconds with a target or this process. Without the cap,
	// one of 3 s among those of 5 ms adds 3 s to the expected duration, and requests queued
	// behind another are refused: 8 in 40 ms in a run on a busy machine. A service that has
	// become slow is still detected after about 6 requests.
	v = min(v, s.mean+outlier*max(s.spread, s.mean/outlier))
	s.spread += spreadGain * (math.Abs(v-s.mean) - s.spread)
	s.mean += meanGain * (v - s.mean)
}

// recordCompletion records a completion, and the pause that it ends if there was one: more
// than maxGap since the last completion and since the start of the completed request.
func (s *station) move(now, begun time.Time) {
	from := s.last
	s.last = now
	if from.IsZero() {
		return // there is no gap between completions yet
	}
	if begun.After(from) {
		from = begun
	}
	from = from.Add(seconds(s.gap()))
	if now.After(from) {
		s.stood, s.moved = from, now
	}
}

// pausedSince returns how long the last pause held up a request that began at the given
// time. When pauses counted as work, one of 1.2 s in which 8 requests at a time were held up
// raised the expected duration of 5 ms requests to 2 s: up to 14 of 757 were refused after it.
func (s *station) stoodStill(begun time.Time) time.Duration {
	from := s.stood
	if begun.After(from) {
		from = begun
	}
	return max(0, s.moved.Sub(from))
}

// rate returns completions per second while items wait, or false if too few were
// observed.
func (s *station) rate() (float64, bool) {
	if s.still > deadAfter+s.gap() {
		return 0, true
	}
	if s.done < enough && s.busy < enoughBusy*s.window.Seconds() {
		return 0, false
	}
	if s.busy <= 0 {
		return 0, false
	}
	return s.done / s.busy, true
}

// wait predicts how long a request with n others ahead of it waits.
func (s *station) wait(n int) time.Duration {
	rate, known := s.rate()
	if n == 0 || !known {
		return 0
	}
	if rate < leastRate {
		return endless
	}
	return min(endless, seconds(float64(n)/rate))
}

// expectedDuration returns how long a request may take once started: the mean plus
// an allowance for its deviation.
func (s *station) usual() time.Duration {
	return seconds(s.mean + spreads*s.spread)
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
