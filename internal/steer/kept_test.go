package steer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/placement"
	"github.com/firlever/firlever/internal/workingset"
)

// Objects with two homes are more than targets keep, which is 6 each: cold runs take three times as
// long. The fleet learns it from the outcomes, and no choice depends on it.
func TestLearnsKeptObjects(t *testing.T) {
	const targets, keeps = 8, 6
	f, blind := newFleet(t, targets, 4), newFleet(t, targets, 4)
	rng := rand.New(rand.NewPCG(1, 1))
	caches := map[string][]string{}
	now := start
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		object := fmt.Sprint(rng.IntN(100))
		c, other := f.Pick(now, query(object)), blind.Pick(now, query(object))
		if c.Target.ID != other.Target.ID {
			t.Fatalf("request %d: got %s, want %s as without learning", i, c.Target.ID, other.Target.ID)
		}
		took := 100 * time.Millisecond
		cache := caches[c.Target.ID]
		if k := slices.Index(cache, object); k >= 0 {
			cache = slices.Delete(cache, k, k+1)
		} else {
			took *= 3
		}
		cache = slices.Insert(cache, 0, object)
		caches[c.Target.ID] = cache[:min(keeps, len(cache))]
		o := Outcome{Ending: Answered, Took: took, Load: &Load{}}
		blind.Done(now, other.Target, o)
		o.Object, o.Kind = object, "r"
		f.Done(now, c.Target, o)
		if i%100 == 0 {
			f.KeptReports(now, 256, 64, true)
		}
	}
	if got := f.Kept("s"); got.Keeps < 5 || got.Keeps > 7 {
		t.Errorf("got %+v, want %d objects", got, keeps)
	}
}

// The region's objects with two homes each are more than targets keep: they get one. Where they fit,
// or it isn't known what targets keep, the number of homes is as it was.
func TestHomesFitKeptObjects(t *testing.T) {
	for name, tt := range map[string]struct{ keeps, objects, want int }{
		"fit":           {20, 30, homeCount},
		"fit once":      {20, 70, 1},
		"fit not":       {20, 500, 1},
		"keeps unknown": {0, 500, homeCount},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 8, 4)
			s := f.services["s"]
			f.learn(s).Merge(start, workingset.Report{Complete: 128, Estimate: workingset.Estimate{Keeps: tt.keeps, ColdFactor: 3, Confidence: 1, At: start}})
			for i := range tt.objects {
				s.plan.Set(placement.Load{Object: placement.Object{Key: uint64(i + 1)}, Level: 20})
			}
			f.PlaceObjects(start)
			if got := s.maxHomes(); got != tt.want || s.plan.OneHome() != (tt.want == 1) {
				t.Errorf("got %d homes, one planned %t, want %d", got, s.plan.OneHome(), tt.want)
			}
		})
	}
}
