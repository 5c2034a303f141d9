package rollout

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestExactTest(t *testing.T) {
	tests := map[string]struct {
		canaries, old Tally
		want          float64
	}{
		"tea tasting":    {Tally{4, 3}, Tally{4, 1}, 17.0 / 70},
		"all right":      {Tally{4, 4}, Tally{4, 0}, 1.0 / 70},
		"nothing bad":    {Tally{20, 0}, Tally{200, 0}, 1},
		"no answers":     {Tally{}, Tally{200, 3}, 1},
		"fewer than old": {Tally{10, 0}, Tally{10, 5}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := exactTest(tt.canaries, tt.old); math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("got %g, want %g", got, tt.want)
			}
		})
	}
}

func TestBinomialTail(t *testing.T) {
	tests := map[string]struct {
		tally Tally
		share float64
		want  float64
	}{
		"all of three": {Tally{3, 3}, 0.5, 0.125},
		"one of two":   {Tally{2, 1}, 0.5, 0.75},
		"none":         {Tally{5, 0}, 0.1, 1},
		"certain":      {Tally{5, 5}, 1.2, 1},
		"half of many": {Tally{1000, 500}, 0.5, 0.5126},
		"no answers":   {Tally{}, 0.5, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := binomialTail(tt.tally, tt.share); math.Abs(got-tt.want) > 1e-4 {
				t.Errorf("got %g, want %g", got, tt.want)
			}
		})
	}
}

// counts returns tallies of answers on a route: of the old version, and of each canary.
func counts(route string, old Tally, canaries ...Tally) Counts {
	c := Counts{{Route: route}: old}
	for i, n := range canaries {
		c[Source{Route: route, Target: uint64(i + 1)}] = n
	}
	return c
}

