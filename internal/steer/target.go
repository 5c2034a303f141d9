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

// before says whether t was reported before o, which has the same ID.
func (t *Target) before(o *Target) bool {
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
	seed        uint64
	region      string
	added       time.Time   // when this run of it was first known
	starts      []time.Time // when each request of this instance that has not ended went to it, the first first

	others      int       // requests of other instances by the last report
	othersUntil time.Time // the report counts until then, less and less
	reported    time.Time // when the target made it; zero before the first
	told        int       // its load by the last report that it made to this instance
	toldAt      time.Time // when that came; zero before the first
	shared      int       // its load by the last report that instances have told each other
	sharedUntil time.Time // that counts until then, less and less; zero before the first
	shedUntil   time.Time // it counts as full until then

	mean     time.Duration // smoothed time of one request's work
	measured time.Time     // when mean had its last sample

	failures     float64 // smoothed share of failures, 0 to 1
	inRow        int     // failures since the last success
	ejections    int     // in a row, without a success
	ejectedUntil time.Time

	sent []time.Time // when requests went to it while cold; within coldWindow
}

func newTarget(now time.Time, t Target, s *service, region string) *target {
	return &target{Target: t, service: s, seed: xxhash.Sum64String(t.ID), region: region, added: now}
}

// inFlight is how many requests of this instance are at the target.
func (t *target) inFlight() int { return len(t.starts) }

// begin notes that a request goes to the target.
func (t *target) begin(now time.Time) {
	t.starts = append(t.starts, now)
	if t.cold(now) {
		t.sent = append(t.sent, now)
	}
}

// end notes that a request ended that took so long: of those under way, the one that
// began next to that.
func (t *target) end(now time.Time, took time.Duration) {
	if len(t.starts) == 0 {
		return
	}
	i := 0
	for i < len(t.starts)-1 && t.starts[i].Before(now.Add(-took)) {
		i++
	}
	t.starts = slices.Delete(t.starts, i, i+1)
}

// idle says whether the target has hardly anything to do.
func (t *target) idle(now time.Time) bool {
	return float64(t.occupied(now)) < freeShare*float64(t.Slots)
}

// work is how long one request's work takes at the target, if mean is what it takes at
// the service's targets in general: more where its failure domain was measured to be
// clearly slower. Targets that have more objects than they keep warm do all work cold,
// and a domain has them alone where workspaces are bound to a small region. By the
// service's mean their wait was told as 0.6 s when it was 2 s; by their own, a fifth to
// two fifths of the requests that failed late on four days of such load are refused at
// once, and 0.1% to 0.4% more of the credit is earned.
func (t *target) work(mean time.Duration) time.Duration {
	own := t.service.domains[t.Domain]
	if own-mean < farthest || float64(own) < slowDomain*float64(mean) {
		return mean
	}
	return own
}

// wait is how long a request waits for a slot if the work of one takes so long.
func (t *target) wait(now time.Time, work time.Duration) time.Duration {
	ahead := t.occupied(now) + 1 - t.Slots
	if ahead <= 0 {
		return 0
	}
	return work * time.Duration(ahead) / time.Duration(t.Slots)
}

// full notes that the target has no room at all.
func (t *target) full(now time.Time) {
	t.others = max(t.others, 2*t.Slots)
	t.othersUntil = now.Add(loadLife)
	t.shedUntil = now.Add(shedLife)
}

// sample takes in how long one request's work took.
func (t *target) sample(now time.Time, took time.Duration) {
	t.mean = smooth(t.mean, took)
	t.measured = now
}

// slowness is by how much the target is slower than others of its service. It
// fades while nothing is measured, so that the target is tried again.
func (t *target) slowness(now time.Time, mean time.Duration) time.Duration {
	over := float64(t.mean) - slowFactor*float64(mean)
	if over <= 0 {
		return 0
	}
	age := now.Sub(t.measured)
	return time.Duration(over * math.Exp2(-float64(age)/float64(slowLife)))
}

func (t *target) cold(now time.Time) bool { return now.Before(t.WarmAt) }

// recent is how many requests went to the cold target within coldWindow.
func (t *target) recent(now time.Time) int {
	begin := now.Add(-coldWindow)
	n := 0
	for n < len(t.sent) && !t.sent[n].After(begin) {
		n++
	}
	t.sent = t.sent[n:]
	return len(t.sent)
}

// smooth moves a mean towards a sample; the first sample is the mean.
func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothing*float64(sample-mean))
}
