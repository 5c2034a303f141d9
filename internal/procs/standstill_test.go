//go:build linux

package procs

import (
	"syscall"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
)

// linkPause is longer than an instance waits for a target to notice an aborted attempt.
const linkPause = 1500 * time.Millisecond

// TestStalledTarget repeatedly holds back all data to and from the targets for longer than
// the callers wait. When data flows again, a target gets the attempts aborted meanwhile
// together with new ones, and must never get more requests than it has slots.
func TestStalledTarget(t *testing.T) {
	runScenario(t, options{places: []place{{"a", 1, 6}}, mean: 150 * time.Millisecond, slots: 2, timeout: 2 * time.Second}, func(f *fleet) {
		l := f.load("stall", traffic{home: "a", idempotent: 110, nonIdempotent: 20, timeout: 700 * time.Millisecond})
		for range 5 {
			for _, tg := range f.targets["a"] {
				f.setFaults(nodeIDs(f.nodes), []string{tg.Config().Name}, link.Fault{Partition: true})
			}
			time.Sleep(linkPause)
			f.links.Clear()
			time.Sleep(linkPause)
		}
		l.stop(t)
	})
}

// TestStandstillInCut pauses first the instances and then the links to the targets of a
// partitioned place. Requests that waited meanwhile must be served after each pause:
// none may be refused for lack of slots that are in fact free.
func TestStandstillInCut(t *testing.T) {
	runScenario(t, options{places: []place{{"a", 2, 4}, {"b", 2, 4}}}, func(f *fleet) {
		inside, outside := f.nodesIn("a")[:2], f.nodesIn("b")[:2]
		f.setFaults(nodeIDs(inside), append(nodeIDs(outside), platformPoint), link.Fault{Partition: true})
		l := f.load("standstill", traffic{home: "a", idempotent: 60, nonIdempotent: 20, reachable: inside})
		time.Sleep(time.Second)
		for _, pause := range []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond} {
			for _, n := range inside {
				n.proc.signal(t, syscall.SIGSTOP)
			}
			time.Sleep(pause)
			for _, n := range inside {
				n.proc.signal(t, syscall.SIGCONT)
			}
			time.Sleep(2 * time.Second)
			for _, tg := range f.targets["a"] {
				f.setFaults(nodeIDs(f.nodes), []string{tg.Config().Name}, link.Fault{Partition: true})
			}
			time.Sleep(pause)
			for _, tg := range f.targets["a"] {
				f.setFaults(nodeIDs(f.nodes), []string{tg.Config().Name}, link.Fault{})
			}
			time.Sleep(2 * time.Second)
		}
		idempotent, _ := l.stop(t)
		f.requireAllAnswered("idempotent of the paused place", idempotent)
		f.links.Clear()
		f.awaitReady()
	})
}
