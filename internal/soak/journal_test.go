//go:build linux

package soak

import (
	"fmt"
	"sync"
)

// journal holds what targets and callers saw, and what of it breaks a promise.
type journal struct {
	mu          sync.Mutex
	executions  map[string]int  // by request: how often targets began to work on it; guarded by mu
	atMostOnce  map[string]bool // requests that may run once at most; guarded by mu
	notExecuted map[string]bool // requests that were said not to have run; guarded by mu
	succeeded   int             // answers with success; guarded by mu
	total       int             // requests that were sent; guarded by mu
	statuses    map[int]int     // answers by status, 0 for none; guarded by mu
	crashes     int             // targets that one request has ended; guarded by mu
	violations  []string        // broken promises; guarded by mu
}

func newJournal() *journal {
	return &journal{
		executions: make(map[string]int), atMostOnce: make(map[string]bool), notExecuted: make(map[string]bool), statuses: make(map[int]int),
	}
}

// maxViolations bounds what is kept of a run that goes wrong.
const maxViolations = 20

func (j *journal) addViolationLocked(format string, args ...any) {
	if len(j.violations) < maxViolations {
		j.violations = append(j.violations, fmt.Sprintf(format, args...))
	}
}

// addViolation notes a broken promise.
func (j *journal) addViolation(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addViolationLocked(format, args...)
}

// recordSent notes a request before it goes out.
func (j *journal) recordSent(id string, once bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.total++
	j.atMostOnce[id] = once
}

// recordCrash notes that a target ends under the request that does that.
func (j *journal) recordCrash() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashes++
	if j.crashes == maxCrashes+1 {
		j.addViolationLocked("one request has ended more than %d targets", maxCrashes)
	}
}

// maxCrashes is how many targets one request may end: cut off from all others, each
// instance learns it by itself, by its second request of two attempts.
const maxCrashes = 4 * edgeCount

// recordExecution notes that a target begins to work on a request.
func (j *journal) recordExecution(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions[id]++
	once, known := j.atMostOnce[id]
	switch {
	case !known:
		j.addViolationLocked("a target runs %q, which nobody sent", id)
	case once && j.executions[id] > 1:
		j.addViolationLocked("%s runs %d times", id, j.executions[id])
	case once && j.notExecuted[id]:
		j.addViolationLocked("%s runs after it was refused as not run", id)
	case j.executions[id] > maxAttempts:
		j.addViolationLocked("%s runs %d times, more than its route allows", id, j.executions[id])
	}
}

// recordAnswer notes what a caller got; 0 stands for no whole answer.
func (j *journal) recordAnswer(id string, status int, wrong string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.statuses[status]++
	if wrong != "" {
		j.addViolationLocked("%s: %s", id, wrong)
	}
	switch status {
	case 200:
		j.succeeded++
		if j.executions[id] == 0 {
			j.addViolationLocked("%s is answered with success and never ran", id)
		}
	case 408, 421, 429, 503:
		j.notExecuted[id] = true
		if j.atMostOnce[id] && j.executions[id] > 0 {
			j.addViolationLocked("%s is refused with %d and has run", id, status)
		}
	case 404:
		j.addViolationLocked("%s gets 404, though its route is there", id)
	}
}
