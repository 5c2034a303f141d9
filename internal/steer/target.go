package steer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is a target as it registered itself.
type Target struct {
	ID       string
	Started  time.Time // of this run; a target that starts again under its ID knows nothing of before
	Sequence uint64    // of its report; grows within a run
	Service  string
	Address  string
	Domain   string
	Slots    int
	Leaving  bool
	WarmAt   time.Time // it is cold before
}

// olderThan says whether t was reported olderThan o, which has the same ID.
func (t *Target) olderThan(o *Target) bool {
	if !t.Started.Equal(o.Started) {
		return t.Started.Before(o.Started)
	}
	return t.Sequence < o.Sequence
}

// Load is what a target says that it has to do, from all instances.
type Load struct {
	Running int
	Waiting int
}

// target is a Target with what this instance knows of it.
type target struct {
	Target

	service     *service
	constraints *constraints // nil if the target has said none
	idHash      uint64
	region      string
	addedAt     time.Time   // when this run of it was first known
	startTimes  []time.Time // when each request of this instance that has not ended went to it, the first first

	otherLoad       int       // requests of other instances by the last report
	otherLoadUntil  time.Time // the report counts until then, less and less
	reportedAt      time.Time // when the target made it; zero before the first
	ownLoad         int       // its load by the last report that it made to this instance
	ownLoadAt       time.Time // when that came; zero before the first
	sharedLoad      int       // its load by the last report that instances have told each other
	sharedLoadUntil time.Time // that counts until then, less and less; zero before the first
	shedUntil       time.Time // it counts as full until then

	meanLatency time.Duration // smoothed time of one request's work
	measuredAt  time.Time     // when mean had its last sample

	failureShare        float64 // smoothed share of failures, 0 to 1
	consecutiveFailures int     // failures since the last success
	ejections           int     // in a row, without a success
	ejectedUntil        time.Time

	coldRequests []time.Time // when requests went to it while cold; within coldWindow
}

func newTarget(now time.Time, t Target, s *service, region string) *target {
	return &target{Target: t, service: s, idHash: xxhash.Sum64String(t.ID), region: region, addedAt: now}
}

// inFlight is how many requests of this instance are at the target.
func (t *target) inFlight() int { return len(t.startTimes) }

// startRequest notes that a request goes to the target.
func (t *target) startRequest(now time.Time) {
	t.startTimes = append(t.startTimes, now)
	if t.cold(now) {
		t.coldRequests = append(t.coldRequests, now)
	}
}

// finishRequest notes that a request ended that took so long: of those under way, the one that
// began next to that.
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

// idle says whether the target has hardly anything to do.
func (t *target) idle(now time.Time) bool {
	return float64(t.currentLoad(now)) < idleShare*float64(t.Slots)
}

// workTime is how long one request's workTime takes at the target, if mean is what it takes at
// the service's targets in general: more where its failure domain was measured to be
// clearly slower. Targets that have more objects than they keep warm do all workTime cold,
// and a domain has them alone where workspaces are bound to a small region. By the
// service's mean their wait was told as 0.6 s when it was 2 s; by their own, a fifth to
// two fifths of the requests that failed late on four days of such load are refused at
// once, and 0.1% to 0.4% more of the credit is earned.
func (t *target) workTime(mean time.Duration) time.Duration {
	domainMean := t.service.domainLatency[t.Domain]
	if domainMean-mean < maxDistanceLatency || float64(domainMean) < slowDomainFactor*float64(mean) {
		return mean
	}
	return domainMean
}

// queueWait is how long a request waits for a slot if the work of one takes so long.
func (t *target) queueWait(now time.Time, work time.Duration) time.Duration {
	ahead := t.currentLoad(now) + 1 - t.Slots
	if ahead <= 0 {
		return 0
	}
	return work * time.Duration(ahead) / time.Duration(t.Slots)
}

// markFull notes that the target has no room at all.
func (t *target) markFull(now time.Time) {
	t.otherLoad = max(t.otherLoad, 2*t.Slots)
	t.otherLoadUntil = now.Add(loadReportTTL)
	t.shedUntil = now.Add(shedPeriod)
}

// recordLatency takes in how long one request's work took.
func (t *target) recordLatency(now time.Time, took time.Duration) {
	t.meanLatency = smooth(t.meanLatency, took)
	t.measuredAt = now
}

// excessLatency is by how much the target is slower than others of its service. It
// fades while nothing is measured, so that the target is tried again.
func (t *target) excessLatency(now time.Time, mean time.Duration) time.Duration {
	over := float64(t.meanLatency) - slowFactor*float64(mean)
	if over <= 0 {
		return 0
	}
	age := now.Sub(t.measuredAt)
	return time.Duration(over * math.Exp2(-float64(age)/float64(slownessHalfLife)))
}

func (t *target) cold(now time.Time) bool { return now.Before(t.WarmAt) }

// recentColdRequests is how many requests went to the cold target within coldWindow.
func (t *target) recentColdRequests(now time.Time) int {
	begin := now.Add(-coldWindow)
	n := 0
	for n < len(t.coldRequests) && !t.coldRequests[n].After(begin) {
		n++
	}
	t.coldRequests = t.coldRequests[n:]
	return len(t.coldRequests)
}

// smooth moves a mean towards a sample; the first sample is the mean.
func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothingWeight*float64(sample-mean))
}
