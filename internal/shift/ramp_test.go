package shift

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/firlever/firlever/internal/invariant"
)

var begin = time.Unix(1_000_000, 0)

func newRamp(t testing.TB, c Cap) *Ramp {
	t.Helper()
	counter := invariant.New(func(_ invariant.Name, s string) { t.Error(s) })
	r, err := New(Config{Counter: counter})
	if err != nil {
		t.Fatal(err)
	}
	r.SetCap(begin.Add(-windowLength), c)
	return r
}

// saturate requests admission every 4 ms for one window and returns how many were
// admitted.
func saturate(r *Ramp, from time.Time) int {
	n := 0
	for d := time.Duration(0); d < windowLength; d += 4 * time.Millisecond {
		for r.Admit(from.Add(d)) {
			n++
		}
	}
	return n
}

func TestRampGrowth(t *testing.T) {
	tests := map[string]struct {
		shares []Share
		want   []int // admitted in each window under saturation
	}{
		"none":    {nil, []int{0, 0, 0}},
		"whole":   {Divide(5, []int{1}), []int{5, 10, 15, 20}},
		"part":    {Divide(4, []int{1, 1})[:1], []int{2, 4, 6, 8}},
		"lower":   {[]Share{Divide(4, []int{10})[0].Lower(5, 10)}, []int{2, 4, 6, 8}},
		"upper":   {[]Share{Divide(4, []int{10})[0].Upper(5, 10)}, []int{2, 4, 6, 8}},
		"no room": {Divide(5, []int{0, 0}), []int{0, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRamp(t, Cap{Version: 1, Shares: tt.shares})
			for i, want := range tt.want {
				if got := saturate(r, begin.Add(time.Duration(i)*windowLength)); got != want {
					t.Errorf("window %d: got %d, want %d", i, got, want)
				}
			}
		})
	}
}

func TestFractionPasses(t *testing.T) {
	r := newRamp(t, Cap{Version: 1, Shares: Divide(2, []int{1, 1, 1, 1, 1})[1:2]}) // 0.4 per second
	got := 0
	for i := range 100 {
		got = saturate(r, begin.Add(time.Duration(i)*windowLength))
	}
	if got < 39 || got > 41 {
		t.Errorf("got %d per second after 100 s, want 39 to 41", got)
	}
}

func TestPacing(t *testing.T) {
	r := newRamp(t, Cap{Version: 1, Shares: Divide(80, []int{1})})
	got := 0
	for r.Admit(begin) {
		got++
	}
	if want := 1 + 80/DefaultBurst; got != want {
		t.Errorf("got %d at the start of the window, want %d", got, want)
	}
	if got, want := r.RetryAt(begin), begin.Add(windowLength/80); !got.Equal(want) {
		t.Errorf("got next at %v, want %v", got, want)
	}
}

func TestClockSteps(t *testing.T) {
	tests := map[string]struct {
		step time.Duration // of the clock at the end of the second window, with all 10 used
		want []int         // admitted in the seconds that follow
	}{
		"none":       {0, []int{15, 20}},
		"back a bit": {-1100 * time.Millisecond, []int{0, 15}}, // none until the clock has caught up
		"back far":   {-time.Hour, []int{0, 15}},               // two windows become one
		"on far":     {time.Hour, []int{5, 10}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRamp(t, Cap{Version: 1, Shares: Divide(5, []int{1})})
			saturate(r, begin)
			saturate(r, begin.Add(windowLength))
			for i, want := range tt.want {
				from := begin.Add(time.Duration(i+2)*windowLength + tt.step)
				if got := saturate(r, from); got != want {
					t.Errorf("second %d: got %d, want %d", i, got, want)
				}
			}
		})
	}
}

func TestNewVersion(t *testing.T) {
	r := newRamp(t, Cap{Version: 1, Shares: Divide(5, []int{1})})
	saturate(r, begin)
	r.SetCap(begin.Add(windowLength), Cap{Version: 2, Shares: Divide(50, []int{1})})
	r.SetCap(begin.Add(windowLength), Cap{Version: 3, Shares: Divide(20, []int{1})})
	for i, want := range []int{10, 15, 20, 40} { // the first version applies for 3 s
		if got := saturate(r, begin.Add(time.Duration(i+1)*windowLength)); got != want {
			t.Errorf("window %d: got %d, want %d", i+1, got, want)
		}
	}
	if got := r.Counts(begin.Add(4 * windowLength)).Version; got != 3 {
		t.Errorf("got version %d, want 3", got)
	}
}

func TestVerdicts(t *testing.T) {
	tests := map[string]struct {
		shares []Share
		ahead  int
		by     time.Duration
		want   Action
	}{
		"room":         {Divide(5, []int{1}), 0, windowLength, Serve},
		"behind one":   {Divide(5, []int{1}), 1, windowLength, Queue},
		"next windows": {Divide(5, []int{1}), 16, 4 * windowLength, Queue},
		"too late":     {Divide(5, []int{1}), 16, windowLength, Refuse},
		"never":        {nil, 0, time.Hour, Refuse},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRamp(t, Cap{Version: 1, Shares: tt.shares})
			got := r.Decide(begin, begin.Add(tt.by), tt.ahead)
			if got.Action != tt.want {
				t.Errorf("got %v at %v, want %v", got.Action, got.At, tt.want)
			}
		})
	}
}

// TestOwnersKeepCap counts, by its own clock, what several owners admit while
// targets move between them, and compares the sum with the cap.
func TestOwnersKeepCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 12).Draw(t, "cap")
		allowances := rapid.SliceOfN(rapid.IntRange(0, 10), 1, 8).Draw(t, "allowances")
		shares := Divide(limit, allowances)
		counter := invariant.New(func(_ invariant.Name, s string) { t.Error(s) })
		owners := make([]*Ramp, rapid.IntRange(1, 5).Draw(t, "owners"))
		for i := range owners {
			owners[i], _ = New(Config{Counter: counter})
		}
		before, seconds := 0, rapid.IntRange(3, 20).Draw(t, "seconds")
		for s := range seconds {
			sum := 0
			for _, ms := range []int{1, 400, 999} {
				now := begin.Add(time.Duration(s)*windowLength + time.Duration(ms)*time.Millisecond)
				if rapid.Bool().Draw(t, "change") {
					assign(t, now, owners, shares)
				}
				sum += ask(t, now, owners)
			}
			if got, want := sum-before, limit; got > want {
				t.Fatalf("second %d: grew by %d, cap is %d", s, got, want)
			}
			before = sum
		}
	})
}

func assign(t *rapid.T, now time.Time, owners []*Ramp, shares []Share) {
	parts := make([][]Share, len(owners))
	for _, s := range shares {
		i := rapid.IntRange(0, len(owners)-1).Draw(t, "owner")
		parts[i] = append(parts[i], s)
	}
	for i, r := range owners {
		r.SetCap(now, Cap{Version: 1, Shares: parts[i]})
	}
}

func ask(t *rapid.T, now time.Time, owners []*Ramp) int {
	n := 0
	for _, r := range owners {
		for range rapid.IntRange(0, 40).Draw(t, "asked") {
			free, at := r.Free(now), r.RetryAt(now)
			ok := r.Admit(now)
			if ok != (free > 0) || ok != at.Equal(now) {
				t.Fatalf("admitted %v with %d free and the next at %v", ok, free, at)
			}
			if ok {
				n++
			}
		}
	}
	return n
}
