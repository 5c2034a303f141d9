package steer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/routes"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var regions = map[string]string{"n1": "north", "n2": "north", "s1": "south", "s2": "south"}

func config(instance, domain string) Config {
	return Config{
		Instance: instance, Domain: domain, Regions: regions,
		Bounds: Bounds{RetryRatio: 0.2, RetrySlack: 60, ColdFactor: 1.5, ColdSlack: 5},
	}
}

// newFleet returns a fleet with n targets of service s, spread over the domains.
func newFleet(t *testing.T, n, slots int) *Fleet {
	t.Helper()
	f, err := New(config("a", "n1"))
	if err != nil {
		t.Fatal(err)
	}
	f.SetServices(start, map[string]routes.Service{"s": {Name: "s", Warmup: 3 * time.Second, ColdRate: 14}})
	f.SetPeers(start, []string{"a", "b"})
	domains := []string{"n1", "n2", "s1", "s2"}
	for i := range n {
		f.Put(start, Target{ID: fmt.Sprintf("t%02d", i), Service: "s", Domain: domains[i%4], Slots: slots})
	}
	return f
}

func query(object string) Query {
	return Query{Service: "s", Object: object, SpreadKey: object, Objective: 400 * time.Millisecond, Deadline: start.Add(time.Minute)}
}

// queryOf returns a query for an object to be passed on.
func queryOf(object string) *Query {
	q := query(object)
	return &q
}

func TestConfigFaults(t *testing.T) {
	tests := map[string]func(*Config){
		"no instance":     func(c *Config) { c.Instance = "" },
		"unknown domain":  func(c *Config) { c.Domain = "x" },
		"ratio above one": func(c *Config) { c.RetryRatio = 1.5 },
		"negative slack":  func(c *Config) { c.ColdSlack = -1 },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := config("a", "n1")
			change(&cfg)
			_, err := New(cfg)
			var got *ConfigError
			if !errors.As(err, &got) {
				t.Errorf("got %v, want a *ConfigError", err)
			}
		})
	}
}

// An object has the same home at every instance of a region, and keeps it when another target is
// added or removed.
func TestOneHome(t *testing.T) {
	homes := map[string]string{}
	a, b := newFleet(t, 16, 8), newFleet(t, 16, 8)
	b.cfg.Domain = "n2"
	moved := 0
	for i := range 200 {
		object := fmt.Sprint(i)
		got, other := a.best(start, a.services["s"], queryOf(object)), b.best(start, b.services["s"], queryOf(object))
		if got.Target.ID != other.Target.ID || !got.Home {
			t.Fatalf("object %s: got %q and %q", object, got.Target.ID, other.Target.ID)
		}
		homes[object] = got.Target.ID
	}
	a.Remove("t03")
	for object, home := range homes {
		got := a.best(start, a.services["s"], queryOf(object)).Target.ID
		if home != "t03" && got != home {
			t.Errorf("object %s moved from %s to %s", object, home, got)
		}
		if got != home {
			moved++
		}
	}
	if moved == 0 || moved > 40 {
		t.Errorf("got %d of 200 objects moved, want about 12", moved)
	}
}

// Requests that exceed the capacity of an object's homes are refused with a time to retry, unless
// other targets are mostly idle: cold work takes the slots of three requests.
func TestSpill(t *testing.T) {
	f := newFleet(t, 16, 4)
	used := map[string]int{}
	refused := 0
	for range 200 {
		c := f.Pick(start, query("hot"))
		if c.Reason != "" {
			refused++
			if c.FirstCandidate == "" || c.TargetLoad == 0 {
				t.Fatalf("got %+v, want the first candidate and its load", c)
			}
			if c.RetryAfter < minRetryAfter {
				t.Fatalf("got a retry after %s", c.RetryAfter)
			}
			continue
		}
		used[c.Target.ID]++
	}
	full := 0
	for id, n := range used {
		if n > 2 {
			full++
		}
		if n > 3*4 {
			t.Errorf("got %d requests at %s with 4 slots", n, id)
		}
	}
	if full != homeCount {
		t.Errorf("got %d targets used in full, want %d", full, homeCount)
	}
	if refused == 0 {
		t.Error("got no refusal")
	}
}

// Requests of a route without an objective can queue too.
func TestNoObjective(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.Done(start, Target{ID: "t00"}, Outcome{Ending: Answered, Took: 100 * time.Millisecond})
	for i := range 2 {
		q := query("x")
		q.Objective = 0
		if c := f.Pick(start, q); c.Reason != "" {
			t.Errorf("request %d: got %+v, want it queued", i, c)
		}
	}
}

// Requests without an object are spread over all targets.
func TestSpread(t *testing.T) {
	f := newFleet(t, 16, 4)
	used := map[string]int{}
	for i := range 320 {
		q := query("")
		q.SpreadKey = fmt.Sprint(i)
		used[f.best(start, f.services["s"], &q).Target.ID]++
	}
	if len(used) != 16 {
		t.Errorf("got %d of 16 targets used", len(used))
	}
	for id, n := range used {
		if n > 60 {
			t.Errorf("got %d of 320 requests at %s", n, id)
		}
	}
}

