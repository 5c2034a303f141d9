package steer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/placement"
)

const (
	// warmQuantile is the quantile of the durations of requests for objects that found a free slot which
	// counts as the duration of warm work: the others may have run cold.
	warmQuantile = 0.1
	// firstColdFactor is how much longer the first requests take than warm ones, as all run cold. Taken
	// for warm, they would make targets look overloaded.
	firstColdFactor = 3
	// warmStep is the part by which a sample moves the estimate of the quantile.
	warmStep = 0.1
	// thrashRatio is the mean duration of such requests, as a multiple of that of warm work, from which on
	// targets are taken to have more objects than they keep warm: half of the requests run cold then.
	thrashRatio = 2
	// boundRegions is how many regions a set of regions can tell apart.
	boundRegions = 15
)

// recordObjectLatency records how long a request for an object ran that had not to wait for a slot.
func (s *service) recordObjectLatency(took time.Duration) {
	s.objectLatency = smooth(s.objectLatency, took)
	switch step := warmStep * float64(s.warmLatency); {
	case s.warmLatency == 0:
		s.warmLatency = took / firstColdFactor
	case took < s.warmLatency:
		s.warmLatency -= time.Duration(step * (1 - warmQuantile))
	default:
		s.warmLatency += time.Duration(step * warmQuantile)
	}
}

// oneHome reports whether objects have one home, as another would push out what is warm there.
func (s *service) oneHome() bool {
	return s.plan.OneHome() || s.warmLatency > 0 && float64(s.objectLatency) > thrashRatio*float64(s.warmLatency)
}

// countObject counts the request's object. Only work at targets that report their load is planned.
func (f *Fleet) countObject(s *service, q *Query) {
	if q.Object == "" || !s.reportsLoad {
		return
	}
	set, ok := f.regionSet(q)
	if !ok {
		return
	}
	q.object = placement.Object{Key: hash(q.Object), Regions: set, Near: f.hasLargeAnswers(q)}
	if !q.Retry && !q.Counted {
		f.counts.Add(s.nameHash, q.object)
	}
}

// regionSet returns the regions that the request is bound to as a set; false if there are too many
// regions.
func (f *Fleet) regionSet(q *Query) (uint16, bool) {
	if q.Regions == nil {
		return 0, true
	}
	set := uint16(0)
	for _, r := range q.Regions {
		if i, ok := slices.BinarySearch(f.regionNames, r); ok {
			set |= 1 << i
		}
	}
	return set, set != 0 && len(f.regionNames) <= boundRegions
}

// inSet reports whether a region belongs to a set.
func (f *Fleet) inSet(region string, set uint16) bool {
	i, ok := slices.BinarySearch(f.regionNames, region)
	return set == 0 || ok && set&(1<<i) != 0
}

// TakeObjectCounts returns up to most counts of the requests for objects since the last call.
func (f *Fleet) TakeObjectCounts(most int) []placement.ServiceCounts {
	return f.counts.Take(most, func(service uint64) time.Duration {
		for _, s := range f.services {
			if s.nameHash == service {
				return s.warmLatency
			}
		}
		return 0
	})
}

// ApplyObjectLoads applies the work of objects as summed over the instances of the region.
func (f *Fleet) ApplyObjectLoads(b placement.Batch) {
	byHash := make(map[uint64]*service, len(f.services))
	for _, s := range f.services {
		byHash[s.nameHash] = s
		if b.First {
			s.plan.Begin()
		}
	}
	for _, l := range b.Loads {
		if s := byHash[l.Service]; s != nil {
			s.plan.Set(l)
		}
	}
	if b.End {
		for _, s := range f.services {
			s.plan.End()
		}
	}
}

// Placement is what is planned for a service.
type Placement struct {
	Service string
	placement.Stats
}

