package health

import "time"

// whole is the fixed-point value of a failure rate of 1.
const whole = 1 << 16

// rateShift weighs each outcome with 1/16 of the rate.
const rateShift = 4

// maxOpen is more slots than any target has: it marks a warm target.
const maxOpen = 1 << 20

// target is what is known of one target.
type target[K comparable] struct {
	key       K
	allowance int  // as last given to Weight; 0 before
	foreign   bool // another instance uses it: nothing of it is observed here

	open   int       // 1 <= open <= maxOpen; slots that may be used unless ejected
	grown  int       // successes since open changed
	growAt time.Time // open doesn't change before

	failed  int           // consecutive failures
	rate    int           // 0 <= rate <= whole; of failures, recent outcomes weigh more
	seen    int           // outcomes since the last ejection
	latency time.Duration // measured, of answers, recent ones weigh more; 0 before the first

	ejected    bool
	ejections  int       // since the target was last warm
	until      time.Time // no probe before; set when ejected
	probeUntil time.Time // an answer to the last probe may come until then

	freshUntil time.Time // claims don't count before
	idleAt     time.Time // cold from then on unless observed
	silentAt   time.Time // ageing from then on unless observed or claimed

	claimed bool // the next three are set
	healthy bool
	slots   int
	busy    int
}

// limit is the most slots that open may grow to.
func (t *target[K]) limit() int {
	if t.allowance > 0 {
		return t.allowance
	}
	return maxOpen
}

// warm tells whether all slots may be used.
func (t *target[K]) warm() bool { return t.open >= t.limit() }

// count takes one outcome into the failure rate.
func (t *target[K]) count(failed bool) {
	t.seen++
	if !failed {
		t.failed = 0
		t.rate -= t.rate >> rateShift
		return
	}
	t.failed++
	t.rate += (whole - t.rate) >> rateShift
}

// grow doubles the slots of a cold target after as many successes as it has
// slots, and not before growAt.
func (t *target[K]) grow(now time.Time, step time.Duration) {
	if t.warm() {
		t.ejections = 0
		return
	}
	t.grown++
	if t.grown < t.open || now.Before(t.growAt) {
		return
	}
	t.reopen(now, t.open*2, step)
}

// shrink halves the slots after a refusal, once a step.
func (t *target[K]) shrink(now time.Time, step time.Duration) {
	if now.Before(t.growAt) {
		return
	}
	t.reopen(now, min(t.open, t.limit())/2, step)
}

// reopen sets the slots and starts counting anew.
func (t *target[K]) reopen(now time.Time, open int, step time.Duration) {
	t.open = min(max(open, 1), maxOpen)
	t.grown = 0
	t.growAt = now.Add(step)
}

// hint lowers n by the target's claims. They never close it.
func (t *target[K]) hint(now time.Time, n int) int {
	if !t.claimed || now.Before(t.freshUntil) {
		return n
	}
	if !t.healthy {
		return min(n, 1)
	}
	slots := t.slots
	if t.busy >= t.slots {
		slots /= 2
	}
	return min(n, max(slots, 1))
}

// steps returns how many steps the weight has aged.
func (t *target[K]) steps(now time.Time, age time.Duration) int {
	if now.Before(t.silentAt) {
		return 0
	}
	return 1 + int(now.Sub(t.silentAt)/age)
}

// move shifts all deadlines, when the clock was set back.
func (t *target[K]) move(d time.Duration) {
	for _, deadline := range []*time.Time{
		&t.growAt, &t.until, &t.probeUntil, &t.freshUntil, &t.idleAt, &t.silentAt,
	} {
		*deadline = deadline.Add(d)
	}
}

// aged returns n doubled once a step, from 1 at least, up to limit.
func aged(n, steps, limit int) int {
	for ; steps > 0 && n < limit; steps-- {
		n = max(1, n*2)
	}
	return min(n, limit)
}
