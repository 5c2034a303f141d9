package shift

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// BenchmarkFractions gives five owners 0.4 per second each of a cap of 2 and
// reports the largest growth of their sum in a window: with phases, as
// implemented, and with each owner carrying over its fraction instead.
func BenchmarkFractions(b *testing.B) {
	shares := Divide(2, []int{1, 1, 1, 1, 1})
	phases, carry := 0, 0
	for b.Loop() {
		phases, carry = 0, 0
		for w := range int64(1000) {
			phases = max(phases, totalGrowth(shares, w))
			carry = max(carry, 5*(int(w+1)*2/5-int(w)*2/5))
		}
	}
	b.ReportMetric(float64(phases), "phases-growth")
	b.ReportMetric(float64(carry), "carry-growth")
}

// BenchmarkSteadyDemand sends shifted requests at random times, 100 per second
// on average, under a cap of 5, and queues those that are not admitted. It
// reports the waits after the first 40 s, by when the ramp has caught up.
func BenchmarkSteadyDemand(b *testing.B) {
	var waits []float64
	for b.Loop() {
		waits = steadyWaits(b)
	}
	slices.Sort(waits)
	zero, _ := slices.BinarySearch(waits, 0.5)
	b.ReportMetric(100*float64(zero)/float64(len(waits)), "%at-once")
	b.ReportMetric(waits[len(waits)/2], "ms-p50")
	b.ReportMetric(waits[len(waits)*99/100], "ms-p99")
}

func steadyWaits(b *testing.B) []float64 {
	r := newRamp(b, Cap{Version: 1, Shares: Divide(5, []int{1})})
	rng := rand.New(rand.NewPCG(1, 2))
	var queue []time.Time
	var waits []float64
	for ms := range 160_000 {
		now := begin.Add(time.Duration(ms) * time.Millisecond)
		if rng.Float64() < 0.1 && (ms > 20_000 || rng.Float64() < float64(ms)/20_000) {
			queue = append(queue, now)
		}
		for len(queue) > 0 && r.Admit(now) {
			if ms > 40_000 {
				waits = append(waits, float64(now.Sub(queue[0]).Milliseconds()))
			}
			queue = queue[1:]
		}
	}
	return waits
}

func BenchmarkAdmit(b *testing.B) {
	r := newRamp(b, Cap{Version: 1, Shares: Divide(1<<20, []int{1, 1, 1})})
	for b.Loop() {
		r.Admit(begin)
	}
}
