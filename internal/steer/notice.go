package steer

import (
	"maps"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/notice"
)

// News is what a notice changes of what was known.
type News string

// The news.
const (
	Leaves    News = "leaves"
	Limits    News = "limits"     // it names a limit, or another one than before
	LimitOver News = "limit-over" // it names none any more
	Rests     News = "rests"
)

// noticeTTL is how long what a target said is remembered when its entry is gone: that may
// come back, of the same run and with an older state, when the store does.
const noticeTTL = 10 * time.Minute

// runKey tells the runs of a target apart.
type runKey struct {
	targetID string
	started  time.Time
}

func runKeyOf(t *Target) runKey { return runKey{targetID: t.ID, started: t.Started.UTC()} }

// constraints is what a run of a target has said of the requests that it wants.
type constraints struct {
	run          runKey
	leaving      bool      // for good: the next run is another one
	backOffUntil time.Time // it gets nothing before
	backedOff    bool      // it has asked for rest, and has not answered since other than by a refusal
	limit        limit
	keepUntil    time.Time // remembered so long when the run is not known any more

	observedAt time.Time // when an answer to this instance last brought what others should know
	asOf       time.Time // when it was so
}

// Notice takes in what a target said in an answer to a request that was sent at a time. A success
// that names no limit says that there is none.
func (f *Fleet) Notice(now time.Time, target Target, sentAt time.Time, n notice.Notice, success bool) []News {
	if !n.Any() && f.constraints[runKeyOf(&target)] == nil {
		return nil
	}
	return f.constraintsOf(now, &target).applyNotice(now, sentAt, n, success)
}

// constraintsOf returns the constraints of a run of a target, made when they are first needed.
func (f *Fleet) constraintsOf(now time.Time, target *Target) *constraints {
	key := runKeyOf(target)
	c := f.constraints[key]
	if c == nil {
		maps.DeleteFunc(f.constraints, func(r runKey, old *constraints) bool { return !now.Before(old.keepUntil) && f.targetOfRun(r) == nil })
		c = &constraints{run: key}
		f.constraints[key] = c
		if t := f.targetOfRun(key); t != nil {
			t.constraints = c
		}
	}
	c.keepUntil = later(c.keepUntil, now.Add(noticeTTL))
	return c
}

// targetOfRun returns the target whose run it is; nil if there is another one or none.
func (f *Fleet) targetOfRun(r runKey) *target {
	if t, ok := f.targets[r.targetID]; ok && runKeyOf(&t.Target) == r {
		return t
	}
	return nil
}

// applyNotice takes in a notice, and returns what it changes.
func (c *constraints) applyNotice(now, sentAt time.Time, n notice.Notice, success bool) []News {
	var changes []News
	if n.Leaving && !c.leaving {
		c.leaving = true
		changes = append(changes, Leaves)
	}
	if n.Rest > 0 {
		if !now.Before(c.backOffUntil) {
			changes = append(changes, Rests)
		}
		c.backOffUntil, c.backedOff = later(c.backOffUntil, now.Add(n.Rest)), true
		c.keepUntil = later(c.keepUntil, c.backOffUntil)
	} else if sentAt.After(c.backOffUntil) {
		c.backedOff = false
	}
	switch {
	case n.Limited:
		if !c.limit.active || c.limit.rate != n.Limit {
			changes = append(changes, Limits)
		}
		c.limit.observe(now, n.Limit)
		c.observedAt, c.asOf = now, now
	case success && c.limit.active && sentAt.After(c.limit.observedAt):
		c.limit = limit{observedAt: sentAt}
		c.observedAt, c.asOf = now, sentAt
		changes = append(changes, LimitOver)
	case success && n.Leaving:
		c.observedAt, c.asOf = now, sentAt
	}
	return changes
}

// Wanted says whether a target still wants the request that it was chosen for, which may have
// waited for a connection since.
func (f *Fleet) Wanted(now time.Time, target Target) bool {
	c := f.constraints[runKeyOf(&target)]
	return c == nil || !c.leaving && !now.Before(c.backOffUntil)
}

// backingOff says whether the target gets no request of this instance for now, as it has asked for
// rest. After that it gets one at a time, until an answer shows that it takes more.
func (t *target) backingOff(now time.Time) bool {
	c := t.constraints
	if c == nil || !c.backedOff {
		return false
	}
	return now.Before(c.backOffUntil) || len(t.startTimes) > 0 && !t.startTimes[len(t.startTimes)-1].Before(c.backOffUntil)
}

