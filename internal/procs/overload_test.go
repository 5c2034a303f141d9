//go:build linux

package procs

import (
	"testing"
	"time"
)

// TestOverload: a place gets more than it takes, from callers who give up. It
// goes on to answer as much as it can.
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
			f.addRetryableFailure("got %d answers in the second half, want about the %d of the first", second, first)
		}
	})
}

func valueAt(list []int, i int) int {
	if i < len(list) {
		return list[i]
	}
	return 0
}
