package steer

import (
	"math"
	"slices"
	"time"
)

const (
	// ranked is how many targets are ranked for an object among all, in its region
	// and in its domain: its homes, and some more for when they are tried or cold.
	ranked = 4
	// lowest is the place of a target that is not ranked.
	lowest = 10
	// ownRegion is how much more often than others a target of the own region is the
	// home of an object. Callers mostly ask for objects of their region, so that their
	// answers are carried less: with 4, two fifths less bytes between regions, at the same
	// credit. With 14, or all homes in the region, small regions are overloaded, and 2%
	// to 5% of the credit are lost on days of high load.
	ownRegion = 4.0
)

// candidate is a target that may get the request, with its place in the order of
// the object's hash among all candidates, those of the region and of the domain.
type candidate struct {
	*target
	weight float64
	global int
	region int
	domain int
}

// top holds the candidates of the greatest weights, the greatest first.
type top struct {
	list [ranked]candidate
	n    int // of list that is used
}

func (t *top) insert(c candidate) {
	if t.n == ranked && c.weight <= t.list[ranked-1].weight {
		return
	}
	i := min(t.n, ranked-1)
	for ; i > 0 && t.list[i-1].weight < c.weight; i-- {
		t.list[i] = t.list[i-1]
	}
	t.list[i] = c
	t.n = min(t.n+1, ranked)
}

// order is how the targets of a service rank for an object.
type order struct {
	size    int  // candidates
	ejected bool // ejected ones are among the candidates, as too many are ejected
	global  top
	region  top
	domain  top
}

// order ranks the targets that may get the request, in time that grows with their
// number.
func (f *Fleet) order(now time.Time, s *service, q Query) *order {
	o := &order{}
	out := 0
	slots := make(map[string]int, 4)
	for _, t := range s.targets {
		if f.may(now, t, q) {
			o.size++
			slots[t.region] += t.Slots
			if t.ejected(now) {
				out++
			}
		}
	}
	// Where more are ejected than work, the fault is hardly the targets' own.
	o.ejected = out*ejectHalf > o.size
	if !o.ejected {
		o.size -= out
	}
	sum := hash(q.key())
	own := f.preference(slots)
	for _, t := range s.targets {
		if !f.candidate(now, t, q, o) {
			continue
		}
		c := candidate{target: t, weight: f.weight(t, sum, own), global: lowest, region: lowest, domain: lowest}
		o.global.insert(c)
		if t.region == f.region {
			o.region.insert(c)
		}
		if t.Domain == f.cfg.Domain {
			o.domain.insert(c)
		}
	}
	return o
}

// preference is how much more often than others a target of the own region is the home
// of an object: less than ownRegion where the region has less than its part of the slots.
// With a tenth of the slots for a third of the callers, targets of the region were homes
// of 1.35 times as many objects as the mean, and its domains the worst served ones: 0.824
// of the credit on a day of high load, 0.837 with this.
func (f *Fleet) preference(slots map[string]int) float64 {
	total := 0
	for _, n := range slots {
		total += n
	}
	if total == 0 {
		return 1
	}
	part := float64(slots[f.region]*len(slots)) / float64(total)
	return 1 + (ownRegion-1)*min(1, part)
}

// may says whether a target may get the request, were it sound.
func (f *Fleet) may(now time.Time, t *target, q Query) bool {
	return f.open(t) && !t.rests(now) && q.Regions.Allow(t.region) && !slices.Contains(q.Tried, t.ID)
}

func (f *Fleet) candidate(now time.Time, t *target, q Query, o *order) bool {
	return f.may(now, t, q) && (o.ejected || !t.ejected(now))
}

// key is what the targets are ranked by.
func (q *Query) key() string {
	if q.Object != "" {
		return q.Object
	}
	return q.Spread
}

// short lists the ranked candidates, the first of all first.
func (o *order) short() []candidate {
	list := make([]candidate, 0, 3*ranked)
	find := func(c candidate) *candidate {
		for i := range list {
			if list[i].target == c.target {
				return &list[i]
			}
		}
		list = append(list, c)
		return &list[len(list)-1]
	}
	for i, c := range o.global.list[:o.global.n] {
		find(c).global = i
	}
	for i, c := range o.region.list[:o.region.n] {
		find(c).region = i
	}
	for i, c := range o.domain.list[:o.domain.n] {
		find(c).domain = i
	}
	return list
}

// unranked lists all candidates without their places. It begins at another one for
// each key, so that the cheapest of equals is not always the same.
func (f *Fleet) unranked(now time.Time, s *service, q Query, o *order) []candidate {
	list := make([]candidate, 0, o.size)
	for _, t := range s.targets {
		if f.candidate(now, t, q, o) {
			list = append(list, candidate{target: t, global: lowest, region: lowest, domain: lowest})
		}
	}
	begin := hash(q.key()) % uint64(len(list))
	return append(list[begin:], list[:begin]...)
}

// weight is how high a target ranks for an object, by rendezvous hashing in which the
// targets of the own region count ownRegion times.
func (f *Fleet) weight(t *target, sum uint64, own float64) float64 {
	drawn := (float64(mix(t.seed, sum)) + 1) / (math.MaxUint64 + 2.0) // within 0 and 1
	weight := -1 / math.Log(drawn)
	if t.region == f.region {
		weight *= own
	}
	return weight
}
