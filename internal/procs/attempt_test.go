//go:build linux

package procs

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/target"
	"github.com/firlever/firlever/internal/invariant"
)

// A scenario is run again when the machine disturbed it, this many times at most.
const maxRuns = 3

// What shows that the machine was too busy to tell: this process stood still for
// longer than an instance waits for a target to notice that an attempt was
// broken off, or for too great a part of the time.
const (
	maxPause        = 100 * time.Millisecond
	maxPausedShare  = 0.05
	pauseEffectTime = time.Second // how long after a stall its effects are seen
)

// runScenario runs one on its own fleets. Broken invariants, wrong answers and
// crashes fail it at once. A failure that a stall of this process explains fails
// it if the process never stood still, or after the last run: a disturbed run
// is repeated, never taken for a pass.
func runScenario(t *testing.T, opts options, run func(f *fleet)) {
	t.Helper()
	t.Parallel()
	for i := range maxRuns {
		f := newFleet(t, opts)
		run(f)
		f.check()
		f.close()
		if t.Failed() || len(f.retryableFailures) > 0 {
			f.keepLogs()
		}
		if len(f.retryableFailures) == 0 || t.Failed() {
			break
		}
		if f.disturbed() && i+1 < maxRuns {
			t.Logf("disturbed by the machine, run again; not judged:\n%s", strings.Join(f.retryableFailures, "\n"))
			continue
		}
		for _, text := range f.retryableFailures {
			t.Error(text)
		}
		return
	}
}

// addRetryableFailure notes a failure that a stall of this process could explain.
func (f *fleet) addRetryableFailure(format string, args ...any) {
	f.retryableFailures = append(f.retryableFailures, fmt.Sprintf(format, args...))
}

func (f *fleet) disturbed() bool {
	n, total, longest := processPauses.since(f.began)
	f.t.Logf("this process stood still %d times, %s in all, %s at most",
		n, total.Round(time.Millisecond), longest.Round(time.Millisecond))
	return longest >= maxPause || total.Seconds() >= maxPausedShare*time.Since(f.began).Seconds()
}

// close ends the fleet's processes.
func (f *fleet) close() {
	f.monitor.stop()
	for _, n := range f.nodes {
		n.kill()
	}
}

// keepLogs writes what all processes logged into a folder that outlives the test: a
// failure that shows once can be traced only with them.
func (f *fleet) keepLogs() {
	dir, err := os.MkdirTemp("", "firlever-"+f.t.Name()+"-")
	if err != nil {
		f.t.Errorf("logs not kept: %v", err)
		return
	}
	for _, n := range f.nodes {
		for i, p := range n.processes {
			name := filepath.Join(dir, fmt.Sprintf("%s-%d.log", n.id, i))
			if err := os.WriteFile(name, []byte(p.out.tail(maxLines)), 0o600); err != nil {
				f.t.Errorf("log not kept: %v", err)
			}
		}
	}
	f.t.Logf("logs of all processes: %s", dir)
}

// requireAllAnswered doubts a load in which a request got no whole answer.
func (f *fleet) requireAllAnswered(what string, c *tally) {
	if c.sent == 0 || c.failures() > 0 {
		f.addRetryableFailure("%s: got %d of %d requests without an answer, want none of some: %s%s", what, c.failures(), c.sent, c, f.failureLogs(c))
	}
}

// checkJournal holds the run against the ground truth. A target that stood still
// may not have noticed that an attempt was broken off when the next one came.
func (f *fleet) checkJournal() {
	f.t.Helper()
	for _, v := range f.journal.Violations() {
		text := fmt.Sprintf("journal: %s at %s: %s", v.Name, v.At.Format(time.StampMilli), v.Detail)
		if v.Name == invariant.RegionLimit && processPauses.coversNear(v) {
			f.addRetryableFailure("%s", text)
			continue
		}
		f.t.Error(text)
	}
}

// coversNear says whether a violation was seen in a stall or soon after it.
func (s *pauseLog) coversNear(v target.Violation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.list {
		if v.At.After(p.from) && v.At.Before(p.to.Add(pauseEffectTime)) {
			return true
		}
	}
	return false
}
