//go:build linux

package procs

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/target"
)

// drainDeadline is how long after a drain its scope may still get new requests.
const drainDeadline = 3 * time.Second

// drain writes a drain document through an instance. The journal reports requests that the
// scope gets after drainDeadline as violations.
func (f *fleet) drain(n *node, path, body string, s target.Scope) {
	f.t.Helper()
	f.put(n, path, 0, body)
	f.journal.SetLeaving(s, time.Now().Add(drainDeadline))
}

// TestPlannedStop stops an instance with SIGTERM, then drains a target and a whole place, all
// under load. Every request must get a complete answer.
func TestPlannedStop(t *testing.T) {
	runScenario(t, options{places: []place{{"a", 2, 4}, {"b", 2, 4}}, mean: 60 * time.Millisecond, slots: 6}, func(f *fleet) {
		l := f.load("planned", traffic{home: "a", idempotent: 60, nonIdempotent: 20})
		largeLoad := f.load("large", traffic{home: "a", idempotent: 5, size: 300 << 10})
		time.Sleep(time.Second)

		stopped, targets := f.victim("a")
		stopped.proc.signal(t, syscall.SIGTERM)
		if code := stopped.proc.awaitExit(t); code != 0 {
			t.Errorf("got exit code %d of a planned stop, want 0:\n%s", code, stopped.proc.out.tail(10))
		}
		f.awaitWork("a", targets)

		via := f.running()[0]
		drained := f.targets["a"][0].Scope()
		team, name, _ := strings.Cut(service, "/")
		f.drain(via, "/teams/"+team+"/drains/one", fmt.Sprintf("service: %s\ntarget: %s\n", name, drained.Target), drained)
		time.Sleep(drainDeadline + time.Second)
		f.drain(via, "/drains/place", "place: a\n", target.Scope{Place: "a"})
		time.Sleep(drainDeadline + 2*time.Second)
		if use := f.journal.PlaceUsage("a"); use.InFlight > 0 {
			f.addRetryableFailure("got %d requests in flight in the drained place, want none", use.InFlight)
		}

		idempotent, nonIdempotent := l.stop(t)
		large, _ := largeLoad.stop(t)
		f.requireAllAnswered("idempotent", idempotent)
		f.requireAllAnswered("non-idempotent", nonIdempotent)
		f.requireAllAnswered("large answers", large)
	})
}

// TestRollingReplacement replaces all instances in turn under load, then kills all
// instances of one place and starts them again.
func TestRollingReplacement(t *testing.T) {
	runScenario(t, options{places: []place{{"a", 2, 4}, {"b", 2, 4}}, linger: 1500 * time.Millisecond}, func(f *fleet) {
		l := f.load("rolling", traffic{home: "a", idempotent: 60, nonIdempotent: 20})
		for _, n := range f.running() {
			n.proc.signal(t, syscall.SIGTERM)
			if code := n.proc.awaitExit(t); code != 0 {
				t.Errorf("%s: got exit code %d of a planned stop, want 0", n.id, code)
			}
			n.start()
			f.awaitReady()
		}
		rolled, nonIdempotent := l.stop(t)
		f.requireAllAnswered("idempotent in the rolling replacement", rolled)
		if n := nonIdempotent.countWithPrefix("unknown") + nonIdempotent.countWithPrefix("cut"); n > 0 {
			f.addRetryableFailure("got %d non-idempotent requests with an unknown outcome or an incomplete answer, want none", n)
		}

		l = f.load("restart", traffic{home: "a", idempotent: 60, nonIdempotent: 20})
		time.Sleep(time.Second)
		for _, n := range f.nodesIn("a")[:2] {
			n.proc.kill()
		}
		time.Sleep(time.Second)
		for _, n := range f.nodesIn("a")[:2] {
			n.start()
		}
		f.awaitReady()
		for _, tg := range f.targets["a"] {
			f.awaitWork("a", []string{tg.Config().Name})
		}
		restarted, _ := l.stop(t)
		if restarted.answered < restarted.sent*19/20 {
			f.addRetryableFailure("restart of a place: got %d of %d requests answered, want at least 95%%: %s", restarted.answered, restarted.sent, restarted)
		}
	})
}
