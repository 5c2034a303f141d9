package health

import (
	"cmp"
	"time"
)

// usable returns how many slots of t may be used now, and why.
func (b *Tracker[K]) usable(now time.Time, t *target[K]) (int, State) {
	n, state := b.measured(now, t)
	steps := t.agingSteps(now, b.cfg.Age)
	if steps > 0 && n < t.limit() {
		return agedSlots(n, steps, t.limit()), Aged
	}
	return n, state
}

// measured returns what the observations allow, whatever their age.
func (b *Tracker[K]) measured(now time.Time, t *target[K]) (int, State) {
	if t.ejected {
		return b.ejectedSlots(t)
	}
	n, state := min(t.openSlots, t.limit()), Warm
	if !now.Before(t.coldAt) {
		n = 1
	}
	if n < t.limit() {
		state = Cold
	}
	if capped := t.capByReport(now, n); capped < n {
		return capped, Hinted
	}
	return n, state
}

// ejectedSlots returns the usable slots of an ejected target: none, unless too many targets
// are ejected and this is one of those that failed least.
func (b *Tracker[K]) ejectedSlots(t *target[K]) (int, State) {
	ejectedCount, failedLess, own := 0, 0, 0
	for _, other := range b.targets {
		if other.notOwned {
			continue
		}
		own++
		if !other.ejected {
			continue
		}
		ejectedCount++
		if b.worse(t, other) {
			failedLess++
		}
	}
	if failedLess >= ejectedCount-b.maxEjected(own) {
		return 0, Ejected
	}
	return max(1, t.limit()/2), Reduced
}

// maxEjected returns how many of this instance's own targets may be ejected at one time. It
// is rounded up if other instances use some of the service's targets too.
func (b *Tracker[K]) maxEjected(own int) int {
	if own < len(b.targets) {
		return (own*b.cfg.Floor + 99) / 100
	}
	return own * b.cfg.Floor / 100
}

// worse reports whether t failed more than other, both being ejected.
func (b *Tracker[K]) worse(t, other *target[K]) bool {
	return cmp.Or(
		cmp.Compare(t.failureRate, other.failureRate),
		cmp.Compare(t.ejections, other.ejections),
		b.compare(t.key, other.key),
	) > 0
}

// recordSignal records that an observation or report of t has arrived. A weight that has
// aged is kept, so that it doesn't fall back; a target that was idle starts cold.
func (b *Tracker[K]) recordSignal(now time.Time, t *target[K]) {
	idle := !now.Before(t.coldAt)
	switch {
	case t.agingSteps(now, b.cfg.Age) > 0:
		n, _ := b.usable(now, t)
		t.setOpenSlots(now, n, b.cfg.Step)
		t.coldAt = now.Add(b.cfg.Idle)
	case idle && !t.ejected:
		t.setOpenSlots(now, 1, b.cfg.Step)
		t.consecutiveFailures, t.failureRate, t.samples = 0, 0, 0
	}
	t.agingAt = now.Add(b.cfg.Silent)
}

// recordSuccess records an answer. It ends the ejection of a target once the ejection time
// has passed; before that it changes only the latency and the failure rate.
func (b *Tracker[K]) recordSuccess(now time.Time, t *target[K], latency time.Duration) {
	t.recordOutcome(false)
	if t.latency == 0 {
		t.latency = latency
	}
	t.latency += (latency - t.latency) / 8
	if !t.ejected {
		t.grow(now, b.cfg.Step)
		return
	}
	if now.Before(t.ejectedUntil) {
		return
	}
	t.ejected = false
	t.consecutiveFailures, t.failureRate, t.samples = 0, 0, 0
	t.setOpenSlots(now, t.openSlots, b.cfg.Step)
}

// recordFailure records a failure. Late failures of requests sent before an ejection don't
// prolong it.
func (b *Tracker[K]) recordFailure(now time.Time, t *target[K]) {
	t.recordOutcome(true)
	switch {
	case t.ejected && now.Before(t.ejectedUntil):
	case t.ejected, b.mustEject(t):
		b.eject(now, t)
	}
}

// mustEject reports whether a target must be ejected. One whose ejection ended and that is
// not warm again is ejected by its first failure.
func (b *Tracker[K]) mustEject(t *target[K]) bool {
	if t.ejections > 0 && !t.warm() {
		return true
	}
	if t.consecutiveFailures >= b.cfg.Failures {
		return true
	}
	return t.samples >= b.cfg.Samples && t.failureRate*100 >= fullRate*b.cfg.Percent
}

// eject ejects t for twice as long as the last time, up to Config.Most.
func (b *Tracker[K]) eject(now time.Time, t *target[K]) {
	d := b.cfg.Eject
	for range t.ejections {
		d = min(2*d, b.cfg.Most)
	}
	if shorter := int64(d) * int64(b.cfg.Jitter) / 100; shorter > 0 {
		d -= time.Duration(b.rng.Int64N(shorter))
	}
	t.ejected = true
	t.ejections = min(t.ejections+1, 32)
	t.ejectedUntil = now.Add(d)
	t.probeDeadline = time.Time{}
	t.agingAt = t.ejectedUntil.Add(b.cfg.Silent) // no requests are sent to it before ejectedUntil
	t.setOpenSlots(now, 1, b.cfg.Step)
}
