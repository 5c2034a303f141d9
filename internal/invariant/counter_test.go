package invariant

import "testing"

func TestCounter(t *testing.T) {
	tests := map[string]struct {
		checks []bool
		want   Count
	}{
		"none":      {nil, Count{Name: AtMostOnce}},
		"held":      {[]bool{true, true}, Count{Name: AtMostOnce, Checks: 2}},
		"violation": {[]bool{true, false}, Count{Name: AtMostOnce, Checks: 2, Violations: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var failed uint64
			c := New(func(Name, string) { failed++ })
			for _, ok := range tt.checks {
				c.Check(AtMostOnce, ok, func() string { return "" })
			}
			if got := c.Counts()[4]; got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
			if got := c.Violations(); got != failed {
				t.Errorf("got %d violations, want %d", got, failed)
			}
		})
	}
}
