//go:build linux

package soak

import (
	"fmt"
	"sync"
)

// journal holds what targets and callers saw, and what of it breaks a promise.
type journal struct {
	mu       sync.Mutex
	runs     map[string]int  // by request: how often targets began to work on it; guarded by mu
	once     map[string]bool // requests that may run once at most; guarded by mu
	refused  map[string]bool // requests that were said not to have run; guarded by mu
	good     int             // answers with success; guarded by mu
	all      int             // requests that were sent; guarded by mu
	statuses map[int]int     // answers by status, 0 for none; guarded by mu
	crashes  int             // targets that one request has ended; guarded by mu
	faults   []string        // broken promises; guarded by mu
}

func newJournal() *journal {
	return &journal{
		runs: make(map[string]int), once: make(map[string]bool), refused: make(map[string]bool), statuses: make(map[int]int),
	}
}

// maxFaults bounds what is kept of a run that goes wrong.
const maxFaults = 20

func (j *journal) fault(format string, args ...any) {
	if len(j.faults) < maxFaults {
		j.faults = append(j.faults, fmt.Sprintf(format, args...))
	}
}

// late notes a broken promise.
func (j *journal) late(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fault(format, args...)
}

// sent notes a request before it goes out.
func (j *journal) sent(id string, once bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.all++
	j.once[id] = once
}

// crashed notes that a target ends under the request that does that.
func (j *journal) crashed() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashes++
	if j.crashes == mostCrashes+1 {
		j.fault("one request has ended more than %d targets", mostCrashes)
	}
}

// mostCrashes is how many targets one request may end: cut off from all others, each
// instance learns it by itself, by its second request of two attempts.
const mostCrashes = 4 * edges

// ran notes that a target begins to work on a request.
func (j *journal) ran(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id]++
	once, known := j.once[id]
	switch {
	case !known:
		j.fault("a target runs %q, which nobody sent", id)
	case once && j.runs[id] > 1:
		j.fault("%s runs %d times", id, j.runs[id])
	case once && j.refused[id]:
		j.fault("%s runs after it was refused as not run", id)
	case j.runs[id] > attempts:
		j.fault("%s runs %d times, more than its route allows", id, j.runs[id])
	}
}

// answered notes what a caller got; 0 stands for no whole answer.
func (j *journal) answered(id string, status int, wrong string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.statuses[status]++
	if wrong != "" {
		j.fault("%s: %s", id, wrong)
	}
	switch status {
	case 200:
		j.good++
		if j.runs[id] == 0 {
			j.fault("%s is answered with success and never ran", id)
		}
	case 408, 421, 429, 503:
		j.refused[id] = true
		if j.once[id] && j.runs[id] > 0 {
			j.fault("%s is refused with %d and has run", id, status)
		}
	case 404:
		j.fault("%s gets 404, though its route is there", id)
	}
}
