package health

import (
	"slices"
	"testing"
	"time"
)

// BenchmarkBadDetector observes failures of every request to ten healthy targets for 60 s
// and reports the lowest number of slots, of 100, that stays usable.
func BenchmarkBadDetector(b *testing.B) {
	for name, floor := range map[string]int{"floor 50%": 50, "no floor": 100} {
		b.Run(name, func(b *testing.B) {
			least := 0
			for b.Loop() {
				least = leastSlots(newBook(b, Config{Floor: floor}, 10, true))
			}
			b.ReportMetric(float64(least), "slots-least")
		})
	}
}

func leastSlots(tracker *Tracker[int]) int {
	least := 10 * allowance
	for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
		now, sum := begin.Add(at), 0
		for key := range 10 {
			n := tracker.Weight(now, key, allowance)
			sum += n
			if n > 0 {
				tracker.Observe(now, key, Failed, 0)
			}
		}
		least = min(least, sum)
	}
	return least
}

// BenchmarkColdTarget keeps one cold target of ten slots as busy as its weight allows for
// its first 200 answers, and reports their latency. A request misses the target's cache
// with a probability that falls by 5% of itself with each request; misses are filled one
// after the other, 100 ms each.
func BenchmarkColdTarget(b *testing.B) {
	for name, warm := range map[string]bool{"slow start": false, "at once": true} {
		b.Run(name, func(b *testing.B) {
			var took []time.Duration
			for b.Loop() {
				took = coldLatencies(newBook(b, Config{}, 1, warm))
			}
			late := slices.IndexFunc(took, func(d time.Duration) bool { return d > 500*time.Millisecond })
			b.ReportMetric(float64(took[100].Milliseconds()), "ms-p50")
			b.ReportMetric(float64(took[198].Milliseconds()), "ms-p99")
			b.ReportMetric(float64(len(took)-max(late, 0))*min(1, float64(late+1)), "over-500ms")
		})
	}
}

func coldLatencies(tracker *Tracker[int]) []time.Duration {
	type request struct{ from, done time.Time }
	var inFlight []request
	var took []time.Duration
	miss, debt, filled := 1.0, 0.0, begin // one miss each time that debt reaches 1
	for at := time.Duration(0); len(took) < 200; at += time.Millisecond {
		now := begin.Add(at)
		inFlight = slices.DeleteFunc(inFlight, func(r request) bool {
			if r.done.After(now) {
				return false
			}
			tracker.Observe(now, 0, OK, now.Sub(r.from))
			took = append(took, now.Sub(r.from))
			return true
		})
		for len(inFlight) < tracker.Weight(now, 0, allowance) {
			done := now.Add(10 * time.Millisecond)
			if debt += miss; debt >= 1 {
				debt--
				filled = maxTime(filled, now).Add(100 * time.Millisecond)
				done = filled
			}
			miss *= 0.95
			inFlight = append(inFlight, request{now, done})
		}
	}
	slices.Sort(took)
	return took
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
