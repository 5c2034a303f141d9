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
		if !t.ownLoadAt.After(since) || t.queueLength(t.ownLoad) == t.queueLength(t.peersEstimate(now)) {
			continue
		}
		r := Report{Target: t.idHash, Load: t.ownLoad, At: t.ownLoadAt}
		t.recordShared(r)
		list = append(list, r)
	}
	return list
}

// recordShared notes the last report of the target that instances have told each other.
func (t *target) recordShared(r Report) {
	t.sharedLoad, t.sharedLoadUntil = r.Load, r.At.Add(loadReportTTL)
}

// peersEstimate is how many requests the target has to do as far as others know, who have not
// heard of it by themselves.
func (t *target) peersEstimate(now time.Time) int {
	return t.decayedLoad(now, t.sharedLoad, t.sharedLoadUntil)
}

// queueLength is how many requests wait for a slot beside one that comes now.
func (t *target) queueLength(load int) int { return max(0, load+1-t.Slots) }

// Hear takes in what targets have told other instances. What is older than the last that
// is known of a target, or than its run, changes nothing.
func (f *Fleet) Hear(now time.Time, reports []Report) {
	for _, r := range reports {
		t := f.byHash[r.Target]
		if t == nil || r.At.After(now) || !r.At.After(t.reportedAt) || r.At.Before(t.addedAt) {
			continue
		}
		t.recordShared(r)
		t.recordPeerReport(r)
	}
}

// recordOwnLoad takes in what the target says of its load with an answer to this instance.
func (t *target) recordOwnLoad(now time.Time, l Load) {
	t.ownLoad, t.ownLoadAt = l.Running+l.Waiting, now
	t.setOtherLoad(now, t.ownLoad-t.inFlight())
	if t.Slots > 0 {
		// What others tell is not usual: they tell what is.
		t.service.typicalLoad += typicalLoadWeight * (float64(t.otherLoad)/float64(t.Slots) - t.service.typicalLoad)
	}
}

// recordPeerReport takes in what the target said to another instance. Of this instance's requests,
// those that were sent since are none that the target spoke of.
func (t *target) recordPeerReport(r Report) {
	ownRequests := 0
	for ownRequests < len(t.startTimes) && !t.startTimes[ownRequests].After(r.At) {
		ownRequests++
	}
	t.setOtherLoad(r.At, r.Load-ownRequests)
}

// setOtherLoad keeps how many requests of others the target has to do.
func (t *target) setOtherLoad(at time.Time, others int) {
	t.otherLoad = max(0, others)
	t.otherLoadUntil = at.Add(loadReportTTL)
	t.reportedAt = at
}

// currentLoad is how many requests the target has to do: this instance's own, and those of
// others by the last report.
func (t *target) currentLoad(now time.Time) int {
	return t.inFlight() + t.decayedLoad(now, t.otherLoad, t.otherLoadUntil)
}

// decayedLoad is what a report of a load that counts until a time is worth now: the older it is,
// the more the usual load of the service's targets stands in for it.
func (t *target) decayedLoad(now time.Time, load int, expiry time.Time) int {
	weight := min(1, max(0, float64(expiry.Sub(now))/float64(loadReportTTL)))
	return int(math.Round(weight*float64(load) + (1-weight)*t.service.typicalLoad*float64(t.Slots)))
}

// loadAge is how old the last report of the target's load is; -1 before the first.
func (t *target) loadAge(now time.Time) time.Duration {
	if t.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(t.reportedAt)
}
