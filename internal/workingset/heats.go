package workingset

import "math"

// Heats counts the objects in use of a service by their load. The load of an object is how much of
// a target's time its runs need while warm: requests a second times seconds of work, by the slots
// of a target.
type Heats struct {
	buckets [heatBuckets]heat // by heatBucket, the coldest first
}

// heat is a group of objects of about the same load.
type heat struct {
	objects int
	load    float64 // of all of them together
}

const (
	heatBuckets = 72
	// heatsPerOctave divides loads finely enough that objects in a bucket may count as equal.
	heatsPerOctave = 4
	// coldestOctave is the load of the coldest bucket, as a power of 2: an object that runs once
	// in some minutes.
	coldestOctave = -16
)

func heatBucket(load float64) int {
	if !(load > 0) {
		return 0
	}
	i := math.Floor(heatsPerOctave * (math.Log2(load) - coldestOctave))
	return int(min(heatBuckets-1, max(0, i)))
}

// Add adds an object of a load that lived at a place before; the zero Place if it is new. A load that
// is negative or no number counts as 0.
func (h *Heats) Add(load float64, before Place) {
	b := &h.buckets[before.heat(load)]
	b.objects++
	if load > 0 && !math.IsInf(load, 0) {
		b.load += load
	}
}

// Objects returns the number of objects.
func (h *Heats) Objects() int {
	n := 0
	for _, b := range h.buckets {
		n += b.objects
	}
	return n
}

// places returns how many objects targets have to keep if each object has at least so many homes.
func (h *Heats) places(homes int, maxLoad float64) int {
	n := 0
	for _, b := range h.buckets {
		n += b.objects * max(homes, b.needs(maxLoad))
	}
	return n
}

// needs returns the number of targets' caches that an object of the bucket needs, each of them
// loaded up to most.
func (b heat) needs(most float64) int {
	if b.objects == 0 {
		return 1
	}
	return max(1, int(math.Ceil(b.load/float64(b.objects)/most)))
}

// heatSpread is by how many buckets objects are moved apart by their hashes: twice the load. Counts
// of an object's requests differ between instances; those of about the same load are told apart by
// their hashes, on which instances agree.
const heatSpread = heatsPerOctave

// mark divides objects by heat: an object is above if its bucket plus its fraction of heatSpread is
// at least the mark. A mark that moves a little changes few objects.
type mark float64

// Marks that all objects are above, and none.
const (
	allAbove  mark = 0
	noneAbove mark = heatBuckets + heatSpread
)

// markTolerance is by how much a mark changes at least.
const markTolerance = 0.1 * heatSpread

// markOf returns the mark above which are all hotter groups and a share of this one.
func markOf(group int, share float64) mark { return mark(float64(group) + 1 - min(1, share)) }

func (m mark) above(object uint64, bucket int) bool {
	return float64(bucket)+heatSpread*float64(object>>11)/(1<<53) >= float64(m)
}

// steady returns the mark before if the new one is nearly the same.
func (m mark) steady(before mark) mark {
	if math.Abs(float64(m-before)) <= markTolerance && m != noneAbove && m != allAbove {
		return before
	}
	return m
}

// group is what marks divide: the objects whose bucket plus fraction of heatSpread has the same
// whole part.
type group struct {
	objects float64
	load    float64
	least   float64 // caches that they need for their load
	more    float64 // objects among them that need no more than a number of homes
}

// groups returns the groups, the coldest first.
func (h *Heats) groups(homes int, maxLoad float64) []group {
	groups := make([]group, heatBuckets+heatSpread)
	for i, b := range h.buckets {
		n, needs := float64(b.objects)/heatSpread, b.needs(maxLoad)
		for j := i; j < i+heatSpread; j++ {
			g := &groups[j]
			g.objects += n
			g.load += b.load / heatSpread
			g.least += n * float64(needs)
			if needs <= homes {
				g.more += n
			}
		}
	}
	return groups
}
