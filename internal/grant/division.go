package grant

import (
	"slices"
	"time"
)

// division splits capacity level by level, down to one entry.
type division struct {
	now       time.Time
	entry     *entry
	entries   []*entry // that share total; entry is one of them
	total     int
	available int // what entry may be granted beyond its grants; at most what each level leaves
}

// narrow splits the total among groups of entries, and keeps only the group of
// d.entry.
func (d *division) narrow(group func(*entry) string, weight func(string) int) {
	var names []string
	var claims []claim
	for _, o := range d.entries {
		i := slices.Index(names, group(o))
		if i < 0 {
			i = len(names)
			names = append(names, group(o))
			claims = append(claims, claim{weight: weightOf(weight, names[i])})
		}
		claims[i].want += o.demand(d.now)
	}
	d.total = split(d.total, claims)[slices.Index(names, group(d.entry))]
	d.entries = filter(d.entries, func(o *entry) bool { return group(o) == group(d.entry) })
	d.available = min(d.available, d.total-grantedTo(d.entries))
}

func weightOf(weight func(string) int, name string) int {
	if weight == nil {
		return 1
	}
	return max(weight(name), 1)
}

func grantedTo(entries []*entry) int {
	n := 0
	for _, e := range entries {
		n += e.grants.sum()
	}
	return n
}

func filter(entries []*entry, ok func(*entry) bool) []*entry {
	var list []*entry
	for _, e := range entries {
		if ok(e) {
			list = append(list, e)
		}
	}
	return list
}
