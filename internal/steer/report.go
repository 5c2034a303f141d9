package steer

import (
	"math"
	"time"
)

// Report is what a target said of its load when it answered some instance. Instances of
// a region tell each other: with 195 of them, each hears of a target every few seconds
// by itself, and half of all requests went to a target of which it had never heard.
type Report struct {
	Target uint64    // hash of the target's ID
	Load   int       // requests that it had to do, running and waiting
	At     time.Time // when it said so
}

// About is the hash of the target's ID.
func (r Report) About() uint64 { return r.Target }

// Made is when the target said so.
func (r Report) Made() time.Time { return r.At }

// Told is what targets have said of themselves to some instance.
type Told struct {
	Loads       []Report
	Constraints []Constraint
}

// Reports lists what targets have told this instance itself since a time, as far as others
// that know what was passed on before would foresee another wait.
func (f *Fleet) Reports(now, since time.Time) []Report {
	var list []Report
	for _, t := range f.targets {
		if !t.toldAt.After(since) || t.waiting(t.told) == t.waiting(t.foreseen(now)) {
			continue
		}
		r := Report{Target: t.seed, Load: t.told, At: t.toldAt}
		t.passed(r)
		list = append(list, r)
	}
	return list
}

// passed notes the last report of the target that instances have told each other.
func (t *target) passed(r Report) { t.shared, t.sharedUntil = r.Load, r.At.Add(loadLife) }

// foreseen is how many requests the target has to do as far as others know, who have not
// heard of it by themselves.
func (t *target) foreseen(now time.Time) int {
	return t.aged(now, t.shared, t.sharedUntil)
}

// waiting is how many requests wait for a slot beside one that comes now.
func (t *target) waiting(load int) int { return max(0, load+1-t.Slots) }

// Hear takes in what targets have told other instances. What is older than the last that
// is known of a target, or than its run, changes nothing.
func (f *Fleet) Hear(now time.Time, reports []Report) {
	for _, r := range reports {
		t := f.bySeed[r.Target]
		if t == nil || r.At.After(now) || !r.At.After(t.reported) || r.At.Before(t.added) {
			continue
		}
		t.passed(r)
		t.hear(r)
	}
}

// tell takes in what the target says of its load with an answer to this instance.
func (t *target) tell(now time.Time, l Load) {
	t.told, t.toldAt = l.Running+l.Waiting, now
	t.note(now, t.told-t.inFlight())
	if t.Slots > 0 {
		// What others tell is not usual: they tell what is.
		t.service.usual += usualWeight * (float64(t.others)/float64(t.Slots) - t.service.usual)
	}
}

// hear takes in what the target said to another instance. Of this instance's requests,
// those that were sent since are none that the target spoke of.
func (t *target) hear(r Report) {
	mine := 0
	for mine < len(t.starts) && !t.starts[mine].After(r.At) {
		mine++
	}
	t.note(r.At, r.Load-mine)
}

// note keeps how many requests of others the target has to do.
func (t *target) note(at time.Time, others int) {
	t.others = max(0, others)
	t.othersUntil = at.Add(loadLife)
	t.reported = at
}

// occupied is how many requests the target has to do: this instance's own, and those of
// others by the last report.
func (t *target) occupied(now time.Time) int {
	return t.inFlight() + t.aged(now, t.others, t.othersUntil)
}

// aged is what a report of a load that counts until a time is worth now: the older it is,
// the more the usual load of the service's targets stands in for it.
func (t *target) aged(now time.Time, load int, until time.Time) int {
	fresh := min(1, max(0, float64(until.Sub(now))/float64(loadLife)))
	return int(math.Round(fresh*float64(load) + (1-fresh)*t.service.usual*float64(t.Slots)))
}

// loadAge is how old the last report of the target's load is; -1 before the first.
func (t *target) loadAge(now time.Time) time.Duration {
	if t.reported.IsZero() {
		return -1
	}
	return now.Sub(t.reported)
}
