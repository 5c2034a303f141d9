package crash

import (
	"testing"
	"time"
)

// A success is known for a while, whatever comes meanwhile up to a bound, and then forgotten.
func TestRecent(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	tests := map[string]struct {
		others int // successes of others after it
		later  time.Duration
		want   bool
	}{
		"at once":             {0, 0, true},
		"a span later":        {1, recentTime, true},
		"nearly two":          {1, 2*recentTime - 1, true},
		"two":                 {1, 2 * recentTime, false},
		"long after":          {0, time.Hour, false},
		"among many":          {mostRecent, 0, true},
		"among too many":      {2 * mostRecent, 0, false},
		"never, among others": {1, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var r Recent
			if name != "never, among others" {
				r.Add(begin, bad)
			}
			for i := range tt.others {
				r.Add(begin, Print(1000+i))
			}
			if tt.later >= recentTime {
				r.Add(begin.Add(recentTime), other)
			}
			if got := r.Has(begin.Add(tt.later), bad); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
			if got := len(r.now) + len(r.before); got > 2*mostRecent {
				t.Errorf("got %d requests kept, want %d at most", got, 2*mostRecent)
			}
		})
	}
}
