package workingset

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.UnixMilli(1_800_000_000_000)

// cache is what a target keeps: the objects that it ran last.
type cache []uint64

// run reports whether an object was warm at a target that keeps a number of objects.
func (c *cache) run(object uint64, keeps int) bool {
	i := slices.Index(*c, object)
	if i >= 0 {
		*c = slices.Delete(*c, i, i+1)
	}
	*c = slices.Insert(*c, 0, object)
	*c = (*c)[:min(len(*c), keeps)]
	return i >= 0
}

// world plays requests for objects at targets, seen by instances of a region of which the first
// collects.
type world struct {
	rng        *rand.Rand
	now        time.Time
	instances  []*Learner
	targets    []uint64
	caches     []cache
	keeps      int     // true number of objects that each target keeps
	objects    int     // in use
	skew       float64 // exponent of the objects' heat by rank; 0: equal heat
	homes      int     // of each object
	coldFactor float64 // of cold runs
	heat       []float64
}

func newWorld(t testing.TB, instances, targets, keeps, objects int, skew float64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(1, 1)), now: start, caches: make([]cache, targets), keeps: keeps, objects: objects, skew: skew, homes: 2, coldFactor: 3,
	}
	for range targets {
		w.targets = append(w.targets, w.rng.Uint64())
	}
	for i := range instances {
		l, err := New(Config{})
		if err != nil {
			t.Fatal(err)
		}
		l.SetTargets(w.targets)
		l.Collect(i == 0)
		w.instances = append(w.instances, l)
	}
	return w
}

// object returns the rank of a random object by heat.
func (w *world) object() int {
	if w.skew == 0 {
		return w.rng.IntN(w.objects)
	}
	if len(w.heat) != w.objects {
		w.heat = make([]float64, w.objects)
		sum := 0.0
		for i := range w.heat {
			sum += math.Pow(float64(i+1), -w.skew)
			w.heat[i] = sum
		}
	}
	i, _ := slices.BinarySearch(w.heat, w.rng.Float64()*w.heat[w.objects-1])
	return min(i, w.objects-1)
}

// home returns one of an object's homes.
func (w *world) home(object int) int {
	return rand.New(rand.NewPCG(uint64(object), uint64(w.rng.IntN(w.homes)))).IntN(len(w.targets))
}

// play plays a time of load: 8 runs a second at each target. Of a third of the runs it is known how
// long they took, as the others waited.
func (w *world) play(d time.Duration) {
	end := w.now.Add(d)
	tell := w.now
	for ; w.now.Before(end); w.now = w.now.Add(time.Second / time.Duration(8*len(w.targets))) {
		if !w.now.Before(tell) {
			w.exchange()
			tell = tell.Add(500 * time.Millisecond)
		}
		object := w.object()
		target := w.home(object)
		took := 0.2 * math.Exp(0.3*w.rng.NormFloat64()) * (1 + 0.3*float64(object%2))
		if !w.caches[target].run(uint64(object), w.keeps) {
			took *= w.coldFactor
		}
		r := Run{Target: w.targets[target], Object: uint64(object), Kind: uint32(object % 2)}
		if w.rng.IntN(3) == 0 {
			r.Took = time.Duration(took * float64(time.Second))
		}
		w.instances[w.rng.IntN(len(w.instances))].Observe(w.now, r)
	}
}

// exchange lets all instances tell the first one, and it them.
func (w *world) exchange() {
	collector := w.instances[0]
	for _, l := range w.instances[1:] {
		collector.Merge(w.now, l.NextReport(w.now, maxRuns))
	}
	report := collector.NextReport(w.now, maxRuns)
	for _, l := range w.instances[1:] {
		l.Merge(w.now, report)
	}
}

// share returns the part of the requests that are for the object of a rank.
func (w *world) share(rank int) float64 {
	if w.skew == 0 {
		return 1 / float64(w.objects)
	}
	w.object()
	below := 0.0
	if rank > 0 {
		below = w.heat[rank-1]
	}
	return (w.heat[rank] - below) / w.heat[w.objects-1]
}
