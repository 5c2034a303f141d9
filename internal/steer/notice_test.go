package steer

import (
	"testing"
	"time"

	"github.com/firlever/firlever/internal/notice"
)

// The notice of a target holds for its run, also if the run's entry is removed and returns, and
// not for the next run.
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
		"nothing":                      {func(*Fleet) {}, LimitReached},
		"another registration":         {func(f *Fleet) { f.Put(start, newer) }, LimitReached},
		"removed and back":             {func(f *Fleet) { f.Remove("t00"); f.Put(start, target) }, LimitReached},
		"another run":                  {func(f *Fleet) { f.Put(start, restarted) }, ""},
		"removed, another run":         {func(f *Fleet) { f.Remove("t00"); f.Put(start, restarted) }, ""},
		"peers join":                   {func(f *Fleet) { f.SetPeers(start, []string{"a", "b", "c"}) }, LimitReached},
		"answer without a limit":       {func(f *Fleet) { f.ApplyNotice(start.Add(2), target, start.Add(1), notice.Notice{}, true) }, ""},
		"failure without a limit":      {func(f *Fleet) { f.ApplyNotice(start.Add(2), target, start.Add(1), notice.Notice{}, false) }, LimitReached},
		"answer to an earlier request": {func(f *Fleet) { f.ApplyNotice(start.Add(2), target, start, notice.Notice{}, true) }, LimitReached},
		"answer of another run":        {func(f *Fleet) { f.ApplyNotice(start.Add(2), restarted, start.Add(1), notice.Notice{}, true) }, LimitReached},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 0, 9)
			f.Put(start, target)
			f.ApplyNotice(start, target, start, notice.Notice{Limit: 0, HasLimit: true}, true)
			tt.change(f)
			if got := f.Pick(start.Add(3), query("7")).Reason; got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// A run that announced its leaving stays leaving, whatever older entries or other answers say.
// The next run is not affected.
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
		"nothing":              {func(*Fleet) {}, NoTarget},
		"another registration": {func(f *Fleet) { f.Put(start, newer) }, NoTarget},
		"removed and back":     {func(f *Fleet) { f.Remove("t00"); f.Put(start, target) }, NoTarget},
		"another answer":       {func(f *Fleet) { f.ApplyNotice(start.Add(2), target, start.Add(1), notice.Notice{}, true) }, NoTarget},
		"another run":          {func(f *Fleet) { f.Put(start, restarted) }, ""},
		"removed, another run": {func(f *Fleet) { f.Remove("t00"); f.Put(start, restarted) }, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 0, 9)
			f.Put(start, target)
			f.ApplyNotice(start, target, start, notice.Notice{Leaving: true}, true)
			if f.Accepts(start, target) {
				t.Error("got the request accepted, want it refused")
			}
			tt.change(f)
			if got := f.Pick(start.Add(3), query("7")).Reason; got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// A target that is leaving gets no requests from an instance that received its notice.
func TestRequestsAtALeavingTarget(t *testing.T) {
	tests := map[string]struct {
		rates   []float64
		targets int
		shares  bool
	}{
		"even load":           {evenRates(9, 360), 16, false},
		"all at one instance": {[]float64{360, 0, 0, 0, 0, 0, 0, 0, 0}, 16, false},
		"the only target":     {evenRates(9, 200), 1, false},
		"notice from peers":   {evenRates(60, 300), 12, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newNoticeSim(t, tt.rates, tt.targets, func(target string, now time.Time) stubAnswer {
				return stubAnswer{Notice: notice.Notice{Leaving: target == "t00" && now.Sub(start) >= seconds(5)}}
			})
			w.exchanges = tt.shares
			w.run(0, 5)
			if len(w.arrivals) == 0 {
				t.Fatal("the target got no requests before its notice")
			}
			w.run(5, 20)
			if got := w.maxArrivals(time.Minute, noticeSimTick, start); got != 0 {
				t.Errorf("got %d requests of instances that had received the notice, want none", got)
			}
		})
	}
}

// The notices of a registered target are kept beyond noticeTTL, when those of removed runs are
// dropped.
func TestNoticeIsKept(t *testing.T) {
	f := newFleet(t, 2, 9)
	leaving, backingOff := f.targets["t00"].Target, f.targets["t01"].Target
	f.ApplyNotice(start, leaving, start, notice.Notice{Leaving: true}, true)
	f.ApplyNotice(start, backingOff, start, notice.Notice{BackOff: time.Hour}, false)
	now := start.Add(2 * noticeTTL)
	f.Put(now, Target{ID: "t02", Service: "s", Domain: "n1", Slots: 9})
	f.ApplyNotice(now, f.targets["t02"].Target, now, notice.Notice{Limit: 1, HasLimit: true}, true)
	f.ApplyNotice(now, leaving, now, notice.Notice{}, false)
	f.ApplyConstraints(now, []Constraint{{Target: f.targets["t01"].idHash, Limit: 5, HasLimit: true, At: now}})
	f.Remove("t01")
	f.Put(now, backingOff)
	for _, target := range []Target{leaving, backingOff} {
		if f.Accepts(now, target) {
			t.Errorf("%s: got the request accepted, want it refused", target.ID)
		}
	}
	q := query("7")
	q.Deadline = now.Add(time.Second)
	if got := f.Pick(now, q).Reason; got != LimitReached {
		t.Errorf("got %q, want %q, as the other targets accept nothing", got, LimitReached)
	}
}

// A limit that a peer observed before the limit ended does not take effect again.
func TestOldWordOfALimit(t *testing.T) {
	f := newFleet(t, 1, 9)
	target := f.targets["t00"]
	f.ApplyNotice(start, target.Target, start, notice.Notice{HasLimit: true}, true)
	f.ApplyNotice(start.Add(2*time.Second), target.Target, start.Add(time.Second), notice.Notice{}, true)
	now := start.Add(3 * time.Second)
	f.ApplyConstraints(now, []Constraint{{Target: target.idHash, HasLimit: true, At: start.Add(time.Second / 2)}})
	if got := f.Pick(now, query("7")).Reason; got != "" {
		t.Errorf("got %q, want a target that may get the request", got)
	}
	f.ApplyConstraints(now, []Constraint{{Target: target.idHash, HasLimit: true, At: start.Add(2 * time.Second)}})
	if got := f.Pick(now, query("7")).Reason; got != LimitReached {
		t.Errorf("got %q, want %q", got, LimitReached)
	}
}
