package workingset

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"
)

// Targets keep 12 objects each, and each object has two homes. Where what is in use doesn't fit,
// all instances know within half a minute, to a quarter, what targets keep; where it fits twice,
// nothing is known and so nothing changes.
func TestLearnsWhatTargetsKeep(t *testing.T) {
	const targets, keeps = 48, 12
	for _, instances := range []int{8, 89, 1000} {
		for _, fits := range []float64{0.5, 1, 1.5, 4} {
			for _, skew := range []float64{0, 0.9} {
				t.Run(fmt.Sprintf("%d instances/%g times what fits/skew %g", instances, fits, skew), func(t *testing.T) {
					w := newWorld(t, instances, targets, keeps, int(fits*targets*keeps/2), skew)
					w.play(30 * time.Second)
					got := w.instances[instances-1].Keeps()
					t.Logf("%d objects, confidence %.2f", got.Keeps, got.Confidence)
					wrong := float64(got.Keeps) > 1.25*keeps || float64(got.Keeps) < keeps/1.25
					if fits == 0.5 && got.Known() && wrong || fits > 1 && wrong {
						t.Errorf("got %+v, want %d objects", got, keeps)
					}
				})
			}
		}
	}
}

// What targets keep changes to a quarter or to four times, and back. It is known within a minute,
// or at least as far as objects in use need it.
func TestFindsChange(t *testing.T) {
	for name, tt := range map[string]struct {
		before, after, objects int
		skew                   float64
		want                   int
	}{
		"less":                   {48, 12, 1200, 0, 12},
		"less, skewed":           {48, 12, 3000, 0.9, 12},
		"more":                   {12, 48, 1200, 0, 48},
		"more, skewed":           {12, 48, 3000, 0.9, 48},
		"more than is needed":    {12, 48, 600, 0, 25}, // objects that live at a target
		"less, after all fitted": {48, 12, 600, 0, 12},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 8, 48, tt.before, tt.objects, tt.skew)
			w.play(time.Minute)
			w.keeps = tt.after
			w.play(time.Minute)
			if got := w.instances[1].Keeps().Keeps; float64(got) > 1.4*float64(tt.want) || float64(got) < float64(tt.want)/1.25 {
				t.Errorf("got %d objects, want %d", got, tt.want)
			}
		})
	}
}

// An estimate that peers tell is wrong by four times.
func TestWrongEstimate(t *testing.T) {
	for _, wrong := range []int{3, 48} {
		w := newWorld(t, 8, 48, 12, 600, 0)
		for _, l := range w.instances {
			l.Merge(w.now, Report{Complete: 128, Estimate: Estimate{Keeps: wrong, ColdFactor: 3, Confidence: 1, At: w.now}})
		}
		if got := w.instances[0].Keeps().Keeps; got != wrong {
			t.Errorf("got %d, want %d from peers at first", got, wrong)
		}
		w.play(30 * time.Second)
		if got := w.instances[1].Keeps().Keeps; got < 10 || got > 15 {
			t.Errorf("told %d: got %d objects, want 12", wrong, got)
		}
	}
}

// The instance that collects is killed, and another one collects: it starts from what it was told.
func TestCollectorIsKilled(t *testing.T) {
	w := newWorld(t, 8, 48, 12, 600, 0)
	w.play(30 * time.Second)
	w.instances = w.instances[1:]
	w.instances[0].Collect(true)
	for range 30 {
		if got := w.instances[0].Keeps().Keeps; got < 10 || got > 15 {
			t.Fatalf("got %d objects, want 12 throughout", got)
		}
		w.play(time.Second)
	}
	w.instances[0].Collect(false)
	if got := w.instances[0].Keeps().Keeps; got < 10 || got > 15 {
		t.Errorf("got %d objects after another instance collects, want 12", got)
	}
}

// Cold runs take no longer than warm ones: nothing is learnt.
func TestNothingToKeep(t *testing.T) {
	w := newWorld(t, 8, 48, 12, 600, 0)
	w.coldFactor = 1
	w.play(2 * time.Minute)
	if got := w.instances[1].Keeps(); got.Known() {
		t.Errorf("got %+v, want unknown", got)
	}
}

// Objects that ran within the lifetime are warm, and after it they are not.
func TestWarm(t *testing.T) {
	w := newWorld(t, 1, 48, 12, 600, 0)
	w.play(30 * time.Second)
	l, life := w.instances[0], w.instances[0].Keeps().Lifetime
	l.Observe(w.now, Run{Target: 1, Object: 2})
	if life == 0 || !l.Warm(w.now.Add(life/2), 1, 2) || l.Warm(w.now.Add(2*life), 1, 2) || l.Warm(w.now, 2, 1) {
		t.Errorf("got another answer within or after a lifetime of %s", life)
	}
}

