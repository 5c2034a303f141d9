package placement

import (
	"slices"
	"time"
)

// move brings the homes in use nearer to those that are wanted. An object that is new goes there at
// once, and one whose home is within its limit only later, as what is wanted may change again.
func (p *Plan) move(now time.Time, a *assignment, budget *Budget, perSlot float64) {
	used := a.inUse(p.sorted)
	moved := 0.0
	for _, e := range p.sorted {
		isNew := e.homes.n == 0
		if isNew {
			e.homes = a.first(e, 1)
		}
		if e.next.n == 0 || e.homes == e.next {
			e.unwantedSince = time.Time{}
			continue
		}
		if e.unwantedSince.IsZero() {
			e.unwantedSince = now
		}
		if a.lost(&e.homes) {
			e.homes = e.next
			p.stats.Moves++
			continue
		}
		home := a.index[e.homes.ids[0]]
		wait := settle
		if used[home] <= slack*a.limit[home] {
			wait = agreeAfter
		}
		step, work := e.step()
		if !isNew && (now.Sub(e.unwantedSince) < wait || moved > 0 && moved+work > moveShare*a.work) {
			continue
		}
		if a.crosses(e, &step) && (perSlot == 0 || !budget.spend(work*perSlot)) {
			continue // or it isn't known how many requests would move
		}
		e.homes = step
		if !isNew {
			used[home] -= work
			used[a.index[step.ids[step.n-1]]] += work
			moved += work
			p.stats.Moves++
		}
	}
}

// step returns the next homes on the way to the wanted ones, and the work that moves: one home more,
// or all at once.
func (e *entry) step() (Homes, float64) {
	n := e.homes.n
	if n >= e.next.n || !slices.Equal(e.homes.IDs(), e.next.ids[:n]) {
		return e.next, e.work
	}
	step := e.homes
	step.add(e.next.ids[n])
	return step, e.work / float64(n+1)
}
