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
	Size    float64 // of its machine, as a fraction of the largest; above 0
}

// ranked is a member with its sort keys for the choice of a workspace's holders.
type ranked struct {
	Member
	hash       uint64 // hash of workspace and member
	domainRank int    // rank among the members of its failure domain
}

// rank sorts members for a workspace: the largest of each failure domain first, because most
// callers are there, then the second of each, and so on; equal sizes by hash. All instances with
// the same members agree on the order.
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

// chooseHolders returns the members among which a stock is divided in proportion to their sizes,
// and the sum of their sizes. It chooses as many as possible such that none holds less than
// minStock.
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
