package placement

import (
	"math"
	"slices"
)

// assignment divides the work of objects among targets, each within a limit.
type assignment struct {
	targets  []Target
	index    map[uint64]int // position in targets by ID
	limit    []float64      // work that each target may be planned for
	load     []float64      // work that each target is planned for
	work     float64        // of all objects
	maxHomes int
	rank     Ranker
	searched int // entries for which all targets were looked at, searchedPerUpdate at most
}

// newAssignment returns an assignment in which nothing is placed. The limit of a target is bound
// times its part of all work, or what it does without notable waits if that is more.
func newAssignment(targets []Target, entries []*entry, maxHomes int, rank Ranker) *assignment {
	a := &assignment{
		targets: targets, index: make(map[uint64]int, len(targets)), maxHomes: maxHomes, rank: rank,
		limit: make([]float64, len(targets)), load: make([]float64, len(targets)),
	}
	near := 0.0
	for _, e := range entries {
		a.work += e.work
		if e.Near {
			near += e.work
		}
	}
	weights, nearSlots := 0.0, 0.0
	for i, t := range targets {
		a.index[t.ID] = i
		weights += t.Weight
		if t.Near {
			nearSlots += t.Slots
		}
	}
	far := a.work - near
	for i, t := range targets {
		a.limit[i] = max(bound*far*t.Weight/weights, comfortShare*t.Slots*t.Own)
		if t.Near && near > 0 {
			even := bound * (near*t.Slots/nearSlots + far*t.Weight/weights)
			a.limit[i] = max(a.limit[i], min(nearShare*t.Slots, max(even, comfortShare*t.Slots)))
		} else if near > 0 {
			a.limit[i] = max(a.limit[i], bound*a.work*t.Weight/weights)
		}
	}
	a.extend()
	return a
}

// extend raises the limits if they leave no room for all work. Otherwise each small change of work would
// move objects about.
func (a *assignment) extend() {
	sum := 0.0
	for _, limit := range a.limit {
		sum += limit
	}
	if sum == 0 || sum >= bound*a.work {
		return
	}
	for i := range a.limit {
		a.limit[i] *= bound * a.work / sum
	}
}

// inUse returns the work of the homes in use of each target.
func (a *assignment) inUse(entries []*entry) []float64 {
	used := make([]float64, len(a.targets))
	for _, e := range entries {
		for _, id := range e.homes.IDs() {
			if i, ok := a.index[id]; ok {
				used[i] += e.work / float64(e.homes.n)
			}
		}
	}
	return used
}

// assign sets the wanted homes of all entries, and reports whether any differ from the targets that
// rank first. Each entry keeps its first target as long as there is room; the others go on to the
// next that has room then, so that one that is moved never moves another. Entries that would fill a
// large part of a target go on at once, as no room would be left for them.
func (a *assignment) assign(entries []*entry) (displaced bool) {
	var homeless []*entry
	for _, e := range entries {
		n := a.homes(e)
		h := a.first(e, n)
		switch {
		case h.n == 0: // not ranked yet, or all ranked targets have ended
			e.next = h
			continue
		case a.fits(e, &h):
			a.place(e, h)
		case e.work/float64(n) >= largeShare*a.limit[a.index[h.ids[0]]]:
			a.place(e, a.next(e, n))
		default:
			homeless = append(homeless, e)
			continue
		}
		displaced = displaced || e.next.n > 1 || e.next.ids[0] != h.ids[0]
	}
	for _, e := range homeless {
		a.place(e, a.next(e, a.homes(e)))
	}
	return displaced || len(homeless) > 0
}

// homes returns how many homes an entry needs.
func (a *assignment) homes(e *entry) int {
	first := a.first(e, 1)
	if first.n == 0 {
		return 1
	}
	slots := a.targets[a.index[first.ids[0]]].Slots
	if slots <= 0 {
		return 1
	}
	least := math.Ceil(e.work / (mostShare * slots)) // with fewer, requests wait at its homes for good
	most := min(max(float64(a.maxHomes), least), MaxHomes)
	return int(min(math.Ceil(e.work/(homeShare*slots)), most))
}

// first returns the first n targets of an entry.
func (a *assignment) first(e *entry, n int) Homes {
	var h Homes
	for _, id := range e.ranked {
		if _, ok := a.index[id]; ok && h.n < n {
			h.add(id)
		}
	}
	return h
}

// fits reports whether targets have room for an entry.
func (a *assignment) fits(e *entry, h *Homes) bool {
	part := e.work / float64(h.n)
	for _, id := range h.IDs() {
		if i := a.index[id]; a.load[i]+part > a.limit[i] {
			return false
		}
	}
	return true
}

// next returns the first n targets of an entry that have room. If there are fewer, those that are
// filled least are added.
func (a *assignment) next(e *entry, n int) Homes {
	h := a.roomy(e, e.ranked, n)
	if h.n < n && len(e.ranked) < deepRanked && len(e.ranked) < len(a.targets) {
		e.ranked = a.rank(e.Object, deepRanked)
		h = a.roomy(e, e.ranked, n)
	}
	if h.n < n && a.searched < searchedPerUpdate && len(a.targets) > deepRanked {
		a.searched++
		h = a.roomy(e, a.rank(e.Object, len(a.targets)), n)
	}
	for h.n < n {
		id, ok := a.leastFilled(e, &h, e.work/float64(n))
		if !ok {
			break
		}
		h.add(id)
	}
	return h
}

// roomy returns the first n of some targets that have room for their parts of an entry.
func (a *assignment) roomy(e *entry, ranked []uint64, n int) Homes {
	var h Homes
	part := e.work / float64(n)
	for _, id := range ranked {
		if i, ok := a.index[id]; ok && h.n < n && a.load[i]+part <= a.limit[i] {
			h.add(id)
		}
	}
	return h
}

// leastFilled returns the ranked target that a part of an entry would bring least beyond its limit, and
// that is not among h; false if there is none. A multiple of the limit would prefer targets of the own
// region, whose limits are higher, however full they are.
func (a *assignment) leastFilled(e *entry, h *Homes, part float64) (least uint64, found bool) {
	fill := math.Inf(1)
	for _, id := range e.ranked {
		i, ok := a.index[id]
		if !ok || slices.Contains(h.IDs(), id) {
			continue
		}
		if f := (a.load[i] + part - a.limit[i]) / a.targets[i].Slots; f < fill {
			least, fill, found = id, f, true
		}
	}
	return least, found
}

// place records the wanted homes of an entry.
func (a *assignment) place(e *entry, h Homes) {
	for _, id := range h.IDs() {
		a.load[a.index[id]] += e.work / float64(h.n)
	}
	e.next = h
}

// lost reports whether the first home is no target any more.
func (a *assignment) lost(h *Homes) bool {
	_, ok := a.index[h.ids[0]]
	return !ok
}

// crosses reports whether work of an entry comes to another region by a step.
func (a *assignment) crosses(e *entry, step *Homes) bool {
	region := a.targets[a.index[e.homes.ids[0]]].Region
	for _, id := range step.IDs() {
		if a.targets[a.index[id]].Region != region {
			return true
		}
	}
	return false
}
