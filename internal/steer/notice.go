package steer

import (
	"maps"
	"time"

	"github.com/firlever/firlever/internal/notice"
)

// ConstraintChange is a change to the constraints of a target.
type ConstraintChange string

// Changes to a target's constraints.
const (
	TargetLeaving  ConstraintChange = "leaves"
	LimitSet       ConstraintChange = "limits"     // the target gave a limit, or a different one than before
	LimitRemoved   ConstraintChange = "limit-over" // the target has no limit any more
	BackOffStarted ConstraintChange = "rests"
)

// noticeTTL is how long the notices of a target are kept after its entry was removed: if the
// store is restored, the entry may return with the same run and an older state.
const noticeTTL = 10 * time.Minute

// runKey identifies one run of a target.
type runKey struct {
	targetID string
	started  time.Time
}

func runKeyOf(t *Target) runKey { return runKey{targetID: t.ID, started: t.Started.UTC()} }

// constraints is what one run of a target announced about the requests that it accepts.
type constraints struct {
	run          runKey
	leaving      bool      // final, as a target that starts again has another run
	backOffUntil time.Time // end of the back-off; the target gets no requests before
	backedOff    bool      // it asked for a back-off, and since then has only refused requests
	limit        limit
	keepUntil    time.Time // kept until then, even if the run is no longer registered

	observedAt time.Time // when an answer to this instance last gave or confirmed what peers should receive
	asOf       time.Time // time for which that holds
}

// ApplyNotice applies the notice of an answer to a request that was sent at the given time. A
// successful answer without a limit means that the target has none.
func (f *Fleet) ApplyNotice(now time.Time, target Target, sentAt time.Time, n notice.Notice, success bool) []ConstraintChange {
	if !n.Any() && f.constraints[runKeyOf(&target)] == nil {
		return nil
	}
	return f.constraintsOf(now, &target).applyNotice(now, sentAt, n, success)
}

// constraintsOf returns the constraints of a target's run, and creates them at the first use.
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

// targetOfRun returns the target with the given run; nil if the ID has another run or no target.
func (f *Fleet) targetOfRun(r runKey) *target {
	if t, ok := f.targets[r.targetID]; ok && runKeyOf(&t.Target) == r {
		return t
	}
	return nil
}

// applyNotice applies a notice, and returns the changes.
func (c *constraints) applyNotice(now, sentAt time.Time, n notice.Notice, success bool) []ConstraintChange {
	var changes []ConstraintChange
	if n.Leaving && !c.leaving {
		c.leaving = true
		changes = append(changes, TargetLeaving)
	}
	if n.BackOff > 0 {
		if !now.Before(c.backOffUntil) {
			changes = append(changes, BackOffStarted)
		}
		c.backOffUntil, c.backedOff = later(c.backOffUntil, now.Add(n.BackOff)), true
		c.keepUntil = later(c.keepUntil, c.backOffUntil)
	} else if sentAt.After(c.backOffUntil) {
		c.backedOff = false
	}
	switch {
	case n.HasLimit:
		if !c.limit.active || c.limit.rate != n.Limit {
			changes = append(changes, LimitSet)
		}
		c.limit.observe(now, n.Limit)
		c.observedAt, c.asOf = now, now
	case success && c.limit.active && sentAt.After(c.limit.observedAt):
		c.limit = limit{observedAt: sentAt}
		c.observedAt, c.asOf = now, sentAt
		changes = append(changes, LimitRemoved)
	case success && n.Leaving:
		c.observedAt, c.asOf = now, sentAt
	}
	return changes
}

// Accepts reports whether a target still accepts the request that it was chosen for. The request
// may have waited for a connection since.
func (f *Fleet) Accepts(now time.Time, target Target) bool {
	c := f.constraints[runKeyOf(&target)]
	return c == nil || !c.leaving && !now.Before(c.backOffUntil)
}

// backingOff reports whether the target gets no requests from this instance for now because it
// asked for a back-off. After the back-off it gets one request at a time until an answer shows
// that it accepts more.
func (t *target) backingOff(now time.Time) bool {
	c := t.constraints
	if c == nil || !c.backedOff {
		return false
	}
	return now.Before(c.backOffUntil) || len(t.startTimes) > 0 && !t.startTimes[len(t.startTimes)-1].Before(c.backOffUntil)
}

