package steer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rankedCount is how many targets are ranked for an object, each among all targets, in its
	// region and in its failure domain: its homes, and more for when these are cold or have
	// already been tried.
	rankedCount = 4
	// windowSize is the most targets that are considered for one request: with ten failure domains
	// of equal size it has some 50 of each, of which rankedCount are ranked.
	windowSize = 512
	// lowestRank is the rank of a target that is not ranked.
	lowestRank = 10
	// ownRegionWeight is how much more often a target of the own region is the home of an object
	// than other targets are. Callers mostly ask for objects of their region, so local homes
	// reduce traffic: a weight of 4 saves two fifths of the bytes between regions at the same
	// credit. A weight of 14, or all homes in the own region, overloads small regions and loses
	// 2% to 5% of the credit on days of high load.
	ownRegionWeight = 4.0
)

// candidate is a target that may get the request, with its ranks by the object's hash among all
// candidates, among those of its region and among those of its domain.
type candidate struct {
	*target
	weight     float64
	globalRank int
	regionRank int
	domainRank int
}

// newCandidate returns a candidate without ranks.
func newCandidate(t *target) candidate {
	return candidate{target: t, globalRank: lowestRank, regionRank: lowestRank, domainRank: lowestRank}
}

// top holds the candidates with the greatest weights in descending order.
type top struct {
	list [rankedCount]candidate
	n    int // used entries of list
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

// order is the ranking of a service's targets for an object.
type order struct {
	targets        window // that were considered
	size           int    // number of candidates
	includeEjected bool   // ejected targets are candidates, as too many are ejected
	global         top
	region         top
	domain         top
}

// window returns the targets that a request may go to: all of a service of up to windowSize targets,
// and otherwise those that follow the request's object in the order of hashes. So what a choice
// costs does not grow with the service, an object has the same window at all instances, and a
// target that comes or goes changes the windows near it alone.
func (s *service) window(q *Query) window {
	if q.pool == canaryTargets {
		return window{s.split.canaries, nil}
	}
	return s.windowOf(hash(q.key()))
}

// windowOf is the window of an object by its hash.
func (s *service) windowOf(keyHash uint64) window {
	if len(s.targets) <= windowSize {
		return window{s.targets, nil}
	}
	first, _ := slices.BinarySearchFunc(s.targets, keyHash, func(t *target, h uint64) int { return cmp.Compare(t.idHash, h) })
	end := first + windowSize
	if end <= len(s.targets) {
		return window{s.targets[first:end], nil}
	}
	return window{s.targets[first:], s.targets[:end-len(s.targets)]}
}

// window is a list of targets in two parts, as it may begin near the end of a service's targets.
type window [2][]*target

// all iterates over the targets of a window.
func (w window) all(yield func(*target) bool) {
	for _, part := range w {
		for _, t := range part {
			if !yield(t) {
				return
			}
		}
	}
}

// order ranks the targets that may get the request, in time linear in the number of targets that it
// may go to.
func (f *Fleet) order(now time.Time, s *service, q *Query) *order {
	o := &order{targets: s.window(q)}
	ejected := 0
	var slots regionSlots
	for t := range o.targets.all {
		if f.eligible(now, t, q) {
			o.size++
			slots.add(t.region, t.Slots)
			if t.ejected(now) {
				ejected++
			}
		}
	}
	// If more targets are ejected than work, the cause is probably not the targets themselves.
	o.includeEjected = ejected*ejectOneIn > o.size
	if !o.includeEjected {
		o.size -= ejected
	}
	q.homes, q.plannedHome = 0, ""
	keyHash := hash(q.key())
	preference := f.regionPreference(slots)
	for t := range o.targets.all {
		if !f.isCandidate(now, t, q, o) {
			continue
		}
		c := newCandidate(t)
		c.weight = f.weight(t, keyHash, preference)
		o.global.insert(c)
		if t.region == f.region {
			o.region.insert(c)
		}
		if t.Domain == f.cfg.Domain {
			o.domain.insert(c)
		}
	}
	if homes := f.plannedHomes(now, s, q); len(homes) > 0 {
		if q.homes = f.promote(now, o, q, homes); q.homes > 0 {
			q.plannedHome, q.oneHome = o.global.list[0].ID, s.oneHome()
		}
	}
	return o
}

// regionPreference returns how much more often a target of the own region is the home of an
// object than other targets are. It is below ownRegionWeight if the region has less than an equal
// share of the slots. Otherwise, in a region with a tenth of the slots and a third of the
// callers, targets were homes of 1.35 times as many objects as the mean, and the region's domains
// were served worst: 0.824 of the credit on a day of high load, against 0.837 with this
// reduction.
func (f *Fleet) regionPreference(slots regionSlots) float64 {
	total, own := 0, 0
	for _, r := range slots {
		total += r.slots
		if r.region == f.region {
			own = r.slots
		}
	}
	if total == 0 {
		return 1
	}
	share := float64(own*len(slots)) / float64(total)
	return 1 + (ownRegionWeight-1)*min(1, share)
}

// regionSlots counts slots by region. There are a few regions, so a list is faster than a map.
type regionSlots []struct {
	region string
	slots  int
}

func (l *regionSlots) add(region string, slots int) {
	for i := range *l {
		if (*l)[i].region == region {
			(*l)[i].slots += slots
			return
		}
	}
	*l = append(*l, struct {
		region string
		slots  int
	}{region, slots})
}

// eligible reports whether a target may get the request, apart from ejection.
func (f *Fleet) eligible(now time.Time, t *target, q *Query) bool {
	return f.available(t) && q.pool.includes(now, t) && !t.backingOff(now) && q.Regions.Allows(t.region) && !slices.Contains(q.Tried, t.ID)
}

func (f *Fleet) isCandidate(now time.Time, t *target, q *Query, o *order) bool {
	return f.eligible(now, t, q) && (o.includeEjected || !t.ejected(now))
}

// key returns what the targets are ranked by.
func (q *Query) key() string {
	if q.Object != "" {
		return q.Object
	}
	return q.SpreadKey
}

// rankedCandidates returns the ranked candidates, those ranked among all targets first.
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

// allCandidates returns all candidates without ranks. The list begins at a different candidate
// for each key, which varies the choice among candidates of equal cost.
func (f *Fleet) allCandidates(now time.Time, q *Query, o *order) []candidate {
	list := make([]candidate, 0, o.size)
	for t := range o.targets.all {
		if f.isCandidate(now, t, q, o) {
			list = append(list, newCandidate(t))
		}
	}
	begin := hash(q.key()) % uint64(len(list))
	return append(list[begin:], list[:begin]...)
}

// weight returns the rendezvous weight of a target for an object. The weight of a target of the
// own region is multiplied by preference.
func (f *Fleet) weight(t *target, keyHash uint64, preference float64) float64 {
	uniform := (float64(mix(t.idHash, keyHash)) + 1) / (math.MaxUint64 + 2.0) // between 0 and 1, both excluded
	weight := -1 / math.Log(uniform)
	if t.region == f.region {
		weight *= preference
	}
	return weight
}
