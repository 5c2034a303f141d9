package replica

import "github.com/cespare/xxhash/v2"

// IsWatcher reports whether self is one of the n members of its failure domain that watch the
// platform. Each member is ranked by a hash of its ID, and the first n watch. Members with the same
// list agree. When one leaves, only its part passes to another. self counts as a member whether it
// is listed or not.
func IsWatcher(domainMembers []string, self string, n int) bool {
	before := make(map[string]struct{}, n)
	for _, m := range domainMembers {
		if m != self && ranksBefore(m, self) {
			before[m] = struct{}{}
		}
	}
	return len(before) < n
}

func ranksBefore(a, b string) bool {
	x, y := xxhash.Sum64String(a), xxhash.Sum64String(b)
	if x != y {
		return x < y
	}
	return a < b
}
