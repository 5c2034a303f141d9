package health

import (
	"cmp"
	"time"
)

// usable returns how many slots of t may be used now, and why.
func (tr *Tracker[K]) usable(now time.Time, t *target[K]) (int, State) {
	n, state := tr.measured(now, t)
	steps := t.agingSteps(now, tr.cfg.Age)
	if steps > 0 && n < t.limit() {
		return agedSlots(n, steps, t.limit()), Aged
	}
	return n, state
}

// measured returns what the observations allow, whatever their age.
func (tr *Tracker[K]) measured(now time.Time, t *target[K]) (int, State) {
	if t.ejected {
		return tr.ejectedSlots(t)
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
func (tr *Tracker[K]) ejectedSlots(t *target[K]) (int, State) {
	ejectedCount, failedLess, own := 0, 0, 0
	for _, other := range tr.targets {
		if other.notOwned {
			continue
		}
		own++
		if !other.ejected {
			continue
		}
		ejectedCount++
		if tr.worse(t, other) {
			failedLess++
		}
	}
	if failedLess >= ejectedCount-tr.maxEjected(own) {
		return 0, Ejected
	}
	return max(1, t.limit()/2), Reduced
}

// maxEjected returns how many of this instance's own targets may be ejected at one time. It
// is rounded up if other instances use some of the service's targets too.
func (tr *Tracker[K]) maxEjected(own int) int {
	if own < len(tr.targets) {
		return (own*tr.cfg.Floor + 99) / 100
	}
	return own * tr.cfg.Floor / 100
}

// worse reports whether t failed more than other, both being ejected.
func (tr *Tracker[K]) worse(t, other *target[K]) bool {
	return cmp.Or(
		cmp.Compare(t.failureRate, other.failureRate),
		cmp.Compare(t.ejections, other.ejections),
		tr.compare(t.key, other.key),
	) > 0
}

// recordSignal records that an observation or report of t has arrived. A weight that has
// aged is kept, so that it doesn't fall back; a target that was idle starts cold.
func (tr *Tracker[K]) recordSignal(now time.Time, t *target[K]) {
	idle := !now.Before(t.coldAt)
	switch {
	case t.agingSteps(now, tr.cfg.Age) > 0:
		n, _ := tr.usable(now, t)
		t.setOpenSlots(now, n, tr.cfg.Step)
		t.coldAt = now.Add(tr.cfg.Idle)
	case idle && !t.ejected:
		t.setOpenSlots(now, 1, tr.cfg.Step)
		t.consecutiveFailures, t.failureRate, t.samples = 0, 0, 0
	}
	t.agingAt = now.Add(tr.cfg.Silent)
}

// recordSuccess records an answer. It ends the ejection of a target once the ejection time
// has passed; before that it changes only the latency and the failure rate.
func (tr *Tracker[K]) recordSuccess(now time.Time, t *target[K], latency time.Duration) {
	t.recordOutcome(false)
	if t.latency == 0 {
		t.latency = latency
	}
	t.latency += (latency - t.latency) / 8
	if !t.ejected {
		t.grow(now, tr.cfg.Step)
		return
	}
	if now.Before(t.ejectedUntil) {
		return
	}
	t.ejected = false
	t.consecutiveFailures, t.failureRate, t.samples = 0, 0, 0
	t.setOpenSlots(now, t.openSlots, tr.cfg.Step)
}

// recordFailure records a failure. Late failures of requests sent before an ejection don't
// prolong it.
func (tr *Tracker[K]) recordFailure(now time.Time, t *target[K]) {
	t.recordOutcome(true)
	switch {
	case t.ejected && now.Before(t.ejectedUntil):
	case t.ejected, tr.mustEject(t):
		tr.eject(now, t)
	}
}

// mustEject reports whether a target must be ejected. One whose ejection ended and that is
// not warm again is ejected by its first failure.
func (tr *Tracker[K]) mustEject(t *target[K]) bool {
	if t.ejections > 0 && !t.warm() {
		return true
	}
	if t.consecutiveFailures >= tr.cfg.Failures {
		return true
	}
	return t.samples >= tr.cfg.Samples && t.failureRate*100 >= fullRate*tr.cfg.Percent
}

// eject ejects t for twice as long as the last time, up to Config.Most.
func (tr *Tracker[K]) eject(now time.Time, t *target[K]) {
	d := tr.cfg.Eject
	for range t.ejections {
		d = min(2*d, tr.cfg.Most)
	}
	if shorter := int64(d) * int64(tr.cfg.Jitter) / 100; shorter > 0 {
		d -= time.Duration(tr.rng.Int64N(shorter))
	}
	t.ejected = true
	t.ejections = min(t.ejections+1, 32)
	t.ejectedUntil = now.Add(d)
	t.probeDeadline = time.Time{}
	t.agingAt = t.ejectedUntil.Add(tr.cfg.Silent) // no requests are sent to it before ejectedUntil
	t.setOpenSlots(now, 1, tr.cfg.Step)
}
