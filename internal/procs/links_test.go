//go:build linux

package procs

import (
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/target"
)

// TestBadLinks makes links to targets and between instances slow, delayed, lossy or cut in
// one direction. Requests must end by their deadline with a correct outcome.
func TestBadLinks(t *testing.T) {
	runScenario(t, options{places: []place{{"a", 2, 6}, {"b", 1, 2}}, mean: 20 * time.Millisecond, timeout: 2 * time.Second}, func(f *fleet) {
		l := f.load("bad", traffic{home: "a", idempotent: 60, nonIdempotent: 20, timeout: 2 * time.Second})
		large := f.load("bad-large", traffic{home: "a", idempotent: 4, size: 200 << 10, timeout: 2 * time.Second})
		a := f.nodesIn("a")
		name := func(i int) string { return f.targets["a"][i].Config().Name }
		nodes := nodeIDs(f.nodes)
		faults := []func(){
			func() { f.setOneWay([]string{name(0)}, nodes, link.Fault{Partition: true}) }, // answers are lost
			func() { f.setOneWay(nodes, []string{name(1)}, link.Fault{Partition: true}) }, // requests are lost
			func() { f.setFaults(nodes, []string{name(2)}, link.Fault{Delay: 300 * time.Millisecond}) },
			func() { f.setOneWay([]string{name(3)}, nodes, link.Fault{Bandwidth: 20 << 10}) },
			func() { f.links.Set(a[0].id, a[1].id, link.Fault{Partition: true}) }, // one direction only
			func() {
				f.links.SetBoth(a[0].id, f.nodesIn("b")[0].id, link.Fault{Loss: 0.3, Delay: 100 * time.Millisecond})
			},
			func() { f.setFaults(nodes, []string{name(4)}, link.Fault{Refuse: true}) },
		}
		for _, fault := range faults {
			fault()
			time.Sleep(1500 * time.Millisecond)
		}
		bad, _ := l.stop(t)
		large.stop(t)
		if bad.answered < bad.sent/2 {
			f.addRetryableFailure("got %d of %d idempotent requests answered, want at least half: one target has no link fault", bad.answered, bad.sent)
		}
		f.clearLinkFaults(f.targets["a"][:2])
		f.awaitReady()
		f.awaitRecovery()
	})
}

// clearLinkFaults removes all link faults. TCP now delivers requests that a cut held back,
// long after the instance gave them up and possibly after another instance took the
// slots. That is not a routing decision, hence the limits of the cut targets and of
// their place are not checked for one second.
func (f *fleet) clearLinkFaults(cut []*target.Target) {
	scopes := []target.Scope{{Place: "a"}, {Place: "a", Service: service}}
	for _, tg := range cut {
		scopes = append(scopes, tg.Scope())
	}
	limits := make([]int, len(scopes))
	for i, s := range scopes {
		limits[i] = f.journal.Usage(s).Limit
		f.journal.SetLimit(s, 0)
	}
	f.links.Clear()
	time.Sleep(time.Second)
	for i, s := range scopes {
		f.journal.SetLimit(s, limits[i])
	}
}

// awaitRecovery waits until all requests of one second of load get complete answers.
func (f *fleet) awaitRecovery() {
	f.t.Helper()
	i := 0
	f.await("all requests answered again", func() string {
		i++
		l := f.load("again", traffic{home: "a", idempotent: 40 + i})
		time.Sleep(time.Second)
		idempotent, _ := l.stop(f.t)
		if idempotent.failures() > 0 {
			return idempotent.String()
		}
		return ""
	})
}