// refuseBackingOff refuses a request because all targets that it could go to are backing off;
// false if that is not the case.
func (f *Fleet) refuseBackingOff(now time.Time, s *service, q *Query) (Choice, bool) {
	var first *target
	slots := 0
	for t := range s.window(q).all {
		if !f.available(t) || !q.Regions.Allows(t.region) || !t.backingOff(now) {
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
	// These slots serve the requests of all instances.
	gap := s.latency(q.Objective) * time.Duration(max(1, len(f.peers))) / time.Duration(max(1, slots))
	c := Choice{Reason: BackingOff, RetryAfter: s.scheduleRetry(now, first.constraints.backOffUntil, gap), FirstCandidate: first.ID}
	return c.withLoadOf(now, first), true
}

// anyEligible reports whether some target may get a first attempt at the request.
func (f *Fleet) anyEligible(now time.Time, s *service, q *Query) bool {
	first := *q
	first.Tried = nil
	for t := range s.window(q).all {
		if f.eligible(now, t, &first) {
			return true
		}
	}
	return false
}

// isLeaving reports whether the target is leaving, by its registration or by its answers. The
// answers may show it earlier, and the registration is out of date while the store is
// unreachable.
func (t *target) isLeaving() bool {
	return t.Leaving || t.constraints != nil && t.constraints.leaving
}

// Constraint is what a target announced to some instance about the requests that it accepts from
// all instances. The instances of a region exchange constraints: an instance that may not send
// the target any requests gets no answer from it that shows the end of a limit.
type Constraint struct {
	Target   uint64    // hash of the target's ID
	Started  time.Time // start of the run; zero if unknown
	Leaving  bool
	Limit    float64 // requests per second; 0 or more
	HasLimit bool    // whether Limit is set
	At       time.Time
}

// About returns the hash of the target's ID.
func (c Constraint) About() uint64 { return c.Target }

// Made returns the time for which the constraint holds.
func (c Constraint) Made() time.Time { return c.At }

// Constraints returns the constraints that answers to this instance itself gave after since.
func (f *Fleet) Constraints(since time.Time) []Constraint {
	var list []Constraint
	for _, c := range f.constraints {
		if c.observedAt.After(since) {
			list = append(list, Constraint{
				Target: hash(c.run.targetID), Started: c.run.started, Leaving: c.leaving, Limit: c.limit.rate, HasLimit: c.limit.active, At: c.asOf,
			})
		}
	}
	return list
}

// ConstraintUpdate is a change to a target's constraints that a peer reported.
type ConstraintUpdate struct {
	Target Target
	Change ConstraintChange
	Limit  float64 // requests per second; valid if the change sets a limit
}

// ApplyConstraints applies constraints that other instances received from targets, and returns the
// changes.
func (f *Fleet) ApplyConstraints(now time.Time, list []Constraint) []ConstraintUpdate {
	var updates []ConstraintUpdate
	for _, r := range list {
		t := f.byHash[r.Target]
		if t == nil || !t.Started.Equal(r.Started) || r.At.After(now) {
			continue
		}
		if t.constraints == nil && !r.Leaving && !r.HasLimit {
			continue
		}
		for _, change := range f.constraintsOf(now, &t.Target).applyConstraint(now, r) {
			updates = append(updates, ConstraintUpdate{Target: t.Target, Change: change, Limit: r.Limit})
		}
	}
	return updates
}

// applyConstraint applies a constraint that another instance received from the target. A limit
// changes only if the constraint is later than the last observation of the limit.
func (c *constraints) applyConstraint(now time.Time, r Constraint) []ConstraintChange {
	var changes []ConstraintChange
	if r.Leaving && !c.leaving {
		c.leaving = true
		changes = append(changes, TargetLeaving)
	}
	switch {
	case !r.At.After(c.limit.observedAt):
	case r.HasLimit:
		if !c.limit.active || c.limit.rate != r.Limit {
			changes = append(changes, LimitSet)
		}
		c.limit.observe(now, r.Limit)
		c.limit.observedAt = r.At
	case c.limit.active:
		c.limit = limit{observedAt: r.At}
		changes = append(changes, LimitRemoved)
	}
	return changes
}
