//go:build linux

package procs

import (
	"testing"
	"time"
)

// TestOverload sends a place more requests than it can serve, from callers that time out.
// The rate of answers must not collapse over time.
func TestOverload(t *testing.T) {
	runScenario(t, options{places: []place{{"a", 2, 6}}, mean: 150 * time.Millisecond, slots: 2, timeout: 2 * time.Second}, func(f *fleet) {
		const seconds = 10
		l := f.load("overload", traffic{home: "a", idempotent: 110, nonIdempotent: 20, timeout: 2 * time.Second})
		time.Sleep(seconds * time.Second)
		idempotent, nonIdempotent := l.stop(t)
		first, second := 0, 0
		for i := range seconds {
			n := valueAt(idempotent.answersBySecond, i) + valueAt(nonIdempotent.answersBySecond, i)
			if i < seconds/2 {
				first += n
			} else {
				second += n
			}
		}
		if second < first/2 {
			f.addRetryableFailure("got %d answers in the second half, want at least half of the %d in the first", second, first)
		}
	})
}

// valueAt returns list[i], or 0 past the end.
func valueAt(list []int, i int) int {
	if i < len(list) {
		return list[i]
	}
	return 0
}
