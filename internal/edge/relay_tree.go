package edge

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/firlever/firlever/internal/mirror"
)

const (
	// maxFollowers is how many instances follow the relays of a region directly. In larger regions
	// some instances of each failure domain are relays for its others, so that what a relay sends
	// grows with the square root of the region.
	maxFollowers = 64
	// maxParents is how many relays of its failure domain an instance may follow, each as a
	// fallback for the one before.
	maxParents = 4
)

// relayTree holds the relays of a region in two tiers. Those of the first tier are the region's
// first instances: the first of them follows the store, and the others follow it. Those of the
// second tier follow the first tier and serve their failure domain.
type relayTree struct {
	first  []relayCandidate            // MaxRelays at most, the first ranked first
	second map[string][]relayCandidate // by failure domain, the first ranked first; empty in small regions
}

// newRelayTree returns the relays among the instances of a region, which are sorted by rank.
func newRelayTree(ranked []relayCandidate) relayTree {
	t := relayTree{first: ranked[:min(len(ranked), mirror.MaxRelays)], second: make(map[string][]relayCandidate)}
	rest := ranked[len(t.first):]
	if len(rest) <= maxFollowers {
		return t
	}
	byDomain := make(map[string][]relayCandidate)
	for _, c := range rest {
		byDomain[c.domain] = append(byDomain[c.domain], c)
	}
	share := math.Sqrt(float64(len(rest))) / float64(len(rest))
	for domain, list := range byDomain {
		n := max(mirror.MaxRelays, int(math.Ceil(share*float64(len(list)))))
		t.second[domain] = list[:min(len(list), n)]
	}
	return t
}

// collectors returns the addresses of the relays of the first tier that rank before an instance.
func (t relayTree) collectors(self relayCandidate) []string { return addressesBefore(t.first, self) }

// parents returns the addresses of the relays that an instance follows, the preferred first.
func (t relayTree) parents(self relayCandidate) []string {
	if t.hops(self) == 1 {
		return addressesBefore(t.first, self)
	}
	near := slices.Clone(t.second[self.domain])
	weight := func(c relayCandidate) uint64 { return xxhash.Sum64String(self.name + "\n" + c.name) }
	slices.SortFunc(near, func(a, b relayCandidate) int { return cmp.Compare(weight(b), weight(a)) })
	return addresses(near[:min(len(near), maxParents)])
}

// hops returns how many relays the changes of the store pass on their way to an instance that follows
// its first choice, 1 or 2.
func (t relayTree) hops(self relayCandidate) int {
	second := t.second[self.domain]
	if len(second) == 0 || self.compare(second[len(second)-1]) <= 0 {
		return 1
	}
	return 2
}

// addressesBefore returns the addresses of the candidates that rank before self.
func addressesBefore(ranked []relayCandidate, self relayCandidate) []string {
	at, _ := slices.BinarySearchFunc(ranked, self, relayCandidate.compare)
	return addresses(ranked[:at])
}

func addresses(list []relayCandidate) []string {
	var all []string
	for _, c := range list {
		all = append(all, c.peers)
	}
	return all
}

// relayCandidate is an instance that may act as relay.
type relayCandidate struct {
	name   string
	domain string
	cores  float64
	peers  string // address for other instances
}

// compare ranks the largest machine first, then by name: relaying takes resources.
func (m relayCandidate) compare(o relayCandidate) int {
	return cmp.Or(cmp.Compare(o.cores, m.cores), cmp.Compare(m.name, o.name))
}
