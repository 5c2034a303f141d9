package steer

import "time"

// Ejections. A target that fails gets no requests for a while; then a few show
// whether it works again.
const (
	ejectInRow    = 3   // failures in a row that eject a target
	ejectShare    = 0.4 // smoothed share of failures that ejects a target
	ejectFirst    = time.Second
	ejectMost     = 8 * time.Second // short: a target that works again is missed at high load
	ejectHalf     = 2               // at most 1 of so many targets of a service are kept out
	failureWeight = 0.15            // of one outcome in the share of failures
)

// succeeded notes a whole answer.
func (t *target) succeeded() {
	t.inRow = 0
	t.failures -= failureWeight * t.failures
	if t.failures < ejectShare/2 {
		t.ejections = 0
	}
}

// failed notes a failure, and reports whether it ejects the target.
func (t *target) failed(now time.Time) bool {
	t.inRow++
	t.failures += failureWeight * (1 - t.failures)
	if t.inRow < ejectInRow && t.failures < ejectShare {
		return false
	}
	if now.Before(t.ejectedUntil) {
		return false
	}
	t.ejectedUntil = now.Add(min(ejectFirst<<min(t.ejections, 6), ejectMost))
	t.ejections++
	t.inRow = ejectInRow - 1 // the next failure after the ejection is enough for another
	t.failures = ejectShare / 2
	return true
}

func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }
