package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is an instance that may hold tokens.
type Member struct {
	Name    string
	Domain  string // failure domain
	Region  string
	Address string  // for peers, IP:port
	Size    float64 // of its machine, as a part of the largest; above 0
}

// ranked is a member in the order in which a workspace's holders are chosen.
type ranked struct {
	Member
	hash       uint64 // by the hash of workspace and member
	domainRank int    // among those of its failure domain
}

// rank orders members for a workspace: the largest of each failure domain first, as most
// callers are there, then the second of each, and so on; equals by hash. All instances
// that know the same members agree on it.
func rank(members []Member, workspace string) []ranked {
	list := make([]ranked, 0, len(members))
	for _, m := range members {
		list = append(list, ranked{Member: m, hash: xxhash.Sum64String(workspace + " " + m.Name)})
	}
	bySize := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	}
	slices.SortFunc(list, bySize)
	seen := make(map[string]int)
	for i := range list {
		list[i].domainRank = seen[list[i].Domain]
		seen[list[i].Domain]++
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.domainRank, b.domainRank), bySize(a, b)) })
	return list
}

// chooseHolders returns the members among which a stock is divided by size, and the sum of
// their sizes: as many as can be without one that holds less than leastStock.
func chooseHolders(members []Member, workspace string, stock float64) ([]Member, float64) {
	list := rank(members, workspace)
	most, sizes, least := 0, 0.0, 0.0
	sum := 0.0
	for i, m := range list {
		sum += m.Size
		if i == 0 || m.Size < least {
			least = m.Size
		}
		if i == 0 || stock*least/sum >= minStock {
			most, sizes = i+1, sum
		}
	}
	chosen := make([]Member, 0, most)
	for _, m := range list[:most] {
		chosen = append(chosen, m.Member)
	}
	return chosen, sizes
}