// Large answers are served in the own failure domain while it has capacity.
func TestLargeAnswersStay(t *testing.T) {
	f := newFleet(t, 16, 4)
	for i := range 50 {
		q := query(fmt.Sprint(i))
		q.AnswerSize = 90e3
		c := f.best(start, f.services["s"], &q)
		if c.Target.Domain != "n1" {
			t.Errorf("object %d: got domain %s, want n1", i, c.Target.Domain)
		}
	}
}

func TestWhoGetsNothing(t *testing.T) {
	tests := map[string]struct {
		prepare func(f *Fleet)
		query   func(q *Query)
		want    func(c Choice) bool
	}{
		"leaving": {
			prepare: func(f *Fleet) { f.Put(start, Target{ID: "t00", Service: "s", Domain: "n1", Slots: 4, Leaving: true}) },
			want:    func(c Choice) bool { return c.Target.ID != "t00" },
		},
		"evacuated": {
			prepare: func(f *Fleet) { f.Evacuate(start, []string{"n1", "n2"}) },
			want:    func(c Choice) bool { return regions[c.Target.Domain] == "south" },
		},
		"outside the route's regions": {
			query: func(q *Query) { q.Regions = []string{"south"} },
			want:  func(c Choice) bool { return regions[c.Target.Domain] == "south" },
		},
		"tried before": {
			query: func(q *Query) { q.Tried = []string{"t00", "t01", "t02"} },
			want:  func(c Choice) bool { return c.Target.ID == "t03" },
		},
		"no target in the regions": {
			query: func(q *Query) { q.Regions = []string{"east"} },
			want:  func(c Choice) bool { return c.Reason == NoTarget },
		},
		"no time": {
			query: func(q *Query) { q.Deadline = start },
			want:  func(c Choice) bool { return c.Reason == NoCapacity },
		},
		"ejected": {
			prepare: func(f *Fleet) {
				for range ejectAfter {
					f.Done(start, Target{ID: "t00"}, Outcome{Ending: Failed})
				}
			},
			want: func(c Choice) bool { return c.Target.ID != "t00" },
		},
		"refused for lack of capacity": {
			prepare: func(f *Fleet) { f.Done(start, Target{ID: "t00"}, Outcome{Ending: Shed}) },
			want:    func(c Choice) bool { return c.Target.ID != "t00" },
		},
		"another incarnation at the address": {
			prepare: func(f *Fleet) { f.Done(start, Target{ID: "t00"}, Outcome{Ending: Replaced}) },
			want:    func(c Choice) bool { return c.Target.ID != "t00" },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 4, 4)
			if tt.prepare != nil {
				tt.prepare(f)
			}
			for i := range 40 {
				q := query(fmt.Sprint(i))
				if tt.query != nil {
					tt.query(&q)
				}
				if c := f.best(start, f.services["s"], &q); !tt.want(c) {
					t.Errorf("object %d: got %+v", i, c)
				}
			}
		})
	}
}

// If most targets fail, none is excluded.
func TestEjectionFloor(t *testing.T) {
	f := newFleet(t, 4, 4)
	for _, id := range []string{"t00", "t01", "t02"} {
		for range ejectAfter {
			f.Done(start, Target{ID: id}, Outcome{Ending: Failed})
		}
	}
	got := map[string]bool{}
	for i := range 40 {
		got[f.best(start, f.services["s"], queryOf(fmt.Sprint(i))).Target.ID] = true
	}
	if len(got) != 4 {
		t.Errorf("got %d targets used, want all 4", len(got))
	}
	if all, usable := f.CountTargets(start, "s"); all != 4 || usable != 1 {
		t.Errorf("got %d of %d usable, want 1 of 4", usable, all)
	}
}

// A slow target loses its objects to their second homes, and gets them back some time after its
// last measurement.
func TestSlowTarget(t *testing.T) {
	f := newFleet(t, 4, 4)
	for id := range f.targets {
		f.Done(start, Target{ID: id}, Outcome{Ending: Answered, Took: 100 * time.Millisecond})
	}
	home := f.best(start, f.services["s"], queryOf("x")).Target.ID
	for range 10 {
		f.Done(start, Target{ID: home}, Outcome{Ending: TimedOut, Took: 2 * time.Second})
		f.targets[home].ejectedUntil = time.Time{}
		f.services["s"].meanLatency = 100 * time.Millisecond
	}
	if got := f.best(start, f.services["s"], queryOf("x")).Target.ID; got == home {
		t.Errorf("got the slow home %s", got)
	}
	q := query("x")
	if got := f.best(start.Add(30*time.Second), f.services["s"], &q).Target.ID; got != home {
		t.Errorf("got %s after 30 s, want the home %s", got, home)
	}
}

// A load report loses its weight with age until it counts for nothing, and the typical load of
// the service's targets replaces it.
func TestLoadReportDecays(t *testing.T) {
	f := newFleet(t, 1, 4)
	f.Done(start, Target{ID: "t00"}, Outcome{Ending: Answered, Took: time.Second, Load: &Load{Running: 4, Waiting: 6}})
	tests := map[string]struct {
		typical float64 // per slot; there are 4
		after   time.Duration
		want    int
	}{
		"at once":                         {0, 0, 10},
		"half expired":                    {0, loadReportTTL / 2, 5},
		"expired":                         {0, loadReportTTL, 0},
		"at once, in a busy service":      {0.5, 0, 10},
		"half expired, in a busy service": {0.5, loadReportTTL / 2, 6},
		"expired, in a busy service":      {0.5, loadReportTTL, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f.services["s"].typicalLoad = tt.typical
			if got := f.targets["t00"].currentLoad(start.Add(tt.after)); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// Targets of a reinstated domain may have gone cold while it was evacuated.
func TestReinstatedDomainIsCold(t *testing.T) {
	f := newFleet(t, 4, 4)
	f.Evacuate(start, []string{"n1"})
	f.Evacuate(start.Add(time.Second), nil)
	if !f.targets["t00"].cold(start.Add(2 * time.Second)) {
		t.Error("got a warm target right after an evacuation")
	}
	if f.targets["t01"].cold(start.Add(2 * time.Second)) {
		t.Error("got a cold target in a domain that was not evacuated")
	}
}

// No sequence of outcomes makes the counters inconsistent.
func TestRandomOutcomesKeepCounters(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	f := newFleet(t, 8, 3)
	now := start
	var open []string
	for range 20000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		if len(open) > 0 && rng.IntN(2) == 0 {
			i := rng.IntN(len(open))
			f.Done(now, Target{ID: open[i]}, Outcome{Ending: Ending(rng.IntN(6)), Took: time.Duration(rng.IntN(1000)) * time.Millisecond})
			open = append(open[:i], open[i+1:]...)
		} else {
			q := query(fmt.Sprint(rng.IntN(50)))
			q.Deadline = now.Add(time.Second)
			if c := f.Pick(now, q); c.Reason == "" {
				open = append(open, c.Target.ID)
			}
		}
		if rng.IntN(50) == 0 {
			id := fmt.Sprintf("t%02d", rng.IntN(8))
			f.Put(now, Target{ID: id, Service: "s", Domain: "n1", Slots: 3, Leaving: rng.IntN(4) == 0})
		}
		for id, target := range f.targets {
			if target.inFlight() < 0 || target.failureShare < 0 || target.failureShare > 1 {
				t.Fatalf("target %s: got %d in flight, %f failures", id, target.inFlight(), target.failureShare)
			}
		}
	}
}

// Most objects have their homes in the region that requests them, whichever it is. Some have them
// elsewhere, which keeps a small region from being overloaded.
func TestHomesInOwnRegion(t *testing.T) {
	for domain, region := range map[string]string{"n1": "north", "s2": "south"} {
		f := newFleet(t, 16, 8)
		f.cfg.Domain, f.region = domain, region
		near := 0
		for i := range 1000 {
			c := f.best(start, f.services["s"], queryOf(fmt.Sprint(i)))
			if regions[c.Target.Domain] == region {
				near++
			}
		}
		// Half of the targets have a weight of 4: four fifths of the objects.
		if near < 750 || near > 850 {
			t.Errorf("%s: got %d of 1000 objects in the region, want about 800", region, near)
		}
	}
}

// A registration is redundant if nothing but its number and the time that is left until the target
// is warm differ from the known one, and that only by the time that has passed.
func TestRedundant(t *testing.T) {
	known := Target{ID: "t", Started: start, Sequence: 3, Service: "s", Version: "v1", Address: "a", Domain: "n1", Slots: 8, WarmAt: start.Add(3 * time.Second)}
	at := start.Add(1500 * time.Millisecond)
	tests := map[string]struct {
		change func(r *Target)
		now    time.Time
		want   bool
	}{
		"heartbeat":       {func(r *Target) { r.Sequence = 4 }, at, true},
		"arrives later":   {func(r *Target) { r.WarmAt = r.WarmAt.Add(400 * time.Millisecond) }, at, true},
		"warm, as known":  {func(r *Target) { r.WarmAt = time.Time{} }, start.Add(3 * time.Second), true},
		"warm early":      {func(r *Target) { r.WarmAt = time.Time{} }, at, false},
		"cold again":      {func(r *Target) { r.WarmAt = start.Add(9 * time.Second) }, start.Add(6 * time.Second), false},
		"leaving":         {func(r *Target) { r.Leaving = true }, at, false},
		"another run":     {func(r *Target) { r.Started = at }, at, false},
		"another address": {func(r *Target) { r.Address = "b" }, at, false},
		"another version": {func(r *Target) { r.Version = "v2" }, at, false},
		"more slots":      {func(r *Target) { r.Slots = 9 }, at, false},
		"older":           {func(r *Target) { r.Sequence = 2 }, at, false},
		"another target":  {func(r *Target) { r.ID = "u" }, at, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 0, 8)
			f.Put(start, known)
			r := known
			tt.change(&r)
			if got := f.Redundant(tt.now, r); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}
