package placement

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is a set of targets and a number of objects with work.
type world struct {
	targets []Target
	loads   []Load
	budget  Budget
}

// newWorld returns a world whose targets have 4 slots, in regions of the given sizes, the first of which
// is the own one. The objects keep a part of the slots busy; the work of the i-th is proportional
// to 1/i^skew.
func newWorld(seed uint64, sizes []int, objects int, part, skew float64) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &world{}
	slots := 0.0
	for region, n := range sizes {
		for range n {
			w.targets = append(w.targets, Target{ID: rng.Uint64(), Region: string(rune('a' + region)), Slots: 4, Weight: 1, Own: 1, Near: region == 0})
			slots += 4
		}
	}
	sum := 0.0
	for i := range objects {
		sum += math.Pow(float64(i+1), -skew)
	}
	for i := range objects {
		work := part * slots * math.Pow(float64(i+1), -skew) / sum
		w.loads = append(w.loads, Load{Object: Object{Key: rng.Uint64()}, Level: levelOf(work)})
	}
	return w
}

// rank ranks targets by rendezvous hashing.
func (w *world) rank(o Object, n int) []uint64 {
	weights := make(map[uint64]uint64)
	for _, t := range w.targets {
		x := (t.ID ^ o.Key*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
		weights[t.ID] = (x ^ x>>29) * 0x94d049bb133111eb >> 1
		if o.Near && t.Near {
			weights[t.ID] |= 1 << 63
		}
	}
	ids := slices.SortedFunc(maps.Keys(weights), func(a, b uint64) int { return cmp.Compare(weights[b], weights[a]) })
	return ids[:min(n, len(ids))]
}

// update updates a plan; a slot does 4 requests a second.
func (w *world) update(p *Plan, now time.Time) {
	w.budget.Refill(now, 4*p.Work())
	p.Update(now, w.targets, w.rank, &w.budget, 4)
}

// run updates a plan each second and returns the time after it.
func (w *world) run(p *Plan, now time.Time, seconds int) time.Time {
	for range seconds {
		now = now.Add(time.Second)
		w.update(p, now)
	}
	return now
}

func (w *world) plan() *Plan {
	p := NewPlan()
	for _, l := range w.loads {
		p.Set(l)
	}
	return p
}

// homes returns the first home of each object.
func homes(p *Plan, now time.Time) map[Object]uint64 {
	m := make(map[Object]uint64)
	for o := range p.entries {
		if h, ok := p.Homes(now, o); ok {
			m[o] = h.IDs()[0]
		}
	}
	return m
}

// Objects of unequal heat, four a target. No target may be planned for more than the bound, but for
// one that a single object fills, and few objects may leave their first target.
func TestBound(t *testing.T) {
	tests := map[string]struct {
		targets, objects int
		part, skew       float64
	}{
		"equal":       {60, 240, 0.7, 0},
		"skewed":      {60, 240, 0.7, 0.6},
		"many":        {60, 3000, 0.7, 0.9},
		"overloaded":  {60, 240, 1.5, 0.6},
		"few targets": {5, 100, 0.7, 0.6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, []int{tt.targets}, tt.objects, tt.part, tt.skew)
			p := w.plan()
			w.run(p, start, 60)
			limit := bound * p.Work() / float64(tt.targets)
			most := make(map[uint64]float64) // greatest work of one object by target
			for _, e := range p.entries {
				for _, id := range e.homes.IDs() {
					most[id] = max(most[id], e.work/float64(e.homes.n))
				}
			}
			for _, target := range w.targets {
				if load := p.Load(target.ID); load > limit*1.001 && load > most[target.ID]*1.001 {
					t.Errorf("got %.2f slots planned, want %.2f at most", load, limit)
				}
			}
			if got := p.Stats().Displaced; got*2 > tt.objects {
				t.Errorf("got %d of %d objects away from their first target, want half at most", got, tt.objects)
			}
		})
	}
}

