package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// Tally counts the answers of targets. An answer is bad if it is a failure or much too late.
type Tally struct {
	Answers int `json:"n"`
	Bad     int `json:"bad"`
}

func (t *Tally) add(o Tally) {
	t.Answers += o.Answers
	t.Bad += o.Bad
}

// badShare returns the share of bad answers; 0 if there are no answers.
func (t Tally) badShare() float64 {
	if t.Answers == 0 {
		return 0
	}
	return float64(t.Bad) / float64(t.Answers)
}

// Source is where counted answers come from.
type Source struct {
	Route  string `json:"route"`
	Target uint64 `json:"target,omitempty"` // hash of the ID of a canary; 0 stands for all targets of the old version
}

// Count is the tally of one source.
type Count struct {
	Source
	Tally
}

// Counts are the tallies of answers since an order, by source.
type Counts map[Source]Tally

// Add adds the tallies of a list.
func (c Counts) Add(list []Count) {
	for _, n := range list {
		t := c[n.Source]
		t.add(n.Tally)
		c[n.Source] = t
	}
}

// List returns the tallies ordered by source, limit at most. It leaves out the sources with the
// fewest answers.
func (c Counts) List(limit int) []Count {
	list := make([]Count, 0, len(c))
	for s, t := range c {
		list = append(list, Count{Source: s, Tally: t})
	}
	if len(list) > limit {
		slices.SortFunc(list, func(a, b Count) int { return cmp.Or(cmp.Compare(b.Answers, a.Answers), a.compare(b.Source)) })
		list = list[:limit]
	}
	slices.SortFunc(list, func(a, b Count) int { return a.compare(b.Source) })
	return list
}

func (s Source) compare(o Source) int {
	return cmp.Or(cmp.Compare(s.Route, o.Route), cmp.Compare(s.Target, o.Target))
}

// comparison is what a verdict compares: the answers of each canary, and those of the old version
// to the same requests over the same time.
type comparison struct {
	route    string // "" stands for all routes
	canaries map[uint64]Tally
	old      Tally
}

func newComparison(route string) *comparison {
	return &comparison{route: route, canaries: make(map[uint64]Tally)}
}

func (c *comparison) add(target uint64, t Tally) {
	if target == 0 {
		c.old.add(t)
		return
	}
	sum := c.canaries[target]
	sum.add(t)
	c.canaries[target] = sum
}

// comparisons returns the comparison over all routes, followed by that of each route.
func (c Counts) comparisons() []*comparison {
	all := newComparison("")
	routes := make(map[string]*comparison)
	for s, t := range c {
		r, ok := routes[s.Route]
		if !ok {
			r = newComparison(s.Route)
			routes[s.Route] = r
		}
		r.add(s.Target, t)
		all.add(s.Target, t)
	}
	list := []*comparison{all}
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		list = append(list, routes[route])
	}
	return list
}

// typicalCanaries returns the sum over the canaries without those that are much worse than the rest:
// what few targets show is the fault of those targets, not of the version. It leaves out half of
// them at most.
func (c *comparison) typicalCanaries() Tally {
	list := slices.Collect(maps.Values(c.canaries))
	slices.SortFunc(list, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(b.badShare(), a.badShare()), cmp.Compare(b.Answers, a.Answers))
	})
	var rest Tally
	for _, t := range list {
		rest.add(t)
	}
	for _, worst := range list[:(len(list)+1)/2] {
		others := Tally{Answers: rest.Answers - worst.Answers, Bad: rest.Bad - worst.Bad}
		if others.Answers == 0 || exactTest(worst, others) >= outlierSignificance {
			break
		}
		rest = others
	}
	return rest
}

// fromSeveral reports whether enough canaries have answered to tell their faults from the version's.
func (c *comparison) fromSeveral() bool {
	sum, most := 0, 0
	for _, t := range c.canaries {
		sum, most = sum+t.Answers, max(most, t.Answers)
	}
	return len(c.canaries) >= minCanaries && sum-most >= minOtherAnswers
}

// Totals returns the tallies of all canaries and of the old version.
func (c Counts) Totals() (canaries, old Tally) {
	for s, t := range c {
		if s.Target == 0 {
			old.add(t)
		} else {
			canaries.add(t)
		}
	}
	return canaries, old
}
