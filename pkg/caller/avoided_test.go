package caller

import (
	"slices"
	"testing"
	"time"
)

func TestAvoided(t *testing.T) {
	const initial, probeTimeout = 2 * time.Second, 500 * time.Millisecond
	begin := time.Unix(1_000_000, 0)
	tests := map[string]struct {
		failures int
		worked   bool
		at       time.Duration
		want     []string
		second   []string // for the next request at the same time
	}{
		"never failed":      {0, false, 0, []string{"a", "b"}, []string{"a", "b"}},
		"failed once":       {1, false, initial - 1, []string{"b", "a"}, []string{"b", "a"}},
		"one tries again":   {1, false, initial, []string{"a", "b"}, []string{"b", "a"}},
		"failed twice":      {2, false, 2*initial - 1, []string{"b", "a"}, []string{"b", "a"}},
		"failed very often": {40, false, maxAvoid, []string{"a", "b"}, []string{"b", "a"}},
		"worked since":      {3, true, 0, []string{"a", "b"}, []string{"a", "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := newAvoidList(initial, probeTimeout)
			for range tt.failures {
				a.recordFailure(begin, "a")
			}
			if tt.worked {
				a.recordSuccess("a")
			}
			for _, want := range [][]string{tt.want, tt.second} {
				if got, _ := a.order(begin.Add(tt.at), []string{"a", "b", "a"}); !slices.Equal(got, want) {
					t.Errorf("got %v, want %v", got, want)
				}
			}
		})
	}
}
