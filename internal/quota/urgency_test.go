package quota

import (
	"testing"
	"time"
)

// A workspace sends four times what it may, a tenth of it urgent. Its urgent requests are served, the
// others share what is left, none of their priorities is shut out, and no less is served in all.
func TestUrgentRequestsOfHotWorkspace(t *testing.T) {
	const from, length = 5 * time.Second, 20 * time.Second
	limit := Limit{Rate: 200, Burst: 200}
	w := newSimulation(1, 60, limit)
	for _, n := range w.nodes {
		w.after(0, n.start)
	}
	for priority, part := range map[int]float64{0: 0.1, 1: 0.6, 2: 0.3} {
		w.loadOf(priority, from, length, 4*part*limit.Rate, bySize)
	}
	w.run(from + length)
	refused := func(priority int) float64 { return float64(w.refusedBy[priority]) / float64(w.requestsBy[priority]) }
	if got := refused(0); got > 0.05 {
		t.Errorf("got %.2f of the urgent requests refused, want 0.05 at most", got)
	}
	if refused(1) > refused(2) {
		t.Errorf("got %.2f of priority 1 and %.2f of priority 2 refused, want less of the more urgent", refused(1), refused(2))
	}
	if got := refused(2); got > 0.95 {
		t.Errorf("got %.2f of priority 2 refused, want none shut out", got)
	}
	if got, want := len(w.served), int(0.9*limit.Rate*length.Seconds()); got < want {
		t.Errorf("got %d served, want %d or more", got, want)
	}
	if got, most := w.maxInWindow(simulationStart), w.bound(); float64(got) > most {
		t.Errorf("got %d requests in a window, want %.0f at most", got, most)
	}
}

// Tokens are kept for more urgent requests only while the workspace asks for more than its share, and
// only for priorities that are asked for.
func TestReserve(t *testing.T) {
	tests := map[string]struct {
		demand   map[int]int // requests in the last second, by priority
		rate     float64
		priority int
		want     float64
	}{
		"below its share":      {map[int]int{0: 5, 2: 5}, 20, 2, 0},
		"over its share":       {map[int]int{0: 20, 2: 21}, 10, 2, 4},
		"each tenth request":   {map[int]int{0: 20, 2: 20}, 10, 2, 0},
		"the most urgent":      {map[int]int{0: 20, 2: 20}, 10, 0, 0},
		"nobody is urgent":     {map[int]int{1: 40}, 10, 1, 0},
		"less urgent ones":     {map[int]int{1: 20, 2: 20}, 10, 1, 0},
		"at least one":         {map[int]int{0: 1, 2: 41}, 10, 2, 1},
		"half of the capacity": {map[int]int{0: 400, 2: 401}, 10, 2, 10},
		"negative and huge":    {map[int]int{-7: 20, 1 << 40: 21}, 10, 1 << 40, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := simulationStart
			q := &quota{bucket: bucket{share: share{rate: tt.rate, maxStock: 20}}}
			for priority, n := range tt.demand {
				for range n {
					q.urgency.count(now, priority)
				}
			}
			if got := q.reserve(now, tt.priority); got != tt.want {
				t.Errorf("got %g, want %g", got, tt.want)
			}
		})
	}
}

// Whatever priorities are sent, few are told apart.
func TestPrioritiesAreBounded(t *testing.T) {
	var u urgency
	for i := range 1000 {
		u.count(simulationStart, i)
	}
	if got := len(u.classes); got != maxPriorities {
		t.Errorf("got %d priorities, want %d", got, maxPriorities)
	}
}

// An instance that holds nothing tells its caller when the holder that it asked has a token.
func TestRetryAfterOfHolder(t *testing.T) {
	l, err := New(Config{Self: "a"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetLimits(map[string]Limit{"w": {Rate: 4}})
	now := simulationStart
	d := l.Take(now, "w", 0)
	l.Receive(now, now, "w", Member{Name: "b"}, d.Want, Grant{RetryAfter: 420 * time.Millisecond})
	if got, want := l.Retry(now, "w", 0).RetryAfter, 420*time.Millisecond; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	later := now.Add(2 * time.Second)
	if got, want := l.Retry(later, "w", 0).RetryAfter, partialBackoff; got != want {
		t.Errorf("got %s after the promise has passed, want %s", got, want)
	}
}