// A light load is placed by hash alone, unless the number of homes is bounded.
func TestWithinBound(t *testing.T) {
	w := newWorld(1, []int{60}, 2000, 0.2, 0)
	p := w.plan()
	now := w.run(p, start, 5)
	if got := len(homes(p, now)); got > 0 {
		t.Errorf("got %d objects with planned homes, want none", got)
	}
	p.SetHomes(1)
	if got := len(homes(p, now)); got != 2000 {
		t.Errorf("got %d objects with planned homes where they may have one, want 2000", got)
	}
}

// Instances that learn the work in another order, and one that starts later, plan the same homes.
func TestAgreement(t *testing.T) {
	w := newWorld(2, []int{20, 20}, 200, 0.7, 0.6)
	a, b := w.plan(), NewPlan()
	slices.Reverse(w.loads)
	for _, l := range w.loads {
		b.Set(Load{Object: l.Object, Level: l.Level + 8})
	}
	now := w.run(b, w.run(a, start, 60), 20)
	for _, l := range w.loads {
		b.Set(l)
	}
	now = w.run(b, now, 60)
	w.run(a, now.Add(-time.Second), 1)
	want := homes(a, now)
	for o, got := range homes(b, now) {
		if got != want[o] {
			t.Errorf("object %x: got home %x, want %x", o.Key, got, want[o])
		}
	}
	if len(want) != len(w.loads) {
		t.Errorf("got %d planned objects, want %d", len(want), len(w.loads))
	}
}

// A target ends. Its objects move at once, and few others.
func TestTargetEnds(t *testing.T) {
	w := newWorld(3, []int{30}, 240, 0.7, 0.6)
	p := w.plan()
	now := w.run(p, start, 60)
	before := homes(p, now)
	ended := w.targets[0].ID
	w.targets = w.targets[1:]
	p.TargetsChanged()
	now = w.run(p, now, 1)
	if after := homes(p, now); slices.Contains(slices.Collect(maps.Values(after)), ended) {
		t.Error("got objects at a target that has ended")
	}
	now = w.run(p, now, 30)
	moved, own := 0, 0
	for o, home := range homes(p, now) {
		switch {
		case before[o] == ended:
			own++
		case before[o] != home:
			moved++
		}
	}
	if moved > 3*own {
		t.Errorf("got %d objects moved, want at most three times the %d of the target that ended", moved, own)
	}
}

// A region with a tenth of the targets asks for a third of the work, with large answers. What fits is
// planned near, and the rest for other regions, which it reaches by few steps.
func TestPoorRegion(t *testing.T) {
	w := newWorld(4, []int{4, 18, 18}, 60, 0.25, 0.3)
	for i := range w.loads {
		w.loads[i].Near = true
	}
	p := w.plan()
	now := start
	region := make(map[uint64]string)
	for _, target := range w.targets {
		region[target.ID] = target.Region
	}
	far := func() float64 {
		sum := 0.0
		for id, work := range p.load {
			if region[id] != "a" {
				sum += work
			}
		}
		return sum / p.Work()
	}
	last := 0.0
	for range 60 {
		now = w.run(p, now, int(crossWindow/time.Second))
		if got := far(); got-last > crossShare+1e-9 {
			t.Errorf("got %.3f of the work moved within %s, want %.3f at most", got-last, crossWindow, crossShare)
		}
		last = far()
	}
	near, smallest := p.Work()*(1-last), w.loads[len(w.loads)-1].Work()
	if room := nearShare * 4 * 4; near > room || near < room-4*smallest {
		t.Errorf("got %.1f slots planned near, want %.1f up to what is left for no object at 4 targets", near, room)
	}
}

