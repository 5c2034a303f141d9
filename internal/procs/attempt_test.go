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

// maxRuns is how often a scenario is run at most while the machine disturbs it.
const maxRuns = 3

// A scenario counts as disturbed by a busy machine if this process was paused for
// longer than an instance waits for a target to notice an aborted attempt, or for
// too large a share of the run.
const (
	maxPause        = 100 * time.Millisecond
	maxPausedShare  = 0.05
	pauseEffectTime = time.Second // how long after a pause its effects can appear
)

// runScenario runs a scenario, each time on a fleet of its own. Invariant violations,
// wrong answers and crashes fail the test at once. A failure that a pause of this
// process could have caused fails it if the run was not disturbed, or after the last
// run: a disturbed run is repeated and never counts as a pass.
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
			t.Logf("run disturbed by pauses of this process; repeating it, ignored failures:\n%s", strings.Join(f.retryableFailures, "\n"))
			continue
		}
		for _, text := range f.retryableFailures {
			t.Error(text)
		}
		return
	}
}

// addRetryableFailure records a failure that a pause of this process could have caused.
func (f *fleet) addRetryableFailure(format string, args ...any) {
	f.retryableFailures = append(f.retryableFailures, fmt.Sprintf(format, args...))
}

// disturbed reports whether this process was paused long enough during the run to
// explain retryable failures.
func (f *fleet) disturbed() bool {
	n, total, longest := processPauses.since(f.began)
	f.t.Logf("this process was paused %d times, %s in total, %s at most",
		n, total.Round(time.Millisecond), longest.Round(time.Millisecond))
	return longest >= maxPause || total.Seconds() >= maxPausedShare*time.Since(f.began).Seconds()
}

// close stops the monitor and kills the fleet's processes.
func (f *fleet) close() {
	f.monitor.stop()
	for _, n := range f.nodes {
		n.kill()
	}
}

// keepLogs writes the logs of all processes into a directory that outlives the test:
// a failure that does not recur can be traced only with them.
func (f *fleet) keepLogs() {
	dir, err := os.MkdirTemp("", "firlever-"+strings.ReplaceAll(f.t.Name(), "/", "-")+"-")
	if err != nil {
		f.t.Errorf("create log directory: %v", err)
		return
	}
	for _, n := range f.nodes {
		for i, p := range n.processes {
			name := filepath.Join(dir, fmt.Sprintf("%s-%d.log", n.id, i))
			if err := os.WriteFile(name, []byte(p.out.tail(maxLines)), 0o600); err != nil {
				f.t.Errorf("write log: %v", err)
			}
		}
	}
	f.t.Logf("logs of all processes: %s", dir)
}

// requireAllAnswered records a retryable failure if nothing was sent, or if a request
// got no complete answer.
func (f *fleet) requireAllAnswered(what string, c *tally) {
	if c.sent == 0 || c.failures() > 0 {
		f.addRetryableFailure("%s: got %d of %d requests without an answer, want none and at least one request: %s%s", what, c.failures(), c.sent, c, f.failureLogs(c))
	}
}

// checkJournal fails the test for violations in the journal of the emulated targets.
// Exceeding a region limit close to a pause is retryable: a paused target may not have
// noticed an aborted attempt before the next one arrived.
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

// coversNear reports whether a violation was recorded during a pause or within
// pauseEffectTime after it.
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
