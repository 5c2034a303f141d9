package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// bound is the most work that a target is planned for, as a multiple of its part of all work.
	bound = 1.15
	// comfortShare is the part of a target's slots that may be busy in any case: at 0.6 of four slots,
	// less than a third of the requests wait, for less than one duration of work.
	comfortShare = 0.6
	// nearShare is the most of a region's slots that is planned for objects with large answers. At
	// more, requests wait for longer than they take from another region.
	nearShare = 0.7
	// homeShare is the part of a target's slots that one object may keep busy. One that needs more
	// gets another home.
	homeShare = 0.5
	// mostShare is the part of the slots up to which requests for an object wait for less than they run
	// on average. One that needs more gets another home although SetHomes allows fewer.
	mostShare = 0.8
	// searchedPerUpdate is for how many objects all targets are looked at in one update.
	searchedPerUpdate = 50
	// largeShare is the part of a target's limit from which on an object counts as large.
	largeShare = 0.25
	// MaxHomes is how many homes an object has at most.
	MaxHomes = 4
	// deepRanked is how many targets are looked at for an object that its first ones have no room for.
	deepRanked = 24
	// settle is how long another home must be wanted before an object leaves one that is over its limit:
	// about what a cold run costs.
	settle = time.Second
	// slack is the multiple of its limit up to which a target keeps what is warm there: 1.27 times its part
	// of all work.
	slack = 1.1
	// agreeAfter is how long an object stays at a home that is within its limit although another is
	// wanted, which may be different at each instance until then.
	agreeAfter = 30 * time.Second
	// activeFor is how long a plan is kept in use after the last target was over the bound.
	activeFor = 10 * time.Second
	// moveShare is the part of a service's work that may move in one update.
	moveShare = 0.1
	// planInterval is the time between two updates, and more where there are many objects and targets, so
	// that they take about 1% of a core.
	planInterval = time.Second
	plannedPerS  = 10_000
	// rankedPerUpdate is how many objects are ranked anew in one update.
	rankedPerUpdate = 1000
)

// Target is a target that may get work.
type Target struct {
	ID     uint64
	Region string
	Slots  float64
	Weight float64 // its part of the region's work, relative to the others
	Own    float64 // part of its slots that is for the requests of the own region, 0 to 1
	Near   bool    // it is in the own region
}

// Ranker returns the n targets of greatest weight for an object, the greatest first: those of the own
// region before all others if the object is Near.
type Ranker func(o Object, n int) []uint64

// Homes are the targets that serve an object.
type Homes struct {
	ids [MaxHomes]uint64
	n   int
}

// IDs returns the targets.
func (h *Homes) IDs() []uint64 { return h.ids[:h.n] }

func (h *Homes) add(id uint64) { h.ids[h.n] = id; h.n++ }

// entry is an object with work.
type entry struct {
	Object
	work          float64   // in slots; above 0
	heard         int       // round in which the work was told
	ranked        []uint64  // targets of greatest weight: MaxHomes, or deepRanked if these had no room
	rankedFor     int       // version of the targets that they were ranked for; 0: never
	homes         Homes     // in use; none before the first update
	next          Homes     // wanted
	unwantedSince time.Time // other homes have been wanted since; zero if next is in use
}

// Plan places the objects of a service.
type Plan struct {
	entries     map[Object]*entry  // maxObjects at most
	work        float64            // of all entries, in slots
	sorted      []*entry           // same entries, those with more work first; nil if outdated
	round       int                // increases when all loads are told anew
	inRound     bool               // a round has begun and not ended
	maxHomes    int                // of an object, 1 to MaxHomes
	version     int                // of the targets
	activeUntil time.Time          // the plan is in use until then
	updateAt    time.Time          // the next update
	load        map[uint64]float64 // work of the homes in use by target
	stats       Stats
}

// Stats describe a plan.
type Stats struct {
	Objects   int     // with known work
	Displaced int     // that are not at their first target
	Moves     uint64  // since the start
	Work      float64 // of all objects, in slots
	Highest   float64 // greatest planned load as a multiple of the target's bound
}

// NewPlan returns an empty plan.
func NewPlan() *Plan {
	return &Plan{entries: make(map[Object]*entry), maxHomes: MaxHomes, version: 1}
}

// OneHome reports whether no object has a second home.
func (p *Plan) OneHome() bool { return p.maxHomes == 1 }

// SetHomes sets how many homes an object has at most, unless its work needs more. A plan with less than MaxHomes is in use even where
// all targets have room.
func (p *Plan) SetHomes(n int) { p.maxHomes = min(max(n, 1), MaxHomes) }