// refuseBackingOff refuses a request as all targets that it could go to have asked for rest; false if
// that is not so.
func (f *Fleet) refuseBackingOff(now time.Time, s *service, q Query) (Choice, bool) {
	var first *target
	slots := 0
	for _, t := range s.targets {
		if !f.available(t) || !q.Regions.Allow(t.region) || !t.backingOff(now) {
			continue
		}
		slots += t.Slots
		if first == nil || t.constraints.backOffUntil.Before(first.constraints.backOffUntil) {
			first = t
		}
	}
	if first == nil {
		return Choice{}, false
	}
	// All instances send to these slots.
	gap := s.latency(q.Objective) * time.Duration(max(1, len(f.peers))) / time.Duration(max(1, slots))
	c := Choice{Reason: Resting, Again: s.scheduleRetry(now, first.constraints.backOffUntil, gap), First: first.ID}
	return c.withLoadOf(now, candidate{target: first}), true
}

// Rest returns how long all targets of a service want nothing from this instance; 0 if any may
// get a request now.
func (f *Fleet) Rest(now time.Time, q Query) time.Duration {
	s, ok := f.services[q.Service]
	if !ok || slices.ContainsFunc(s.targets, func(t *target) bool { return f.eligible(now, t, Query{Regions: q.Regions}) }) {
		return 0
	}
	c, _ := f.refuseBackingOff(now, s, q)
	return c.Again
}

// isLeaving says whether the target isLeaving, by the store or by its answers. These may come first,
// and what the store says is older while it is away.
func (t *target) isLeaving() bool {
	return t.Leaving || t.constraints != nil && t.constraints.leaving
}

// Constraint is what a target said to some instance of the requests that it wants from all.
// Instances of a region tell each other: who may send it nothing hears so that a limit is over.
type Constraint struct {
	Target  uint64    // hash of its ID
	Started time.Time // of the run; zero if not known
	Leaving bool
	Limit   float64 // requests a second; 0 or more
	Limited bool    // Limit is set
	At      time.Time
}

// About is the hash of the target's ID.
func (c Constraint) About() uint64 { return c.Target }

// Made is when it was so.
func (c Constraint) Made() time.Time { return c.At }

// Constraints lists what answers have told this instance itself since a time.
func (f *Fleet) Constraints(since time.Time) []Constraint {
	var list []Constraint
	for _, c := range f.constraints {
		if c.observedAt.After(since) {
			list = append(list, Constraint{
				Target: hash(c.run.targetID), Started: c.run.started, Leaving: c.leaving, Limit: c.limit.rate, Limited: c.limit.active, At: c.asOf,
			})
		}
	}
	return list
}

// Heard is what a peer's word changes.
type Heard struct {
	Target Target
	News   News
	Limit  float64 // requests a second; counts if News is Limits
}

// HearConstraints takes in what targets have told other instances, and returns what it changes.
func (f *Fleet) HearConstraints(now time.Time, list []Constraint) []Heard {
	var updates []Heard
	for _, r := range list {
		t := f.byHash[r.Target]
		if t == nil || !t.Started.Equal(r.Started) || r.At.After(now) {
			continue
		}
		if t.constraints == nil && !r.Leaving && !r.Limited {
			continue
		}
		for _, change := range f.constraintsOf(now, &t.Target).applyConstraint(now, r) {
			updates = append(updates, Heard{Target: t.Target, News: change, Limit: r.Limit})
		}
	}
	return updates
}

// applyConstraint takes in what the target has told another instance. What was so before a limit was last
// heard of changes nothing of it.
func (c *constraints) applyConstraint(now time.Time, r Constraint) []News {
	var changes []News
	if r.Leaving && !c.leaving {
		c.leaving = true
		changes = append(changes, Leaves)
	}
	switch {
	case !r.At.After(c.limit.observedAt):
	case r.Limited:
		if !c.limit.active || c.limit.rate != r.Limit {
			changes = append(changes, Limits)
		}
		c.limit.observe(now, r.Limit)
		c.limit.observedAt = r.At
	case c.limit.active:
		c.limit = limit{observedAt: r.At}
		changes = append(changes, LimitOver)
	}
	return changes
}
