// Package placement decides on which targets of a service the work of each object is done, so that
// no target is the home of much more work than the others. Instances count the requests for
// objects, and each plans by itself from the sums of its region. The plan depends on the sums and on
// the targets alone, so that instances which know the same plan the same.
//
// The package does no input or output and is not safe for concurrent use.
package placement

import (
	"math"
	"time"
)

// Object is what requests have in common, with what binds their placement.
type Object struct {
	Key     uint64 // hash of its name
	Regions uint16 // bit i is set if targets of the i-th region may serve it; 0: all regions
	Near    bool   // its answers are too large to transfer far
}

// Count is how many requests for an object arrived.
type Count struct {
	Object
	Requests int
}

// ServiceCounts are the requests for objects of a service.
type ServiceCounts struct {
	Service uint64        // hash of its name
	Warm    time.Duration // what a request takes at a target that has the object warm
	Counts  []Count
}

// Load is the work of an object at a level.
type Load struct {
	Service uint64 // hash of its name
	Object
	Level uint8 // 0: no work
}

const (
	// leastWork is the work at level 1, in slots.
	leastWork = 1.0 / 1024
	// levelsPerOctave is how many levels double the work.
	levelsPerOctave = 4
)

// Work returns the number of slots that the load keeps busy.
func (l Load) Work() float64 {
	if l.Level == 0 {
		return 0
	}
	return leastWork * math.Exp2(float64(l.Level-1)/levelsPerOctave)
}

// levelOf returns the level nearest to an amount of work, 1 at least.
func levelOf(work float64) uint8 {
	level := 1 + math.Round(levelsPerOctave*math.Log2(max(work, leastWork)/leastWork))
	return uint8(min(level, math.MaxUint8))
}
