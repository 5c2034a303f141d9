package steer

import (
	"math"
	"slices"
	"time"
)

const (
	// rankedCount is how many targets are rankedCount for an object among all, in its region
	// and in its domain: its homes, and some more for when they are tried or cold.
	rankedCount = 4
	// lowestRank is the place of a target that is not ranked.
	lowestRank = 10
	// ownRegionWeight is how much more often than others a target of the own region is the
	// home of an object. Callers mostly ask for objects of their region, so that their
	// answers are carried less: with 4, two fifths less bytes between regions, at the same
	// credit. With 14, or all homes in the region, small regions are overloaded, and 2%
	// to 5% of the credit are lost on days of high load.
	ownRegionWeight = 4.0
)

// candidate is a target that may get the request, with its place in the order of
// the object's hash among all candidates, those of the region and of the domain.
type candidate struct {
	*target
	weight     float64
	globalRank int
	regionRank int
	domainRank int
}

// top holds the candidates of the greatest weights, the greatest first.
type top struct {
	list [rankedCount]candidate
	n    int // of list that is used
}

func (t *top) insert(c candidate) {
	if t.n == rankedCount && c.weight <= t.list[rankedCount-1].weight {
		return
	}
	i := min(t.n, rankedCount-1)
	for ; i > 0 && t.list[i-1].weight < c.weight; i-- {
		t.list[i] = t.list[i-1]
	}
	t.list[i] = c
	t.n = min(t.n+1, rankedCount)
}

// order is how the targets of a service rank for an object.
type order struct {
	size           int  // candidates
	includeEjected bool // ejected ones are among the candidates, as too many are ejected
	global         top
	region         top
	domain         top
}

// order ranks the targets that may get the request, in time that grows with their
// number.
func (f *Fleet) order(now time.Time, s *service, q Query) *order {
	o := &order{}
	ejected := 0
	slots := make(map[string]int, 4)
	for _, t := range s.targets {
		if f.eligible(now, t, q) {
			o.size++
			slots[t.region] += t.Slots
			if t.ejected(now) {
				ejected++
			}
		}
	}
	// Where more are ejected than work, the fault is hardly the targets' own.
	o.includeEjected = ejected*ejectOneIn > o.size
	if !o.includeEjected {
		o.size -= ejected
	}
	keyHash := hash(q.key())
	preference := f.regionPreference(slots)
	for _, t := range s.targets {
		if !f.isCandidate(now, t, q, o) {
			continue
		}
		c := candidate{target: t, weight: f.weight(t, keyHash, preference), globalRank: lowestRank, regionRank: lowestRank, domainRank: lowestRank}
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

// regionPreference is how much more often than others a target of the own region is the home
// of an object: less than ownRegion where the region has less than its part of the slots.
// With a tenth of the slots for a third of the callers, targets of the region were homes
// of 1.35 times as many objects as the mean, and its domains the worst served ones: 0.824
// of the credit on a day of high load, 0.837 with this.
func (f *Fleet) regionPreference(slots map[string]int) float64 {
	total := 0
	for _, n := range slots {
		total += n
	}
	if total == 0 {
		return 1
	}
	share := float64(slots[f.region]*len(slots)) / float64(total)
	return 1 + (ownRegionWeight-1)*min(1, share)
}

// eligible says whether a target eligible get the request, were it sound.
func (f *Fleet) eligible(now time.Time, t *target, q Query) bool {
	return f.available(t) && !t.backingOff(now) && q.Regions.Allow(t.region) && !slices.Contains(q.Tried, t.ID)
}

func (f *Fleet) isCandidate(now time.Time, t *target, q Query, o *order) bool {
	return f.eligible(now, t, q) && (o.includeEjected || !t.ejected(now))
}

// key is what the targets are ranked by.
func (q *Query) key() string {
	if q.Object != "" {
		return q.Object
	}
	return q.Spread
}

// rankedCandidates lists the ranked candidates, the first of all first.
func (o *order) rankedCandidates() []candidate {
	list := make([]candidate, 0, 3*rankedCount)
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
		find(c).globalRank = i
	}
	for i, c := range o.region.list[:o.region.n] {
		find(c).regionRank = i
	}
	for i, c := range o.domain.list[:o.domain.n] {
		find(c).domainRank = i
	}
	return list
}

// allCandidates lists all candidates without their places. It begins at another one for
// each key, so that the cheapest of equals is not always the same.
func (f *Fleet) allCandidates(now time.Time, s *service, q Query, o *order) []candidate {
	list := make([]candidate, 0, o.size)
	for _, t := range s.targets {
		if f.isCandidate(now, t, q, o) {
			list = append(list, candidate{target: t, globalRank: lowestRank, regionRank: lowestRank, domainRank: lowestRank})
		}
	}
	begin := hash(q.key()) % uint64(len(list))
	return append(list[begin:], list[:begin]...)
}

// weight is how high a target ranks for an object, by rendezvous hashing in which the
// targets of the own region count ownRegion times.
func (f *Fleet) weight(t *target, keyHash uint64, preference float64) float64 {
	uniform := (float64(mix(t.idHash, keyHash)) + 1) / (math.MaxUint64 + 2.0) // within 0 and 1
	weight := -1 / math.Log(uniform)
	if t.region == f.region {
		weight *= preference
	}
	return weight
}
