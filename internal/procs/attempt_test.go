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
const runs = 3

// What shows that the machine was too busy to tell: this process stood still for
// longer than an instance waits for a target to notice that an attempt was
// broken off, or for too great a part of the time.
const (
	disturbedBy   = 100 * time.Millisecond
	disturbedPart = 0.05
	aftermath     = time.Second // how long after a stall its effects are seen
)

// scenario runs one on its own fleets. Broken invariants, wrong answers and
// crashes fail it at once. A failure that a stall of this process explains fails
// it if the process never stood still, or after the last run: a disturbed run
// is repeated, never taken for a pass.
func scenario(t *testing.T, opts options, run func(f *fleet)) {
	t.Helper()
	t.Parallel()
	for i := range runs {
		f := newFleet(t, opts)
		run(f)
		f.check()
		f.close()
		if t.Failed() || len(f.doubts) > 0 {
			f.keepLogs()
		}
		if len(f.doubts) == 0 || t.Failed() {
			break
		}
		if f.disturbed() && i+1 < runs {
			t.Logf("disturbed by the machine, run again; not judged:\n%s", strings.Join(f.doubts, "\n"))
			continue
		}
		for _, text := range f.doubts {
			t.Error(text)
		}
		return
	}
}

// doubt notes a failure that a stall of this process could explain.
func (f *fleet) doubt(format string, args ...any) {
	f.doubts = append(f.doubts, fmt.Sprintf(format, args...))
}

func (f *fleet) disturbed() bool {
	n, total, longest := meter.since(f.began)
	f.t.Logf("this process stood still %d times, %s in all, %s at most",
		n, total.Round(time.Millisecond), longest.Round(time.Millisecond))
	return longest >= disturbedBy || total.Seconds() >= disturbedPart*time.Since(f.began).Seconds()
}

// close ends the fleet's processes.
func (f *fleet) close() {
	f.watch.stop()
	for _, n := range f.nodes {
		n.end()
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
		for i, p := range n.past {
			name := filepath.Join(dir, fmt.Sprintf("%s-%d.log", n.id, i))
			if err := os.WriteFile(name, []byte(p.out.tail(keepLines)), 0o600); err != nil {
				f.t.Errorf("log not kept: %v", err)
			}
		}
	}
	f.t.Logf("logs of all processes: %s", dir)
}

// none doubts a load in which a request got no whole answer.
func (f *fleet) none(what string, c *tally) {
	if c.sent == 0 || c.failures() > 0 {
		f.doubt("%s: got %d of %d requests without an answer, want none of some: %s%s", what, c.failures(), c.sent, c, f.story(c))
	}
}

// checkJournal holds the run against the ground truth. A target that stood still
// may not have noticed that an attempt was broken off when the next one came.
func (f *fleet) checkJournal() {
	f.t.Helper()
	for _, v := range f.journal.Violations() {
		text := fmt.Sprintf("journal: %s at %s: %s", v.Name, v.At.Format(time.StampMilli), v.Detail)
		if v.Name == invariant.RegionLimit && meter.near(v) {
			f.doubt("%s", text)
			continue
		}
		f.t.Error(text)
	}
}

// near says whether a violation was seen in a stall or soon after it.
func (s *stalls) near(v target.Violation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.list {
		if v.At.After(one.from) && v.At.Before(one.to.Add(aftermath)) {
			return true
		}
	}
	return false
}
