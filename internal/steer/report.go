package steer

import (
	"math"
	"slices"
	"time"
)

// LoadReport is the load that a target reported in an answer to some instance. The instances of a
// region exchange reports: with 195 instances, each gets an answer of a given target only every
// few seconds, and without the exchange half of all requests went to targets that the instance
// had no report of.
//
// A slowdown is told as a report about the complement of the hash. Instances that know no slowdowns
// ignore it as one about an unknown target, and pass it on if they collect.
type LoadReport struct {
	Target uint64    // hash of the target's ID; its complement if Load is a slowdown
	Load   int       // requests at the target, running and waiting, or its slowdown in percent
	At     time.Time // when the target reported it
}

// About returns the hash of the target's ID.
func (r LoadReport) About() uint64 { return r.Target }

// Made returns when the target reported the load.
func (r LoadReport) Made() time.Time { return r.At }

// TargetReports is what targets reported to some instance.
type TargetReports struct {
	Loads       []LoadReport
	Constraints []Constraint
}

const (
	// reportInterval is how often instances exchange reports: a request takes a second of work where
	// loads matter most, so reports are younger than the work.
	reportInterval = 500 * time.Millisecond
	// frequentInterval replaces it where targets report slowdowns, which change many times a second.
	frequentInterval = 250 * time.Millisecond
	// maxFrequentPeers is the most instances that exchange reports at frequentInterval: if all are in
	// one region, its collector answers 400 messages a second.
	maxFrequentPeers = 100
	// slowdownsLast is how long after the last report of a slowdown reports are exchanged frequently.
	slowdownsLast = 10 * time.Second
)

// ReportInterval returns after which time instances are to exchange reports again.
func (f *Fleet) ReportInterval(now time.Time) time.Duration {
	if now.Before(f.oftenUntil) && len(f.peers) <= maxFrequentPeers {
		return frequentInterval
	}
	return reportInterval
}

// Reports returns the loads that targets reported to this instance itself after since. It leaves
// out those for which peers already estimate the same wait from the reports exchanged before.
func (f *Fleet) Reports(now, since time.Time) []LoadReport {
	var list []LoadReport
	f.reporting = slices.DeleteFunc(f.reporting, func(t *target) bool {
		t.reporting = t.ownLoadAt.After(since)
		return !t.reporting
	})
	for _, t := range f.reporting {
		if f.targets[t.ID] != t {
			continue
		}
		if t.queueLength(t.ownLoad) != t.queueLength(t.peersEstimate(now)) {
			r := LoadReport{Target: t.idHash, Load: t.ownLoad, At: t.ownLoadAt}
			t.recordShared(r)
			list = append(list, r)
		}
		if f.shouldTellSlowdown(now, t) {
			t.sharedSlowdown = t.slowdown
			list = append(list, t.slowdown.report(t))
		}
	}
	return list
}

// recordShared stores the last report of the target that instances exchanged.
func (t *target) recordShared(r LoadReport) {
	t.sharedLoad, t.sharedLoadUntil = r.Load, r.At.Add(loadReportTTL)
}

// peersEstimate returns the load of the target as estimated by peers that have not received an
// answer from it themselves.
func (t *target) peersEstimate(now time.Time) int {
	return t.decayedLoad(now, t.sharedLoad, t.sharedLoadUntil)
}

// queueLength returns how many requests wait for a slot once one more request arrives at the
// given load.
func (t *target) queueLength(load int) int { return max(0, load+1-t.Slots) }

// ApplyReports applies reports that other instances received from targets. A report is ignored if it is
// older than the last one from the target or than the target's run.
func (f *Fleet) ApplyReports(now time.Time, reports []LoadReport) {
	for _, r := range reports {
		t := f.byHash[r.Target]
		if t == nil {
			f.applySlowdown(now, r)
			continue
		}
		if r.At.After(now) || !r.At.After(t.reportedAt) || r.At.Before(t.addedAt) {
			continue
		}
		t.recordShared(r)
		t.recordPeerReport(r)
	}
}

// recordOwnLoad records the load that the target reported in an answer to this instance.
func (f *Fleet) recordOwnLoad(now time.Time, t *target, l Load) {
	if !t.reporting {
		t.reporting = true
		f.reporting = append(f.reporting, t)
	}
	t.service.reportsLoad = true
	t.ownLoad, t.ownLoadAt = l.Running+l.Waiting, now
	t.service.reportedAt = now
	t.recordContention(now, t.ownLoad)
	t.setOtherLoad(now, t.ownLoad-t.inFlight())
	if l.Slowdown > 0 {
		t.recordSlowdown(now, l.Slowdown)
		f.oftenUntil = now.Add(slowdownsLast)
	}
	if t.Slots > 0 {
		// Reports from peers are left out of the typical load: they are sent only where the load
		// is not typical.
		t.service.typicalLoad += typicalLoadWeight * (float64(t.otherLoad)/float64(t.Slots) - t.service.typicalLoad)
	}
}

// recordPeerReport records the load that the target reported to another instance. This instance's
// requests that were sent after the report are not part of it.
func (t *target) recordPeerReport(r LoadReport) {
	ownRequests := 0
	for ownRequests < len(t.startTimes) && !t.startTimes[ownRequests].After(r.At) {
		ownRequests++
	}
	t.setOtherLoad(r.At, r.Load-ownRequests)
	t.recordContention(r.At, r.Load)
}

// setOtherLoad stores how many requests of other instances the target has.
func (t *target) setOtherLoad(at time.Time, others int) {
	t.otherLoad = max(0, others)
	t.otherLoadUntil = at.Add(loadReportTTL)
	t.reportedAt = at
}

// currentLoad returns how many requests the target has: those in flight from this instance, and
// those of other instances by the last report.
func (t *target) currentLoad(now time.Time) int {
	return t.inFlight() + t.decayedLoad(now, t.otherLoad, t.otherLoadUntil)
}

// decayedLoad returns a reported load weighted by its age: as the report approaches its expiry,
// the typical load of the service's targets replaces it.
func (t *target) decayedLoad(now time.Time, load int, expiry time.Time) int {
	weight := min(1, max(0, float64(expiry.Sub(now))/float64(loadReportTTL)))
	return int(math.Round(weight*float64(load) + (1-weight)*t.service.typicalLoad*float64(t.Slots)))
}

// loadAge returns the age of the last report of the target's load; -1 before the first.
func (t *target) loadAge(now time.Time) time.Duration {
	if t.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(t.reportedAt)
}
