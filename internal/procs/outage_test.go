//go:build linux

package procs

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/emulator/target"
)

// outageDuration is how long the platform is unreachable if FIRLEVER_SOAK does not ask for
// longer.
const outageDuration = 12 * time.Second

const blocksPath = "/blocks/more"

// blocksDocument returns a document with an address block that no caller of the scenarios
// belongs to.
func blocksDocument(n int) string {
	return fmt.Sprintf("blocks:\n  - {prefix: 198.51.100.%d/32, place: a}\n", n)
}

// awaitVersion waits until a version of a document or a newer one is in force in all given
// instances, and returns how long that took.
func (f *fleet) awaitVersion(path string, version uint64, nodes []*node) time.Duration {
	f.t.Helper()
	return f.await(fmt.Sprintf("%s at version %d", path, version), func() string {
		for _, n := range nodes {
			if got := n.documentVersion(path); got < version {
				return fmt.Sprintf("%s has version %d", n.id, got)
			}
		}
		return ""
	})
}

// setFaults sets a fault in both directions on all links between two groups of points.
func (f *fleet) setFaults(a, b []string, fault link.Fault) {
	for _, x := range a {
		for _, y := range b {
			if x != y {
				f.links.SetBoth(x, y, fault)
			}
		}
	}
}

// setOneWay sets a fault on all links from a group of points to another.
func (f *fleet) setOneWay(from, to []string, fault link.Fault) {
	for _, x := range from {
		for _, y := range to {
			f.links.Set(x, y, fault)
		}
	}
}

// nodeIDs returns the IDs of nodes, which are also their link points.
func nodeIDs(nodes []*node) []string {
	var list []string
	for _, n := range nodes {
		list = append(list, n.id)
	}
	return list
}

// TestPlatformGone makes the platform unreachable for a while: connections of some
// instances are refused, those of others get no answer. Requests must still be served, a
// document accepted before must come into force, and an instance that starts during the
// outage must get its documents from peers.
func TestPlatformGone(t *testing.T) {
	runScenario(t, options{places: []place{{"a", 2, 6}, {"b", 1, 2}}}, func(f *fleet) {
		f.store.SetFaults(store.Faults{LoseNext: 1})
		version := f.put(f.nodesIn("a")[0], blocksPath, 0, blocksDocument(1)) // the platform's answer to the instance is lost
		for i, id := range nodeIDs(f.nodes) {
			f.links.SetBoth(id, platformPoint, link.Fault{Partition: i%2 == 0, Refuse: i%2 == 1})
		}
		loadA, loadB := f.load("gone", traffic{home: "a", idempotent: 60, nonIdempotent: 20}), f.load("gone-b", traffic{home: "b", idempotent: 20})
		began := time.Now()
		f.awaitVersion(blocksPath, version, f.running())
		lateNode := f.nodesIn("b")[1]
		lateNode.start()
		took := f.awaitVersion(blocksPath, version, []*node{lateNode})
		t.Logf("an instance started during the outage had its documents after %s", took.Round(time.Millisecond))
		lateLoad := &load{f: f, tr: traffic{home: "b", timeout: 4 * time.Second}, name: "late", client: f.clientForAddresses("b", lateNode.callerAddr), began: time.Now()}
		lateLoad.idempotent.failureCounts = map[string]int{}
		for i := range 20 {
			lateLoad.get(fmt.Sprintf("late-%d-%d", f.number, i))
		}
		f.requireAllAnswered("requests to the instance started during the outage", &lateLoad.idempotent)
		time.Sleep(time.Until(began.Add(max(outageDuration, soakDuration(t)))))
		f.links.Clear()
		f.awaitReady()
		f.await("the instance started during the outage owns targets", func() string {
			if len(lateNode.ownedTargets()) > 0 || len(f.nodesIn("b")[0].ownedTargets()) == 2 {
				return ""
			}
			return "it owns none"
		})
		idempotentA, nonIdempotentA := loadA.stop(t)
		idempotentB, _ := loadB.stop(t)
		f.requireAllAnswered("idempotent of a", idempotentA)
		f.requireAllAnswered("non-idempotent of a", nonIdempotentA)
		f.requireAllAnswered("idempotent of b", idempotentB)
	})
}

// TestPlaceCutOff partitions one place from all others and from the platform. It must keep
// using its own targets. After the partition heals, its documents must reach the version
// written meanwhile.
func TestPlaceCutOff(t *testing.T) {
	runScenario(t, options{places: []place{{"a", 2, 4}, {"b", 2, 4}}}, func(f *fleet) {
		first := f.put(f.nodesIn("a")[0], blocksPath, 0, blocksDocument(1))
		f.awaitVersion(blocksPath, first, f.running())
		inside, outside := f.nodesIn("a")[:2], f.nodesIn("b")[:2]
		f.setFaults(nodeIDs(inside), append(nodeIDs(outside), platformPoint), link.Fault{Partition: true})
		loadA, loadB := f.load("cut", traffic{home: "a", idempotent: 60, nonIdempotent: 20, reachable: inside}), f.load("rest", traffic{home: "b", idempotent: 40, nonIdempotent: 10, reachable: outside})
		time.Sleep(time.Second)
		second := f.put(outside[0], blocksPath, first, blocksDocument(2))
		f.awaitVersion(blocksPath, second, outside)
		f.await("the other place considers the partitioned one dead", func() string { return f.peerNotInState(outside[1], "a", "dead", "") })
		before := f.runCount(target.Scope{Place: "a"})
		time.Sleep(5 * time.Second)
		if runs := f.runCount(target.Scope{Place: "a"}) - before; runs == 0 {
			t.Error("got no requests at the targets of the partitioned place, want some")
		}
		for _, n := range inside {
			if got := n.documentVersion(blocksPath); got != first {
				t.Errorf("%s: got version %d during the partition, want %d", n.id, got, first)
			}
		}
		idempotentA, _ := loadA.stop(t) // its callers reach only the partitioned place
		f.requireAllAnswered("idempotent in the partitioned place", idempotentA)
		f.links.Clear()
		t.Logf("documents converged %s after the partition", f.awaitVersion(blocksPath, second, f.running()).Round(time.Millisecond))
		f.awaitReady()
		idempotentB, nonIdempotentB := loadB.stop(t)
		f.requireAllAnswered("idempotent of the other place", idempotentB)
		f.requireAllAnswered("non-idempotent of the other place", nonIdempotentB)
	})
}

// peerNotInState names a peer in place that n does not list in one of the states; "" if
// there is none. Instances that n does not list at all are not checked.
func (f *fleet) peerNotInState(n *node, place string, states ...string) string {
	st, err := n.status()
	if err != nil {
		return err.Error()
	}
	for _, p := range st.Peers {
		if p.Place != place {
			continue
		}
		matches := false
		for _, s := range states {
			matches = matches || p.State == s
		}
		if !matches {
			return p.ID + " is " + p.State
		}
	}
	return ""
}
