package health

import "time"

// fullRate is the fixed-point value of a failure rate of 1.
const fullRate = 1 << 16

// rateShift gives each outcome a weight of 1/16 in the failure rate.
const rateShift = 4

// unlimitedSlots is more slots than any target has: it marks a warm target.
const unlimitedSlots = 1 << 20

// target is the state of one target.
type target[K comparable] struct {
	key       K
	allowance int  // as last passed to Weight; 0 before
	notOwned  bool // used by another instance, so that nothing of it is observed here

	openSlots int       // 1 <= openSlots <= unlimitedSlots; usable unless ejected
	successes int       // since openSlots changed
	growAt    time.Time // earliest next change of openSlots

	consecutiveFailures int           // since the last success
	failureRate         int           // 0 <= failureRate <= fullRate; recent outcomes weigh more
	samples             int           // outcomes since the last ejection
	latency             time.Duration // measured average of answers, recent ones weigh more; 0 before the first

	ejected       bool
	ejections     int       // since the target was last warm
	ejectedUntil  time.Time // earliest next probe; set when ejected
	probeDeadline time.Time // deadline of the last probe

	freshUntil time.Time // reports of the target are ignored before
	coldAt     time.Time // cold from then on unless observed
	agingAt    time.Time // ageing from then on unless observed or reported

	reported        bool // the next three are set
	reportedHealthy bool
	reportedSlots   int
	reportedBusy    int
}

// limit returns the bound of openSlots.
func (t *target[K]) limit() int {
	if t.allowance > 0 {
		return t.allowance
	}
	return unlimitedSlots
}

// warm reports whether all slots may be used.
func (t *target[K]) warm() bool { return t.openSlots >= t.limit() }

// recordOutcome adds one outcome to the failure rate.
func (t *target[K]) recordOutcome(failed bool) {
	t.samples++
	if !failed {
		t.consecutiveFailures = 0
		t.failureRate -= t.failureRate >> rateShift
		return
	}
	t.consecutiveFailures++
	t.failureRate += (fullRate - t.failureRate) >> rateShift
}

// grow doubles the slots of a cold target after as many successes as it has slots, but not
// before growAt.
func (t *target[K]) grow(now time.Time, step time.Duration) {
	if t.warm() {
		t.ejections = 0
		return
	}
	t.successes++
	if t.successes < t.openSlots || now.Before(t.growAt) {
		return
	}
	t.setOpenSlots(now, t.openSlots*2, step)
}

// shrink halves the slots after a refusal, at most once per step.
func (t *target[K]) shrink(now time.Time, step time.Duration) {
	if now.Before(t.growAt) {
		return
	}
	t.setOpenSlots(now, min(t.openSlots, t.limit())/2, step)
}

// setOpenSlots sets the slots and restarts the count of successes.
func (t *target[K]) setOpenSlots(now time.Time, n int, step time.Duration) {
	t.openSlots = min(max(n, 1), unlimitedSlots)
	t.successes = 0
	t.growAt = now.Add(step)
}

// capByReport lowers n to what the target's own report allows, at least 1.
func (t *target[K]) capByReport(now time.Time, n int) int {
	if !t.reported || now.Before(t.freshUntil) {
		return n
	}
	if !t.reportedHealthy {
		return min(n, 1)
	}
	slots := t.reportedSlots
	if t.reportedBusy >= t.reportedSlots {
		slots /= 2
	}
	return min(n, max(slots, 1))
}

// agingSteps returns by how many steps the weight has aged.
func (t *target[K]) agingSteps(now time.Time, age time.Duration) int {
	if now.Before(t.agingAt) {
		return 0
	}
	return 1 + int(now.Sub(t.agingAt)/age)
}

// shiftDeadlines moves all deadlines by d after the clock was set back.
func (t *target[K]) shiftDeadlines(d time.Duration) {
	for _, deadline := range []*time.Time{
		&t.growAt, &t.ejectedUntil, &t.probeDeadline, &t.freshUntil, &t.coldAt, &t.agingAt,
	} {
		*deadline = deadline.Add(d)
	}
}

// agedSlots returns n doubled once per step, at least 1 after a step, up to limit.
func agedSlots(n, steps, limit int) int {
	for ; steps > 0 && n < limit; steps-- {
		n = max(1, n*2)
	}
	return min(n, limit)
}
