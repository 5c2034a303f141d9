package edge

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// spare is how many instances a caller is told of at least, if there are as many:
// one of them may die.
const spare = 2

// share chooses the instances that a caller is told of. Each is named to a part of
// the callers that is proportional to the size of its machine, as callers spread
// their requests evenly over those that they know. A caller is told of the same
// ones each time: it closes its connections to others. Instances of one size are
// all named, up to most.
func share(list []record, caller string, most int) []string {
	type ranked struct {
		address string
		above   float64 // by how much its size exceeds the caller's mark for it
	}
	cores, link := largest(list)
	all := make([]ranked, 0, len(list))
	for _, r := range list {
		all = append(all, ranked{address: r.Callers, above: r.size(cores, link) - mark(caller, r.Callers)})
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(b.above, a.above) })
	var addresses []string
	for _, r := range all[:min(len(all), most)] {
		if r.above >= 0 || len(addresses) < spare {
			addresses = append(addresses, r.address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// largest returns the most cores and the fastest link of some instances.
func largest(list []record) (cores, link float64) {
	for _, r := range list {
		cores, link = max(cores, r.Cores), max(link, r.Link)
	}
	return cores, link
}

// size is how large the instance's machine is, as a part of the largest, by what it
// has least of. A machine that says nothing counts as large.
func (r record) size(cores, link float64) float64 {
	size := 1.0
	if r.Cores > 0 {
		size = min(size, r.Cores/cores)
	}
	if r.Link > 0 {
		size = min(size, r.Link/link)
	}
	return size
}

// mark is a number from 0 to 1 that is fixed for a caller and an address.
func mark(caller, address string) float64 {
	return float64(xxhash.Sum64String(caller+" "+address)) / math.MaxUint64
}
