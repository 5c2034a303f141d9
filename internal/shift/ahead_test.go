package shift

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestGuaranteedRequestsAreAdmitted checks that the cap admits as many requests as announced,
// whether they arrive as early as possible or only from the next window on.
func TestGuaranteedRequestsAreAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, err := New(Config{})
		if err != nil {
			t.Fatal(err)
		}
		limit := rapid.IntRange(0, 60).Draw(t, "cap")
		now := time.Unix(1_000_000, 0)
		r.SetCap(now, Cap{Version: 1, Shares: Divide(limit, []int{1})})
		for range rapid.IntRange(0, 400).Draw(t, "before") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "gap")) * time.Millisecond)
			r.Admit(now)
		}
		end := now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
		n := r.AdmittableUntil(now, end)
		if got := admitAll(*r, now, end); got < n {
			t.Fatalf("got %d admitted at once, want at least %d", got, n)
		}
		next := time.Unix(now.Unix()+1, 0)
		if got := admitAll(*r, next, next.Add(time.Second)); end.After(next) && got < n {
			t.Fatalf("got %d admitted in the next window, want at least %d", got, n)
		}
	})
}

// admitAll returns how many requests can be admitted from now until end.
func admitAll(r Ramp, now, end time.Time) int {
	n := 0
	for at := r.RetryAt(now); !at.IsZero() && at.Before(end); at = r.RetryAt(at) {
		if !r.Admit(at) {
			break
		}
		n++
	}
	return n
}

func TestGuaranteedRequests(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	tests := map[string]struct {
		now, end time.Duration
		want     int
	}{
		"in the window":           {0, 500 * time.Millisecond, 38},
		"to its end":              {500 * time.Millisecond, time.Second, 38},
		"a little into the next":  {500 * time.Millisecond, 1100 * time.Millisecond, 52},
		"no more than next takes": {500 * time.Millisecond, 1500 * time.Millisecond, 60},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, _ := New(Config{})
			r.SetCap(start.Add(-2*time.Second), Cap{Version: 1, Shares: Divide(60, []int{1})})
			if got := r.AdmittableUntil(start.Add(tt.now), start.Add(tt.end)); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}