// What is shown with few and with many answers, and what is no fault of the version.
func TestFault(t *testing.T) {
	tests := map[string]struct {
		counts Counts
		want   string // beginning of the reason
	}{
		"half fail, 20 answers":       {counts("r", Tally{180, 2}, Tally{5, 2}, Tally{5, 3}, Tally{5, 2}, Tally{5, 3}), "all routes"},
		"half fail, 200 answers":      {counts("r", Tally{1800, 20}, Tally{50, 25}, Tally{50, 25}, Tally{50, 25}, Tally{50, 25}), "all routes"},
		"one in ten, 20 answers":      {counts("r", Tally{180, 2}, Tally{10, 1}, Tally{10, 1}), ""},
		"one in ten, 2,000 answers":   {counts("r", Tally{18000, 180}, Tally{500, 50}, Tally{500, 50}, Tally{500, 50}, Tally{500, 50}), "all routes"},
		"a little worse":              {counts("r", Tally{18000, 180}, Tally{1000, 30}, Tally{1000, 30}), ""},
		"as bad as the old":           {counts("r", Tally{1800, 900}, Tally{100, 50}, Tally{100, 50}), ""},
		"one canary on a bad machine": {counts("r", Tally{1800, 20}, Tally{50, 45}, Tally{50, 1}, Tally{50, 0}, Tally{50, 0}), ""},
		"one canary alone":            {counts("r", Tally{1800, 20}, Tally{40, 20}), ""},
		"one canary alone for long":   {counts("r", Tally{1800, 20}, Tally{60, 27}), "all routes"},
		"no answers":                  {Counts{}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Fault(tt.counts); !strings.HasPrefix(got, tt.want) || (got == "") != (tt.want == "") {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// A version that is bad on one route is found although it is good on all others.
func TestFaultOfOneRoute(t *testing.T) {
	all := counts("small", Tally{900, 9}, Tally{20, 9}, Tally{20, 10}, Tally{20, 11}, Tally{20, 10})
	for s, tally := range counts("large", Tally{90000, 900}, Tally{2500, 25}, Tally{2500, 25}, Tally{2500, 25}, Tally{2500, 25}) {
		all[s] = tally
	}
	if got := Fault(all); !strings.HasPrefix(got, "route small") {
		t.Errorf("got %q, want a fault of route small", got)
	}
}

func TestDecide(t *testing.T) {
	schedule := Schedule{Began: start, Deadline: start.Add(16 * time.Second)}
	good := counts("r", Tally{1800, 20}, Tally{50, 0}, Tally{50, 1})
	at := func(s float64, change func(*Input)) Input {
		in := Input{
			Schedule: schedule, Now: start.Add(time.Duration(s * float64(time.Second))), Counts: good,
			HadOld: true, OldSlots: 80, NewSlots: 80, Latency: 300 * time.Millisecond, Unsettled: 8,
		}
		if change != nil {
			change(&in)
		}
		return in
	}
	tests := map[string]struct {
		phase  Phase
		in     Input
		want   Phase
		reason string
	}{
		"canary goes on":  {Canary, at(8, nil), Canary, ""},
		"canary promoted": {Canary, at(12.1, nil), Promoting, ""},
		"bad canary": {Canary, at(3, func(in *Input) {
			in.Counts = counts("r", Tally{180, 2}, Tally{10, 5}, Tally{10, 5}, Tally{10, 5}, Tally{10, 5})
		}), RolledBack, "all routes"},
		"no target of the version":  {Canary, at(12.1, func(in *Input) { in.NewSlots = 0 }), RolledBack, reasonNoTargets},
		"too few targets":           {Canary, at(12.1, func(in *Input) { in.NewSlots = 40 }), RolledBack, reasonNoTargets},
		"too few answers":           {Canary, at(12.1, func(in *Input) { in.Counts = counts("r", Tally{180, 2}, Tally{9, 0}) }), RolledBack, reasonNoAnswers},
		"store away until the end":  {Canary, at(15.5, nil), RolledBack, reasonLate},
		"version in use already":    {Canary, at(1, func(in *Input) { in.HadOld, in.OldSlots = false, 0 }), Completed, ""},
		"ramp":                      {Promoting, at(13, nil), Promoting, ""},
		"old version still at work": {Promoting, at(13, func(in *Input) { in.Unsettled, in.OldInFlight = 0, 3 }), Promoting, ""},
		"all moved":                 {Promoting, at(14, func(in *Input) { in.Unsettled = 0 }), Completed, ""},
		"last requests at deadline": {Promoting, at(15.3, func(in *Input) { in.Unsettled, in.OldInFlight = 0, 3 }), Completed, ""},
		"instances not moved":       {Promoting, at(15.3, func(in *Input) { in.Unsettled = 2 }), RolledBack, reasonStillUsed},
		"bad while promoting": {Promoting, at(13, func(in *Input) {
			in.Counts = counts("r", Tally{180, 2}, Tally{10, 5}, Tally{10, 5}, Tally{10, 5}, Tally{10, 5})
		}), RolledBack, "all routes"},
		"completed stays": {Completed, at(17, func(in *Input) {
			in.Counts = counts("r", Tally{180, 2}, Tally{10, 5}, Tally{10, 5}, Tally{10, 5}, Tally{10, 5})
		}), Completed, ""},
		"rolled back stays":           {RolledBack, at(17, nil), RolledBack, ""},
		"instances that nobody knows": {Promoting, at(14, func(in *Input) { in.Unsettled = -1 }), Completed, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, reason := Decide(tt.phase, tt.in)
			if got != tt.want || !strings.HasPrefix(reason, tt.reason) || (reason == "") != (tt.reason == "") {
				t.Errorf("got %s, %q, want %s, %q", got, reason, tt.want, tt.reason)
			}
		})
	}
}

func TestSchedule(t *testing.T) {
	tests := map[string]struct {
		duration, latency, promote time.Duration
	}{
		"12 s":                  {12 * time.Second, 300 * time.Millisecond, 7800 * time.Millisecond},
		"slow service":          {12 * time.Second, 2 * time.Second, 6 * time.Second},
		"an hour":               {time.Hour, 300 * time.Millisecond, 45 * time.Minute},
		"shorter than the ramp": {2 * time.Second, 0, time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := Schedule{Began: start, Deadline: start.Add(tt.duration)}
			if got := s.PromoteAt(tt.latency).Sub(start); got != tt.promote {
				t.Errorf("got %s, want %s", got, tt.promote)
			}
		})
	}
	s := Schedule{Began: start, Deadline: start.Add(16 * time.Second)}
	for after, want := range map[time.Duration]float64{-time.Second: 0.1, 0: 0.1, time.Second: 0.55, 3 * time.Second: 1} {
		if got := s.RampShare(0.1, start, start.Add(after)); math.Abs(got-want) > 1e-9 {
			t.Errorf("after %s: got share %g, want %g", after, got, want)
		}
	}
}

// Reports of members that ended count on, but don't tell whether these are settled.
func TestMembers(t *testing.T) {
	m := NewMembers()
	report := func(member string, run int64, answers int, settled bool) Report {
		return Report{Member: member, Run: run, Order: "1", Settled: settled, OldInFlight: 2, Counts: []Count{{Source{Route: "r"}, Tally{answers, 1}}}}
	}
	m.Put(start, report("a", 1, 10, false))
	m.Put(start.Add(time.Second), report("a", 1, 30, true)) // replaces the first
	m.Put(start.Add(time.Second), report("b", 1, 5, true))
	m.Put(start.Add(5*time.Second), report("b", 2, 7, true)) // another process
	other := report("c", 1, 100, true)
	other.Order = "2"
	m.Put(start.Add(5*time.Second), other)
	got := m.Summary(start.Add(5*time.Second), "1")
	if got.Settled != 1 || got.OldInFlight != 2 || len(got.Counts) != 1 || got.Counts[0].Tally != (Tally{42, 3}) {
		t.Errorf("got %+v, want 1 settled, 2 in flight, 42 answers, 3 bad", got)
	}
	for i := range 2 * maxMembers {
		m.Put(start, report(fmt.Sprint(i), 1, 1, false))
	}
	if got := len(m.reports); got != maxMembers {
		t.Errorf("got %d members, want %d at most", got, maxMembers)
	}
}

// A list that is too long keeps the sources with most answers, in a fixed order.
func TestCountsList(t *testing.T) {
	c := counts("r", Tally{100, 0}, Tally{1, 0}, Tally{3, 0}, Tally{2, 0})
	got := c.List(3)
	want := []uint64{0, 2, 3}
	if len(got) != len(want) {
		t.Fatalf("got %+v, want %d tallies", got, len(want))
	}
	for i, n := range got {
		if n.Target != want[i] {
			t.Errorf("got %+v, want targets %v", got, want)
		}
	}
}
