package steer

import (
	"testing"
	"time"

	"github.com/firlever/firlever/internal/notice"
)

// What a target has said holds for its run: when its entry comes back too, and not for the next.
func TestNoticeOfARun(t *testing.T) {
	first, second := start.Add(-time.Hour), start.Add(time.Second)
	target := Target{ID: "t00", Started: first, Sequence: 5, Service: "s", Domain: "n1", Slots: 9}
	newer := target
	newer.Sequence = 6
	restarted := target
	restarted.Started, restarted.Sequence = second, 1
	tests := map[string]struct {
		change func(f *Fleet)
		want   Reason
	}{
		"nothing":             {func(*Fleet) {}, Limited},
		"a report":            {func(f *Fleet) { f.Put(start, newer) }, Limited},
		"gone and back":       {func(f *Fleet) { f.Remove("t00"); f.Put(start, target) }, Limited},
		"another run":         {func(f *Fleet) { f.Put(start, restarted) }, ""},
		"gone, another run":   {func(f *Fleet) { f.Remove("t00"); f.Put(start, restarted) }, ""},
		"others join":         {func(f *Fleet) { f.Peers(start, []string{"a", "b", "c"}) }, Limited},
		"an answer without":   {func(f *Fleet) { f.Notice(start.Add(2), target, start.Add(1), notice.Notice{}, true) }, ""},
		"a failure without":   {func(f *Fleet) { f.Notice(start.Add(2), target, start.Add(1), notice.Notice{}, false) }, Limited},
		"an answer of before": {func(f *Fleet) { f.Notice(start.Add(2), target, start, notice.Notice{}, true) }, Limited},
		"another run's word":  {func(f *Fleet) { f.Notice(start.Add(2), restarted, start.Add(1), notice.Notice{}, true) }, Limited},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 0, 9)
			f.Put(start, target)
			f.Notice(start, target, start, notice.Notice{Limit: 0, Limited: true}, true)
			tt.change(f)
			if got := f.Pick(start.Add(3), query("7")).Reason; got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// A run that leaves stays so, whatever older entries or other answers say; the next run is another.
func TestLeavingOfARun(t *testing.T) {
	target := Target{ID: "t00", Started: start.Add(-time.Hour), Sequence: 5, Service: "s", Domain: "n1", Slots: 9}
	newer := target
	newer.Sequence = 6
	restarted := target
	restarted.Started, restarted.Sequence = start.Add(time.Second), 1
	tests := map[string]struct {
		change func(f *Fleet)
		want   Reason
	}{
		"nothing":           {func(*Fleet) {}, NoTarget},
		"a report":          {func(f *Fleet) { f.Put(start, newer) }, NoTarget},
		"gone and back":     {func(f *Fleet) { f.Remove("t00"); f.Put(start, target) }, NoTarget},
		"another answer":    {func(f *Fleet) { f.Notice(start.Add(2), target, start.Add(1), notice.Notice{}, true) }, NoTarget},
		"another run":       {func(f *Fleet) { f.Put(start, restarted) }, ""},
		"gone, another run": {func(f *Fleet) { f.Remove("t00"); f.Put(start, restarted) }, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 0, 9)
			f.Put(start, target)
			f.Notice(start, target, start, notice.Notice{Leaving: true}, true)
			if f.Wanted(start, target) {
				t.Error("got a request that is wanted, want none")
			}
			tt.change(f)
			if got := f.Pick(start.Add(3), query("7")).Reason; got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// A target that leaves gets nothing from an instance that has been told so.
func TestRequestsAtALeavingTarget(t *testing.T) {
	tests := map[string]struct {
		rates   []float64
		targets int
		shares  bool
	}{
		"even load":           {evenRates(9, 360), 16, false},
		"all at one instance": {[]float64{360, 0, 0, 0, 0, 0, 0, 0, 0}, 16, false},
		"the only target":     {evenRates(9, 200), 1, false},
		"told by peers":       {evenRates(60, 300), 12, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newNoticeSim(t, tt.rates, tt.targets, func(target string, now time.Time) stubAnswer {
				return stubAnswer{Notice: notice.Notice{Leaving: target == "t00" && now.Sub(start) >= seconds(5)}}
			})
			w.exchanges = tt.shares
			w.run(0, 5)
			if len(w.arrivals) == 0 {
				t.Fatal("the target got nothing before it left")
			}
			w.run(5, 20)
			if got := w.maxArrivals(time.Minute, noticeSimTick, start); got != 0 {
				t.Errorf("got %d requests of instances that had been told, want none", got)
			}
		})
	}
}

// What a target said outlasts the memory of runs that are gone as long as the target is known.
func TestNoticeIsKept(t *testing.T) {
	f := newFleet(t, 2, 9)
	leaving, rests := f.targets["t00"].Target, f.targets["t01"].Target
	f.Notice(start, leaving, start, notice.Notice{Leaving: true}, true)
	f.Notice(start, rests, start, notice.Notice{Rest: time.Hour}, false)
	now := start.Add(2 * noticeTTL)
	f.Put(now, Target{ID: "t02", Service: "s", Domain: "n1", Slots: 9})
	f.Notice(now, f.targets["t02"].Target, now, notice.Notice{Limit: 1, Limited: true}, true)
	f.Notice(now, leaving, now, notice.Notice{}, false)
	f.HearConstraints(now, []Constraint{{Target: f.targets["t01"].idHash, Limit: 5, Limited: true, At: now}})
	f.Remove("t01")
	f.Put(now, rests)
	for _, target := range []Target{leaving, rests} {
		if f.Wanted(now, target) {
			t.Errorf("%s: got a request that is wanted, want none", target.ID)
		}
	}
	q := query("7")
	q.Deadline = now.Add(time.Second)
	if got := f.Pick(now, q).Reason; got != Limited {
		t.Errorf("got %q, want %q, as the others want nothing", got, Limited)
	}
}

// What a peer heard before the end of a limit does not bring it back.
func TestOldWordOfALimit(t *testing.T) {
	f := newFleet(t, 1, 9)
	target := f.targets["t00"]
	f.Notice(start, target.Target, start, notice.Notice{Limited: true}, true)
	f.Notice(start.Add(2*time.Second), target.Target, start.Add(time.Second), notice.Notice{}, true)
	now := start.Add(3 * time.Second)
	f.HearConstraints(now, []Constraint{{Target: target.idHash, Limited: true, At: start.Add(time.Second / 2)}})
	if got := f.Pick(now, query("7")).Reason; got != "" {
		t.Errorf("got %q, want a target that may get the request", got)
	}
	f.HearConstraints(now, []Constraint{{Target: target.idHash, Limited: true, At: start.Add(2 * time.Second)}})
	if got := f.Pick(now, query("7")).Reason; got != Limited {
		t.Errorf("got %q, want %q", got, Limited)
	}
}
