package health

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Unix(1_000_000, 0)

const allowance = 10

func newBook(t testing.TB, cfg Config, n int, warm bool) *Tracker[int] {
	t.Helper()
	b, err := New(cfg, cmp.Compare[int], rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	for key := range n {
		b.Add(begin, key, warm)
		b.Weight(begin, key, allowance)
	}
	return b
}

// observeTimes observes the outcome n times, every 100 ms from at.
func observeTimes(b *Tracker[int], n int, at time.Duration, o Outcome) {
	for i := range n {
		b.Observe(begin.Add(at+time.Duration(i)*100*time.Millisecond), 0, o, time.Millisecond)
	}
}

// failAll observes failures of the first n targets until they are ejected.
func failAll(b *Tracker[int], n int) {
	for range 5 {
		for key := range n {
			b.Observe(begin, key, Failed, 0)
		}
	}
}

// TestWeight checks the weight and state of target 0 of four.
func TestWeight(t *testing.T) {
	tests := map[string]struct {
		cold  bool
		act   func(b *Tracker[int])
		at    time.Duration
		want  int
		state State
	}{
		"warm":          {false, func(*Tracker[int]) {}, 0, 10, Warm},
		"cold":          {true, func(*Tracker[int]) {}, 0, 1, Cold},
		"few successes": {true, func(b *Tracker[int]) { observeTimes(b, 2, time.Second, OK) }, 2 * time.Second, 2, Cold},
		"too early":     {true, func(b *Tracker[int]) { observeTimes(b, 5, 0, OK) }, time.Second, 1, Cold},
		"grown":         {true, func(b *Tracker[int]) { observeTimes(b, 40, 0, OK) }, 4 * time.Second, 10, Warm},
		"refused":       {false, func(b *Tracker[int]) { observeTimes(b, 1, time.Second, Refused) }, time.Second, 5, Cold},
		"four failures": {false, func(b *Tracker[int]) { observeTimes(b, 4, 0, Failed) }, time.Second, 10, Warm},
		"five":          {false, func(b *Tracker[int]) { observeTimes(b, 5, 0, Timeout) }, time.Second, 0, Ejected},
		"no probe":      {false, func(b *Tracker[int]) { observeTimes(b, 5, 0, Failed) }, 20 * time.Second, 0, Ejected},
		"answer early":  {false, func(b *Tracker[int]) { observeTimes(b, 5, 0, Failed); observeTimes(b, 1, 500*time.Millisecond, OK) }, time.Second, 0, Ejected},
		"probe":         {false, func(b *Tracker[int]) { observeTimes(b, 5, 0, Failed); observeTimes(b, 1, 2*time.Second, OK) }, 2 * time.Second, 1, Cold},
		"probe, failure": {false, func(b *Tracker[int]) {
			observeTimes(b, 5, 0, Failed)
			observeTimes(b, 1, 2*time.Second, OK)
			observeTimes(b, 1, 3*time.Second, Failed)
		}, 3 * time.Second, 0, Ejected},
		"half fail": {false, func(b *Tracker[int]) {
			for i := range 30 {
				observeTimes(b, 2, time.Duration(i)*10*time.Millisecond, Failed)
				observeTimes(b, 1, time.Duration(i)*10*time.Millisecond, OK)
			}
		}, time.Second, 0, Ejected},
		"late failures": {false, func(b *Tracker[int]) {
			observeTimes(b, 10, 0, Failed)
			observeTimes(b, 1, 1500*time.Millisecond, OK)
		}, 1500 * time.Millisecond, 1, Cold},
		"warm again": { // the second ejection is as short as the first
			false, func(b *Tracker[int]) {
				observeTimes(b, 5, 0, Failed)
				observeTimes(b, 40, 2*time.Second, OK)
				observeTimes(b, 5, 6100*time.Millisecond, Failed)
				observeTimes(b, 1, 7600*time.Millisecond, OK)
			}, 7600 * time.Millisecond, 1, Cold,
		},
		"slow successes": {true, func(b *Tracker[int]) {
			for i := range 5 {
				observeTimes(b, 1, time.Duration(i+1)*time.Second, OK)
			}
		}, 5 * time.Second, 4, Cold},
		"long ejection": {false, func(b *Tracker[int]) {
			b.cfg.Eject = time.Minute
			observeTimes(b, 5, 0, Failed)
		}, 45 * time.Second, 0, Ejected},
		"heard again": { // a weight raised by age does not fall back
			false, func(b *Tracker[int]) {
				observeTimes(b, 1, time.Second, Refused)
				observeTimes(b, 1, 2*time.Second, Refused)
				observeTimes(b, 1, 35*time.Second, OK)
			}, 36 * time.Second, 4, Cold,
		},
		"claim first":   {false, func(b *Tracker[int]) { b.RecordReport(begin, 0, false, 10, 0) }, time.Second, 1, Hinted},
		"claim busy":    {false, func(b *Tracker[int]) { b.RecordReport(begin, 0, true, 6, 6) }, time.Second, 3, Hinted},
		"claim outdone": {false, func(b *Tracker[int]) { observeTimes(b, 1, 0, OK); b.RecordReport(begin, 0, false, 10, 0) }, time.Second, 10, Warm},
		"claim later":   {false, func(b *Tracker[int]) { observeTimes(b, 1, 0, OK); b.RecordReport(begin, 0, false, 10, 0) }, 6 * time.Second, 1, Hinted},
		"claim of life": {false, func(b *Tracker[int]) { observeTimes(b, 5, 0, Failed); b.RecordReport(begin, 0, true, 10, 0) }, 8 * time.Second, 0, Ejected},
		"idle": {false, func(b *Tracker[int]) {
			for at := time.Duration(0); at < 300*time.Second; at += 10 * time.Second {
				b.RecordReport(begin.Add(at), 0, true, 10, 0)
			}
		}, 300 * time.Second, 1, Cold},
		"probe of life": {false, func(b *Tracker[int]) { observeTimes(b, 5, 0, Failed); b.Probed(begin.Add(2*time.Second), 0, true) }, 2 * time.Second, 1, Cold},
		"probe early":   {false, func(b *Tracker[int]) { observeTimes(b, 5, 0, Failed); b.Probed(begin.Add(time.Second), 0, true) }, 2 * time.Second, 0, Ejected},
		"probe of warm": {false, func(b *Tracker[int]) { b.Probed(begin, 0, false) }, time.Second, 10, Warm},
		"all own fail": { // others use the rest: one of two stays usable, the one that failed least
			false, func(b *Tracker[int]) { b.SetOwned(2, false); b.SetOwned(3, false); failAll(b, 2) }, time.Second, 5, Reduced,
		},
		"the only own fails": {false, func(b *Tracker[int]) { b.SetOwned(1, false); b.SetOwned(2, false); b.SetOwned(3, false); failAll(b, 1) }, time.Second, 0, Ejected},
		"silent": {false, func(b *Tracker[int]) {
			observeTimes(b, 1, time.Second, Refused)
			observeTimes(b, 1, 2*time.Second, Refused)
		}, 35 * time.Second, 4, Aged},
		"silent longer":  {false, func(b *Tracker[int]) { observeTimes(b, 1, time.Second, Refused) }, 45 * time.Second, 10, Aged},
		"silent ejected": {false, func(b *Tracker[int]) { observeTimes(b, 5, 0, Failed) }, 45 * time.Second, 2, Aged},
		"clock back":     {false, func(b *Tracker[int]) { observeTimes(b, 5, time.Hour, Failed); observeTimes(b, 1, 5*time.Second, OK) }, 5 * time.Second, 0, Ejected},
		"back, later": {false, func(b *Tracker[int]) {
			observeTimes(b, 5, time.Hour, Failed)
			b.ProbesDue(begin)
			observeTimes(b, 1, 5*time.Second, OK)
		}, 5 * time.Second, 1, Cold},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBook(t, Config{}, 4, !tt.cold)
			tt.act(b)
			now := begin.Add(tt.at)
			if got, state := b.Weight(now, 0, allowance), b.State(now, 0); got != tt.want || state != tt.state {
				t.Errorf("got %d %s, want %d %s", got, state, tt.want, tt.state)
			}
		})
	}
}

