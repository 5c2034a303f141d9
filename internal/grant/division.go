package grant

import (
	"slices"
	"time"
)

// division splits capacity level by level, down to one entry.
type division struct {
	now   time.Time
	of    *line
	lines []*line // that share total; entry is one of them
	total int
	left  int // what entry may be granted beyond its grants; at most what each level leaves
}

// narrow splits the total among groups of entries, and keeps only the group of
// d.entry.
func (d *division) by(group func(*line) string, weight func(string) int) {
	var names []string
	var claims []claim
	for _, o := range d.lines {
		i := slices.Index(names, group(o))
		if i < 0 {
			i = len(names)
			names = append(names, group(o))
			claims = append(claims, claim{weight: weigh(weight, names[i])})
		}
		claims[i].want += o.claim(d.now)
	}
	d.total = split(d.total, claims)[slices.Index(names, group(d.of))]
	d.lines = like(d.lines, func(o *line) bool { return group(o) == group(d.of) })
	d.left = min(d.left, d.total-heldBy(d.lines))
}

func weigh(weight func(string) int, name string) int {
	if weight == nil {
		return 1
	}
	return max(weight(name), 1)
}

func heldBy(lines []*line) int {
	n := 0
	for _, l := range lines {
		n += l.grants.sum()
	}
	return n
}

func like(lines []*line, ok func(*line) bool) []*line {
	var list []*line
	for _, l := range lines {
		if ok(l) {
			list = append(list, l)
		}
	}
	return list
}