// Begin starts a round in which all loads are told anew.
func (p *Plan) Begin() { p.round, p.inRound = p.round+1, true }

// End forgets the loads that the round did not tell.
func (p *Plan) End() {
	if !p.inRound {
		return
	}
	p.inRound = false
	for o, e := range p.entries {
		if e.heard != p.round {
			p.work -= e.work
			delete(p.entries, o)
			p.sorted = nil
		}
	}
}

// Set sets the work of an object.
func (p *Plan) Set(l Load) {
	e := p.entries[l.Object]
	switch work := l.Work(); {
	case work == 0:
		if e != nil {
			p.work -= e.work
			delete(p.entries, l.Object)
		}
	case e != nil:
		p.work += work - e.work
		e.work, e.heard = work, p.round
	case len(p.entries) < maxObjects:
		p.work += work
		p.entries[l.Object] = &entry{Object: l.Object, work: work, heard: p.round}
	}
	p.sorted = nil
}

// TargetsChanged tells that targets came, went or changed.
func (p *Plan) TargetsChanged() { p.version++ }

// Homes returns the homes of an object; false if it is placed by its hash alone.
func (p *Plan) Homes(now time.Time, o Object) (Homes, bool) {
	if !now.Before(p.activeUntil) && p.maxHomes == MaxHomes {
		return Homes{}, false
	}
	e := p.entries[o]
	if e == nil || e.homes.n == 0 {
		return Homes{}, false
	}
	return e.homes, true
}

// Load returns the work that is planned at a target, in slots.
func (p *Plan) Load(target uint64) float64 { return p.load[target] }

// Work returns the work of all objects, in slots.
func (p *Plan) Work() float64 { return p.work }

// EachWork calls a function with the work of each object, in slots.
func (p *Plan) EachWork(f func(work float64)) {
	for _, e := range p.entries {
		f(e.work)
	}
}

// Stats returns what the last update found.
func (p *Plan) Stats() Stats { return p.stats }

// Due reports whether the plan is to be updated.
func (p *Plan) Due(now time.Time) bool { return len(p.entries) > 0 && !now.Before(p.updateAt) }

// Update plans anew and moves a few objects, those between regions within the budget. perSlot is how many
// requests a second keep a slot busy.
func (p *Plan) Update(now time.Time, targets []Target, rank Ranker, budget *Budget, perSlot float64) {
	p.updateAt = now.Add(planInterval + time.Duration(len(p.entries)+len(targets))*time.Second/plannedPerS)
	p.sort()
	p.rank(rank)
	a := newAssignment(targets, p.sorted, p.maxHomes, rank)
	if a.assign(p.sorted) {
		p.activeUntil = now.Add(activeFor)
	}
	p.move(now, a, budget, perSlot)
	p.describe(a)
	if p.stats.Displaced > 0 {
		p.activeUntil = now.Add(activeFor) // those that are left would move all at once
	}
}

// sort sorts the entries by octaves of work, so that a small change of work leaves the order as it is.
func (p *Plan) sort() {
	if p.sorted != nil {
		return
	}
	p.sorted = make([]*entry, 0, len(p.entries))
	for _, e := range p.entries {
		p.sorted = append(p.sorted, e)
	}
	octave := func(e *entry) float64 { return math.Floor(math.Log2(e.work)) }
	slices.SortFunc(p.sorted, func(a, b *entry) int {
		return cmp.Or(compareBinding(Object{Near: a.Near}, Object{Near: b.Near}), cmp.Compare(octave(b), octave(a)), compareObjects(a.Object, b.Object))
	})
}

// rank ranks the targets for entries whose ranking is missing or outdated, up to rankedPerUpdate.
func (p *Plan) rank(rank Ranker) {
	left := rankedPerUpdate
	for _, e := range p.sorted {
		if e.rankedFor == p.version {
			continue
		}
		if left == 0 {
			return
		}
		left--
		e.ranked, e.rankedFor = rank(e.Object, MaxHomes), p.version
	}
}

// describe sets what Load and Stats return.
func (p *Plan) describe(a *assignment) {
	p.load = make(map[uint64]float64, len(a.targets))
	s := Stats{Objects: len(p.sorted), Moves: p.stats.Moves, Work: p.work}
	for _, e := range p.sorted {
		if first := a.first(e, 1); e.homes.n > 0 && first.n > 0 && first.ids[0] != e.homes.ids[0] {
			s.Displaced++
		}
		for _, id := range e.homes.IDs() {
			p.load[id] += e.work / float64(e.homes.n)
		}
	}
	for i, t := range a.targets {
		if a.limit[i] > 0 {
			s.Highest = max(s.Highest, p.load[t.ID]/a.limit[i])
		}
	}
	p.stats = s
}
