package steer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is the registration of a target.
type Target struct {
	ID       string
	Started  time.Time // start of this run; a target that restarts under the same ID keeps no state
	Sequence uint64    // number of the registration; increases within a run
	Service  string
	Version  string // of its software
	Address  string
	Domain   string
	Slots    int
	Leaving  bool
	WarmAt   time.Time // until then the target is cold
}

// olderThan reports whether t was registered before o, which has the same ID.
func (t *Target) olderThan(o *Target) bool {
	if !t.Started.Equal(o.Started) {
		return t.Started.Before(o.Started)
	}
	return t.Sequence < o.Sequence
}

// Load is the load that a target reports, from all instances.
type Load struct {
	Running  int
	Waiting  int
	Slowdown int // how long work takes there now, in percent of the usual time; 0 if not reported
}

// target is a Target with the state that this instance keeps about it.
type target struct {
	Target

	service     *service
	path        *path        // to its failure domain
	constraints *constraints // nil if the target announced none
	idHash      uint64
	region      string
	addedAt     time.Time   // when this instance first received the registration of this run
	startTimes  []time.Time // start of each request in flight from this instance, in ascending order

	otherLoad       int       // requests of other instances by the last report
	otherLoadUntil  time.Time // the weight of that report falls to 0 until then
	reportedAt      time.Time // when the target made that report; zero before the first
	ownLoad         int       // load that the target last reported to this instance itself
	ownLoadAt       time.Time // when it did; zero before the first
	reporting       bool      // it is in Fleet.reporting
	sharedLoad      int       // load in the last report that instances exchanged
	sharedLoadUntil time.Time // the weight of that report falls to 0 until then; zero before the first
	shedUntil       time.Time // counted as full until then
	slowdown        slowdown  // last report, to whichever instance
	sharedSlowdown  slowdown  // last report that instances exchanged
	contendedUntil  time.Time // a report showed lately that all slots were in use

	meanLatency time.Duration // running mean of the latency of one request
	measuredAt  time.Time     // time of the last sample of meanLatency

	failureShare        float64 // running mean of failures, 0 to 1
	consecutiveFailures int     // failures since the last success
	ejections           int     // consecutive ejections without a recovery
	ejectedUntil        time.Time

	rank      int // of this instance in the target's order of instances, for rankedFor
	rankedFor int // Fleet.peersVersion; 0: not ranked yet

	coldRequests []time.Time // start times of requests within coldWindow that were sent while it was cold
}

func newTarget(now time.Time, t Target, s *service, region string) *target {
	return &target{Target: t, service: s, idHash: xxhash.Sum64String(t.ID), region: region, addedAt: now}
}

// inFlight returns the number of this instance's requests in flight at the target.
func (t *target) inFlight() int { return len(t.startTimes) }

// startRequest records that a request is sent to the target.
func (t *target) startRequest(now time.Time) {
	t.startTimes = append(t.startTimes, now)
	if t.cold(now) {
		t.coldRequests = append(t.coldRequests, now)
	}
}

// finishRequest records the end of a request that took the given time, and removes the in-flight
// request whose start fits best.
func (t *target) finishRequest(now time.Time, took time.Duration) {
	if len(t.startTimes) == 0 {
		return
	}
	i := 0
	for i < len(t.startTimes)-1 && t.startTimes[i].Before(now.Add(-took)) {
		i++
	}
	t.startTimes = slices.Delete(t.startTimes, i, i+1)
}

// idle reports whether the target has almost no load.
func (t *target) idle(now time.Time) bool {
	return float64(t.currentLoad(now)) < idleShare*float64(t.Slots)
}

// workTime returns how long one request runs at the target. It is mean, the average over the
// service's targets, unless the target's failure domain was measured to be clearly slower.
// Targets that have more objects than they can keep warm do all work cold, and where workspaces
// are bound to a small region, only the domains of that region have such targets. With the
// service's mean, their wait was estimated at 0.6 s when it was 2 s. With their own, a fifth to
// two fifths of the requests that failed late on four days of such load are refused at once, and
// 0.1% to 0.4% more of the credit is earned.
func (t *target) workTime(mean time.Duration) time.Duration {
	domainMean := t.service.domainLatency[t.Domain]
	if domainMean-mean < maxDistanceLatency || float64(domainMean) < slowDomainFactor*float64(mean) {
		return mean
	}
	return domainMean
}

// queueWait returns how long a request waits for a slot if each request runs for the given time.
func (t *target) queueWait(now time.Time, work time.Duration) time.Duration {
	ahead := t.currentLoad(now) + 1 - t.Slots
	if ahead <= 0 {
		return 0
	}
	return work * time.Duration(ahead) / time.Duration(t.Slots)
}

// markFull records that the target has no capacity at all.
func (t *target) markFull(now time.Time) {
	t.otherLoad = max(t.otherLoad, 2*t.Slots)
	t.otherLoadUntil = now.Add(loadReportTTL)
	t.shedUntil = now.Add(shedPeriod)
}

// recordLatency records how long one request ran.
func (t *target) recordLatency(now time.Time, took time.Duration) {
	t.meanLatency = smooth(t.meanLatency, took)
	t.measuredAt = now
}

// excessLatency returns by how much the target is slower than its service's average allows. It
// decays while nothing is measured, after which the target is tried again.
func (t *target) excessLatency(now time.Time, mean time.Duration) time.Duration {
	over := float64(t.meanLatency) - slowFactor*float64(mean)
	if over <= 0 {
		return 0
	}
	age := now.Sub(t.measuredAt)
	return time.Duration(over * math.Exp2(-float64(age)/float64(slownessHalfLife)))
}

func (t *target) cold(now time.Time) bool { return now.Before(t.WarmAt) }

// recentColdRequests returns how many requests were sent to the cold target within coldWindow.
func (t *target) recentColdRequests(now time.Time) int {
	begin := now.Add(-coldWindow)
	n := 0
	for n < len(t.coldRequests) && !t.coldRequests[n].After(begin) {
		n++
	}
	t.coldRequests = t.coldRequests[n:]
	return len(t.coldRequests)
}

// smooth moves a running mean towards a sample; the first sample becomes the mean.
func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothingWeight*float64(sample-mean))
}
