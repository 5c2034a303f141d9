package steer

import "time"

// Ejection. A target that fails gets no requests for a while; after that, a few requests probe
// whether it works again.
const (
	ejectAfter        = 3   // consecutive failures that eject a target
	ejectFailureShare = 0.4 // running mean of failures that ejects a target
	minEjection       = time.Second
	maxEjection       = 8 * time.Second // kept short, as a recovered target is missing capacity at high load
	ejectOneIn        = 2               // at most 1 in this many targets of a service is ejected
	failureWeight     = 0.15            // weight of one outcome in the running mean of failures
)

// recordSuccess records a complete answer.
func (t *target) recordSuccess() {
	t.consecutiveFailures = 0
	t.failureShare -= failureWeight * t.failureShare
	if t.failureShare < ejectFailureShare/2 {
		t.ejections = 0
	}
}

// recordFailure records a failure, and reports whether it ejects the target.
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
	t.consecutiveFailures = ejectAfter - 1 // one failure after the ejection is enough for the next
	t.failureShare = ejectFailureShare / 2
	return true
}

// ForgetFailures drops the failures of all targets, as the path to them had failed.
func (f *Fleet) ForgetFailures() {
	for _, t := range f.targets {
		t.consecutiveFailures, t.failureShare, t.ejections, t.ejectedUntil = 0, 0, 0, time.Time{}
	}
}

func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }
