package steer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/placement"
	"github.com/firlever/firlever/internal/routes"
)

// placed returns a fleet that has heard of the given work of objects, in slots each, and the time
// after some updates of its plan.
func placed(t *testing.T, domain string, work map[string]float64, near bool) (*Fleet, time.Time) {
	t.Helper()
	f := newFleet(t, 16, 4)
	f.cfg.Domain, f.region = domain, regions[domain]
	f.services["s"].reportsLoad = true
	b := placement.Batch{First: true, End: true}
	for object, w := range work {
		level := uint8(1 + math.Round(4*math.Log2(w*1024)))
		b.Loads = append(b.Loads, placement.Load{Service: hash("s"), Object: placement.Object{Key: hash(object), Near: near}, Level: level})
	}
	f.ApplyObjectLoads(b)
	now := start
	for range 60 {
		now = now.Add(time.Second)
		f.PlaceObjects(now)
	}
	return f, now
}

// equalWork returns the same work for each of n objects.
func equalWork(n int, work float64) map[string]float64 {
	m := make(map[string]float64)
	for i := range n {
		m[fmt.Sprint(i)] = work
	}
	return m
}

// pickOf picks a target for an object and frees its slot.
func pickOf(f *Fleet, now time.Time, object string, change func(*Query)) Choice {
	q := query(object)
	q.Deadline = now.Add(time.Minute)
	if change != nil {
		change(&q)
	}
	c := f.Pick(now, q)
	f.Done(now, c.Target, Outcome{Ending: NotSent})
	return c
}

// Where all targets have room for their objects, each choice is as without counts. So is each choice of a
// service whose targets don't report their load.
func TestPlanWithinBound(t *testing.T) {
	for name, size := range map[string]float64{"small answers": 0, "large answers": 100e3} {
		t.Run(name, func(t *testing.T) {
			large := func(q *Query) { q.AnswerSize = size }
			planned, now := placed(t, "n1", equalWork(400, 0.01), size > 0)
			plain := newFleet(t, 16, 4)
			for i := range 400 {
				object := fmt.Sprint(i)
				got, want := pickOf(planned, now, object, large), pickOf(plain, now, object, large)
				got.LoadAge, want.LoadAge = 0, 0
				if got.Target != want.Target || got.Cost != want.Cost || got.HedgeAt != want.HedgeAt {
					t.Fatalf("object %s: got %+v, want %+v", object, got, want)
				}
			}
		})
	}
	f := newFleet(t, 16, 4)
	pickOf(f, start, "x", nil)
	if got := f.TakeObjectCounts(10); len(got) > 0 {
		t.Errorf("got counts %v of a service without load reports, want none", got)
	}
}

// Objects of equal heat, four a target, at targets that can do the work of five. All instances of a region
// send an object to one target, and no target is home of more than it can do.
func TestPlannedHomes(t *testing.T) {
	work := equalWork(64, 0.5)
	a, now := placed(t, "n1", work, false)
	b, _ := placed(t, "n2", work, false)
	homes, moved := make(map[string]float64), 0
	for object, w := range work {
		got, other := pickOf(a, now, object, nil), pickOf(b, now, object, nil)
		if got.Target.ID != other.Target.ID || got.PlannedHome != got.Target.ID {
			t.Errorf("object %s: got %s and %s, want the home %s of the plan", object, got.Target.ID, other.Target.ID, got.PlannedHome)
		}
		homes[got.Target.ID] += w
		if got.Target.ID != pickOf(newFleet(t, 16, 4), now, object, nil).Target.ID {
			moved++
		}
	}
	preference := a.newRanker(a.services["s"]).preferenceIn(0)
	for id, got := range homes {
		mean := 64 * 0.5 / 16 * 2 / (1 + preference)
		if a.targets[id].region == a.region {
			mean *= preference
		}
		if want := max(1.25*mean, 2); got > want*1.05 {
			t.Errorf("%s: got %.1f slots of work, want %.1f at most", id, got, want)
		}
	}
	if moved == 0 {
		t.Error("got no object away from its home by hash")
	}
}

// Requests that are bound to a region stay there, and a home that is ejected or was tried is replaced.
func TestPlannedHomeBound(t *testing.T) {
	work := equalWork(64, 0.5)
	f, now := placed(t, "n1", work, false)
	for object := range work {
		south := pickOf(f, now, object, func(q *Query) { q.Regions = routes.RegionsOf([]string{"south"}) })
		if got := regions[south.Target.Domain]; got != "south" {
			t.Fatalf("object %s: got region %s, want south", object, got)
		}
		home := pickOf(f, now, object, nil).Target.ID
		if got := pickOf(f, now, object, func(q *Query) { q.Tried = []string{home} }).Target.ID; got == home || got == "" {
			t.Fatalf("object %s: got %q after %q was tried, want another", object, got, home)
		}
	}
}

// An object's home is full, and any other target would push out what is warm there. Requests wait as long
// as they get a slot within the objective, and go to the next target only then.
func TestSecondHomeOfPlan(t *testing.T) {
	work := equalWork(64, 0.5)
	f, now := placed(t, "n1", work, false)
	f.SetHomes("s", 1)
	home := pickOf(f, now, "1", nil).Target.ID
	f.services["s"].meanLatency = 200 * time.Millisecond
	used := make(map[string]int)
	for range 13 {
		q := query("1")
		q.Deadline = now.Add(time.Minute)
		c := f.Pick(now, q)
		used[c.Target.ID]++
	}
	// 4 slots and, at 200 ms each, 8 requests that get a slot within 400 ms.
	if used[home] != 12 || len(used) != 2 {
		t.Errorf("got %v, want 12 at %s and 1 at another", used, home)
	}
}

// One object needs the slots of several targets. Its requests are spread over its homes, and wait at none
// while another has a free slot.
func TestHotObject(t *testing.T) {
	work := equalWork(32, 0.2)
	work["hot"] = 5
	f, now := placed(t, "n1", work, false)
	used := make(map[string]int)
	for range 12 {
		q := query("hot")
		q.Deadline = now.Add(time.Minute)
		c := f.Pick(now, q)
		if c.Wait > 0 {
			t.Errorf("got a wait of %s at %s, want none", c.Wait, c.Target.ID)
		}
		used[c.Target.ID]++
	}
	if len(used) != 3 {
		t.Errorf("got %v, want 4 at each of 3 homes", used)
	}
}

// The first requests run cold, and later a part of them. The estimate is the duration of warm work from early
// on, and only where most run cold, objects have one home.
func TestColdRuns(t *testing.T) {
	tests := map[string]struct {
		cold float64
		want bool
	}{"few cold": {0.2, false}, "most cold": {0.7, true}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 4, 4)
			s, rng := f.services["s"], rand.New(rand.NewPCG(1, 1))
			oneHome := 0
			for i := range 1000 {
				took := time.Duration(100+rng.IntN(20)) * time.Millisecond
				if i < 20 || rng.Float64() < tt.cold {
					took *= 3
				}
				f.Done(start, s.targets[i%4].Target, Outcome{Ending: Answered, Took: took, Object: "x", Load: &Load{}})
				if i >= 500 && s.oneHome() {
					oneHome++
				}
				if w := s.warmLatency; i < 20 && w > 150*time.Millisecond || i > 200 && (w < 80*time.Millisecond || w > 150*time.Millisecond) {
					t.Fatalf("request %d: got %s, want about 100ms", i, w)
				}
			}
			if got := oneHome > 250; got != tt.want {
				t.Errorf("got one home an object in %d of 500 choices, want in most: %t", oneHome, tt.want)
			}
		})
	}
}
