package crash

import (
	"testing"
	"time"
)

// A success is kept for one to two spans, unless more other requests succeed than the bound
// allows.
func TestRecent(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	tests := map[string]struct {
		others int // successes of other requests after it
		later  time.Duration
		want   bool
	}{
		"at once":             {0, 0, true},
		"a span later":        {1, recentSpan, true},
		"nearly two":          {1, 2*recentSpan - 1, true},
		"two":                 {1, 2 * recentSpan, false},
		"long after":          {0, time.Hour, false},
		"among many":          {maxRecent, 0, true},
		"among too many":      {2 * maxRecent, 0, false},
		"never, among others": {1, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var r Recent
			if name != "never, among others" {
				r.Add(begin, poison)
			}
			for i := range tt.others {
				r.Add(begin, Fingerprint(1000+i))
			}
			if tt.later >= recentSpan {
				r.Add(begin.Add(recentSpan), other)
			}
			if got := r.Has(begin.Add(tt.later), poison); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
			if got := len(r.current) + len(r.previous); got > 2*maxRecent {
				t.Errorf("got %d requests kept, want %d at most", got, 2*maxRecent)
			}
		})
	}
}