func TestProbesDue(t *testing.T) {
	b := newBook(t, Config{}, 4, true)
	observeTimes(b, 5, 0, Failed)
	var got []time.Duration
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
		if !slices.Equal(b.ProbesDue(begin.Add(at)), []int{0}) {
			continue
		}
		got = append(got, at.Truncate(time.Second))
		if len(got) > 1 { // the first probe gets no answer
			observeTimes(b, 1, at, Failed)
		}
	}
	// Ejected at 0.4 s for 1 s, then for 2, 4 and 8 s, each shortened by up to 20% of
	// jitter.
	if want := []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 7 * time.Second}; !slices.Equal(got, want) {
		t.Errorf("got probes at %v, want %v", got, want)
	}
}

// TestLeastFailedStaysUsable ejects three of four targets, one more than the bound allows.
func TestLeastFailedStaysUsable(t *testing.T) {
	b := newBook(t, Config{}, 4, true)
	for key := range 3 {
		for range 5 + key {
			b.Observe(begin, key, Failed, 0)
		}
	}
	for key, want := range []int{5, 0, 0, 10} {
		if got := b.Weight(begin, key, allowance); got != want {
			t.Errorf("target %d: got %d, want %d", key, got, want)
		}
	}
}

// TestFloor checks with random outcomes, reports and times that no weight exceeds the
// allowance, and that no more targets are without slots than the bound allows.
func TestFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "targets")
		b, _ := New(Config{}, cmp.Compare[int], rand.New(rand.NewPCG(1, 2)))
		now := begin
		for key := range n {
			b.Add(now, key, rapid.Bool().Draw(t, "warm"))
		}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(-3000, 6000).Draw(t, "ms")) * time.Millisecond)
			key, o := rapid.IntRange(0, n-1).Draw(t, "key"), Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
			if rapid.Bool().Draw(t, "claim") {
				b.RecordReport(now, key, o == OK, rapid.IntRange(-1, 20).Draw(t, "slots"), rapid.IntRange(0, 20).Draw(t, "busy"))
			}
			b.Observe(now, key, o, time.Millisecond)
			closed := 0
			for key := range n {
				got := b.Weight(now, key, allowance)
				if got < 0 || got > allowance {
					t.Fatalf("got weight %d of %d", got, allowance)
				}
				if got == 0 {
					closed++
				}
			}
			if got, want := closed, n/2; got > want {
				t.Fatalf("got %d of %d closed, want at most %d", got, n, want)
			}
		}
	})
}