// PlaceObjects updates the plans that are due, and returns those in which objects have moved.
func (f *Fleet) PlaceObjects(now time.Time) []Placement {
	requests := 0.0
	for _, s := range f.services {
		requests += s.plan.Work() * s.perSlot()
	}
	f.moves.Refill(now, requests)
	var moved []Placement
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		s := f.services[name]
		if s.plan.Work() == 0 {
			s.liftBound()
		}
		if !s.plan.Due(now) {
			continue
		}
		r, before := f.newRanker(s), s.plan.Stats().Moves
		targets := r.targets()
		s.fitHomes(targets)
		s.plan.Update(now, targets, r.rank, &f.moves, s.perSlot())
		if after := s.plan.Stats(); after.Moves != before {
			moved = append(moved, Placement{name, after})
		}
	}
	return moved
}

// perSlot returns how many requests a second keep a slot busy if they are warm.
func (s *service) perSlot() float64 {
	if s.warmLatency == 0 {
		return 0
	}
	return float64(time.Second) / float64(s.warmLatency)
}

// PlacementStats returns what is planned for a service.
func (f *Fleet) PlacementStats(name string) placement.Stats {
	if s, ok := f.services[name]; ok {
		return s.plan.Stats()
	}
	return placement.Stats{}
}

// SetHomes sets how many homes an object of a service has at most.
func (f *Fleet) SetHomes(name string, n int) {
	if s, ok := f.services[name]; ok {
		s.plan.SetHomes(n)
	}
}

// ranker ranks the available targets of a service by the same weights as a choice.
type ranker struct {
	f          *Fleet
	s          *service
	preference map[uint16]float64 // by set of regions
}

func (f *Fleet) newRanker(s *service) *ranker {
	return &ranker{f: f, s: s, preference: make(map[uint16]float64)}
}

// preferenceIn returns the preference for targets of the own region among those of a set.
func (r *ranker) preferenceIn(set uint16) float64 {
	p, ok := r.preference[set]
	if !ok {
		var slots regionSlots
		for _, t := range r.s.targets {
			if r.f.available(t) && r.f.inSet(t.region, set) {
				slots.add(t.region, t.Slots)
			}
		}
		p = r.f.regionPreference(slots)
		r.preference[set] = p
	}
	return p
}

// targets returns the available targets. If all regions ask for as much and prefer their own targets
// alike, own is the part of a target's work that comes from this region.
func (r *ranker) targets() []placement.Target {
	regions := float64(max(1, len(r.f.regionNames)))
	preference := r.preferenceIn(0)
	var list []placement.Target
	for _, t := range r.s.targets {
		if !r.f.available(t) {
			continue
		}
		p := placement.Target{ID: t.idHash, Region: t.region, Slots: float64(t.Slots), Weight: 1, Own: 1 / (preference + regions - 1)}
		if t.region == r.f.region {
			p.Near, p.Weight, p.Own = true, preference, preference*p.Own
		}
		list = append(list, p)
	}
	return list
}

// rank returns the n targets of greatest weight for an object.
func (r *ranker) rank(o placement.Object, n int) []uint64 {
	preference := r.preferenceIn(o.Regions)
	all, near := preferred{most: n}, preferred{most: n}
	for t := range r.s.windowOf(o.Key).all {
		switch w := r.f.weight(t, o.Key, preference); {
		case !r.f.available(t) || !r.f.inSet(t.region, o.Regions):
		case o.Near && t.region == r.f.region:
			near.insert(t.idHash, w)
		default:
			all.insert(t.idHash, w)
		}
	}
	ids := append(near.ids(), all.ids()...)
	return ids[:min(n, len(ids))]
}

// preferred holds the targets of the greatest weights.
type preferred struct {
	list []weighted // sorted by weight, the greatest first
	most int        // length of list at most
}

type weighted struct {
	id     uint64
	weight float64
}

func (p *preferred) insert(id uint64, weight float64) {
	if len(p.list) == p.most {
		if weight <= p.list[p.most-1].weight {
			return
		}
		p.list = p.list[:p.most-1]
	}
	i, _ := slices.BinarySearchFunc(p.list, weight, func(w weighted, weight float64) int { return cmp.Compare(weight, w.weight) })
	p.list = slices.Insert(p.list, i, weighted{id, weight})
}

func (p *preferred) ids() []uint64 {
	ids := make([]uint64, len(p.list))
	for i, w := range p.list {
		ids[i] = w.id
	}
	return ids
}
