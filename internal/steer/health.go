package steer

import "time"

// Ejections. A target that fails gets no requests for a while; then a few show
// whether it works again.
const (
	ejectAfter        = 3   // failures in a row that eject a target
	ejectFailureShare = 0.4 // smoothed share of failures that ejects a target
	minEjection       = time.Second
	maxEjection       = 8 * time.Second // short: a target that works again is missed at high load
	ejectOneIn        = 2               // at most 1 of so many targets of a service are kept out
	failureWeight     = 0.15            // of one outcome in the share of failures
)

// recordSuccess notes a whole answer.
func (t *target) recordSuccess() {
	t.consecutiveFailures = 0
	t.failureShare -= failureWeight * t.failureShare
	if t.failureShare < ejectFailureShare/2 {
		t.ejections = 0
	}
}

// recordFailure notes a failure, and reports whether it ejects the target.
func (t *target) recordFailure(now time.Time) bool {
	t.consecutiveFailures++
	t.failureShare += failureWeight * (1 - t.failureShare)
	if t.consecutiveFailures < ejectAfter && t.failureShare < ejectFailureShare {
		return false
	}
	if now.Before(t.ejectedUntil) {
		return false
	}
	t.ejectedUntil = now.Add(min(minEjection<<min(t.ejections, 6), maxEjection))
	t.ejections++
	t.consecutiveFailures = ejectAfter - 1 // the next failure after the ejection is enough for another
	t.failureShare = ejectFailureShare / 2
	return true
}

func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }
