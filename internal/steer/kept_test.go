package steer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
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