// More runs at sampled targets than a report may hold: fewer targets are sampled, at all instances.
func TestTooManyRuns(t *testing.T) {
	w := newWorld(t, 2, 16, 12, 600, 0)
	for i := range 1000 {
		w.instances[1].Observe(w.now, Run{Target: w.targets[i%16], Object: uint64(i)})
	}
	r := w.instances[1].NextReport(w.now, maxRuns)
	w.instances[0].Merge(w.now, r)
	if len(r.Runs) > maxRuns || r.Complete != 1 || w.instances[0].complete != 1 {
		t.Errorf("got %d runs of %d targets, %d at the peer, want at most %d of 1", len(r.Runs), r.Complete, w.instances[0].complete, maxRuns)
	}
}

// Reports and runs that can't be true change nothing.
func TestBadInput(t *testing.T) {
	w := newWorld(t, 1, 16, 12, 600, 0)
	l := w.instances[0]
	for name, e := range map[string]Estimate{
		"negative":     {Keeps: -1, ColdFactor: 3, At: w.now},
		"huge":         {Keeps: 1 << 40, ColdFactor: 3, At: w.now},
		"no number":    {Keeps: 12, ColdFactor: math.NaN(), At: w.now},
		"infinite":     {Keeps: 12, ColdFactor: 3, Repeats: math.Inf(1), At: w.now},
		"faster cold":  {Keeps: 12, ColdFactor: 0.5, At: w.now},
		"later":        {Keeps: 12, ColdFactor: 3, At: w.now.Add(time.Hour)},
		"overly sure":  {Keeps: 12, ColdFactor: 3, Confidence: 2, At: w.now},
		"without time": {Keeps: 12, ColdFactor: 3},
	} {
		l.Merge(w.now, Report{Complete: -1, Estimate: e, Runs: []Run{{Target: w.targets[0], Took: -1, At: w.now.Add(time.Hour)}}})
		if got := l.Keeps(); got != (Estimate{}) || len(l.pending) > 0 || l.complete != 128 {
			t.Errorf("%s: got %+v, %d runs and %d targets", name, got, len(l.pending), l.complete)
		}
	}
	var fault *ConfigError
	if _, err := New(Config{Fill: 2, MaxKeeps: -1}); !errors.As(err, &fault) || len(fault.Faults) != 2 {
		t.Errorf("got %v, want a *ConfigError with two faults", err)
	}
}

// 100,000 objects take less than 8 MB of an instance's 64.
func TestMemory(t *testing.T) {
	w := newWorld(t, 1, 16, 12, 600, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 300_000 {
		w.instances[0].Observe(w.now, Run{Target: w.targets[i%16], Object: uint64(i % 100_000)})
		if i%1000 == 0 {
			w.instances[0].NextReport(w.now.Add(2*settleTime), maxRuns)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if got := int64(after.HeapAlloc) - int64(before.HeapAlloc); got > 8<<20 {
		t.Errorf("got %d bytes, want at most 8 MB", got)
	} else {
		t.Logf("%d bytes", got)
	}
	runtime.KeepAlive(w)
}

func BenchmarkObserve(b *testing.B) {
	w := newWorld(b, 1, 16, 12, 600, 0)
	b.ReportAllocs()
	for i := range b.N {
		w.instances[0].Observe(w.now, Run{Target: w.targets[i%16], Object: uint64(i % 100_000)})
		w.instances[0].Warm(w.now, 1, 2)
	}
}

// One instance has more runs for a second than it can tell, once. Afterwards all sample as many targets as
// before, although their reports come one after another.
func TestSamplesMoreAgain(t *testing.T) {
	w := newWorld(t, 4, 128, 12, 600, 0)
	for i := range 4 * maxRuns {
		w.instances[1].Observe(w.now, Run{Target: w.targets[i%128], Object: uint64(i), Took: time.Second})
	}
	const delay = 50 * time.Millisecond
	collector := w.instances[0]
	collector.Collect(true)
	for i := range 1200 {
		now := w.now.Add(time.Duration(i) * time.Second)
		for j, l := range w.instances[1:] {
			at := now.Add(time.Duration(j) * 200 * time.Millisecond)
			collector.Merge(at.Add(delay), l.NextReport(at, maxRuns))
			l.Merge(at.Add(2*delay), collector.NextReport(at.Add(delay), 0))
		}
		if got := collector.complete; i == 0 && got >= 128 {
			t.Fatalf("got %d targets after the cut, want fewer", got)
		}
	}
	for i, l := range w.instances {
		if l.complete != 128 {
			t.Errorf("instance %d: got %d targets, want 128", i, l.complete)
		}
	}
}