// One object needs more than a target has. It gets as many homes as it needs, and no more than set
// unless its requests would wait there for good.
func TestHotObject(t *testing.T) {
	tests := map[string]struct {
		work     float64
		maxHomes int
		want     int
	}{
		"small":       {1, MaxHomes, 1},
		"hot":         {5, MaxHomes, 3},
		"set":         {5, 2, 2},
		"too few set": {5, 1, 2},
		"huge":        {40, MaxHomes, MaxHomes},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(5, []int{30}, 100, 0.6, 0)
			hot := Load{Object: Object{Key: 1}, Level: levelOf(tt.work)}
			w.loads = append(w.loads, hot)
			p := w.plan()
			p.SetHomes(tt.maxHomes)
			now := w.run(p, start, 60)
			if h, _ := p.Homes(now, hot.Object); len(h.IDs()) != tt.want {
				t.Errorf("got %d homes, want %d", len(h.IDs()), tt.want)
			}
		})
	}
}

// Twelve objects each need more than any target's limit, and the four targets of the own region have
// higher limits than the others. No target gets two of them while others have none.
func TestHotObjectsSpread(t *testing.T) {
	w := newWorld(8, []int{4, 36}, 200, 0.1, 0)
	for i := range w.targets {
		if w.targets[i].Own = 0.2; w.targets[i].Near {
			w.targets[i].Own, w.targets[i].Weight = 0.5, 2
		}
	}
	for i := range 12 {
		w.loads = append(w.loads, Load{Object: Object{Key: uint64(i + 1)}, Level: levelOf(1.8)})
	}
	p := w.plan()
	now := w.run(p, start, 90)
	hot := make(map[uint64]int)
	for i := range 12 {
		h, _ := p.Homes(now, Object{Key: uint64(i + 1)})
		for _, id := range h.IDs() {
			hot[id]++
		}
	}
	for id, n := range hot {
		if n > 1 {
			t.Errorf("target %x: got %d hot objects of 12 at 40 targets, want 1", id, n)
		}
	}
}

// The work of a few objects doubles or halves each second. Objects that are warm at a target with room stay,
// so that less moves than changes.
func TestFewMoves(t *testing.T) {
	w := newWorld(7, []int{60}, 240, 0.7, 0.3)
	p, rng := w.plan(), rand.New(rand.NewPCG(7, 3))
	now, changes := w.run(p, start, 30), 0
	before := p.Stats().Moves
	for range 120 {
		for range 4 {
			l := w.loads[rng.IntN(len(w.loads))]
			l.Level += uint8(levelDrift * rng.IntN(2))
			if e := p.entries[l.Object]; e.work != l.Work() {
				changes++
			}
			p.Set(l)
		}
		now = w.run(p, now, 1)
	}
	if got := int(p.Stats().Moves - before); got > changes {
		t.Errorf("got %d moves for %d changes of work, want one for each at most", got, changes)
	}
}

// A burst comes and goes. The plan comes into use and goes out of it, and at no time more of the work than
// allowed changes its region within a crossWindow.
func TestBurst(t *testing.T) {
	w := newWorld(6, []int{20, 20, 20}, 240, 0.15, 0.3)
	region := make(map[uint64]string)
	for _, target := range w.targets {
		region[target.ID] = target.Region
	}
	p, now, planned := w.plan(), start, 0
	var before map[Object]string
	for step := range 90 {
		for _, l := range w.loads {
			if step >= 15 && step < 45 {
				l.Level += 9 // nearly five times the work
			}
			p.Set(l)
		}
		now = w.run(p, now, int(crossWindow/time.Second))
		at, crossed := make(map[Object]string), 0.0
		for o, e := range p.entries {
			home := e.ranked[0]
			if h, ok := p.Homes(now, o); ok {
				home = h.IDs()[0]
				planned++
			}
			at[o] = region[home]
			if before != nil && at[o] != before[o] {
				crossed += e.work
			}
		}
		before = at
		if share := crossed / p.Work(); share > crossShare+1e-9 {
			t.Errorf("step %d: got %.3f of the work moved between regions, want %.3f at most", step, share, crossShare)
		}
	}
	if _, ok := p.Homes(now, w.loads[0].Object); ok || planned == 0 {
		t.Errorf("got %d planned homes and the plan still in use: %t, want some in the burst and none at the end", planned, ok)
	}
}
