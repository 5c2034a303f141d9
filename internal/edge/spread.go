package edge

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minAddresses is the least number of instances that a caller is given, if there are as many:
// one of them may fail.
const minAddresses = 2

// chooseAddresses chooses the instances that a caller is given. Callers spread their requests
// evenly over their instances, so an instance is given to a fraction of the callers that is
// proportional to the size of its machine. A caller gets the same instances each time, as it
// closes its connections to others. Instances of equal size are all given, up to limit.
func chooseAddresses(list []record, caller string, limit int) []string {
	type ranked struct {
		address string
		surplus float64 // by how much its size exceeds the hash fraction of caller and address
	}
	cores, link := largest(list)
	all := make([]ranked, 0, len(list))
	for _, r := range list {
		all = append(all, ranked{address: r.Callers, surplus: r.size(cores, link) - hashFraction(caller, r.Callers)})
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(b.surplus, a.surplus) })
	var addresses []string
	for _, r := range all[:min(len(all), limit)] {
		if r.surplus >= 0 || len(addresses) < minAddresses {
			addresses = append(addresses, r.address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// largest returns the most cores and the fastest link of the instances in list.
func largest(list []record) (cores, link float64) {
	for _, r := range list {
		cores, link = max(cores, r.Cores), max(link, r.Link)
	}
	return cores, link
}

// size returns the size of the instance's machine as a fraction of the largest, by its scarcest
// resource. A machine whose resources are unknown counts as the largest.
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

// hashFraction returns a number from 0 to 1 that is constant for a caller and an address.
func hashFraction(caller, address string) float64 {
	return float64(xxhash.Sum64String(caller+" "+address)) / math.MaxUint64
}
