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

// outage is how long the platform is gone in a usual run.
const outage = 12 * time.Second

const blocksPath = "/blocks/more"

// blocks is a document that changes nothing for the scenarios' callers.
func blocks(n int) string {
	return fmt.Sprintf("blocks:\n  - {prefix: 198.51.100.%d/32, place: a}\n", n)
}

// awaitVersion waits until a document's version is in force in all instances
// given, and returns how long that took.
func (f *fleet) awaitVersion(path string, version uint64, nodes []*node) time.Duration {
	f.t.Helper()
	return f.await(fmt.Sprintf("%s at version %d", path, version), func() string {
		for _, n := range nodes {
			if got := n.version(path); got < version {
				return fmt.Sprintf("%s has version %d", n.id, got)
			}
		}
		return ""
	})
}

// between sets the fault of both ways between all of two groups of points.
func (f *fleet) between(a, b []string, fault link.Fault) {
	for _, x := range a {
		for _, y := range b {
			if x != y {
				f.links.SetBoth(x, y, fault)
			}
		}
	}
}

func ids(nodes []*node) []string {
	var list []string
	for _, n := range nodes {
		list = append(list, n.id)
	}
	return list
}

// TestPlatformGone: the platform is gone for a while, for some instances by
// refusal, for others without a word. Requests flow, what was accepted before
// is in force, and an instance that starts meanwhile gets its documents from peers.
func TestPlatformGone(t *testing.T) {
	scenario(t, options{places: []place{{"a", 2, 6}, {"b", 1, 2}}}, func(f *fleet) {
		f.store.SetFaults(store.Faults{LoseNext: 1})
		version := f.put(f.in("a")[0], blocksPath, 0, blocks(1)) // its answer is lost on the way to the instance
		for i, id := range ids(f.nodes) {
			f.links.SetBoth(id, platformP, link.Fault{Cut: i%2 == 0, Refuse: i%2 == 1})
		}
		la, lb := f.load("gone", traffic{home: "a", idempotent: 60, once: 20}), f.load("gone-b", traffic{home: "b", idempotent: 20})
		began := time.Now()
		f.awaitVersion(blocksPath, version, f.running())
		late := f.in("b")[1]
		late.start()
		took := f.awaitVersion(blocksPath, version, []*node{late})
		t.Logf("an instance started in the outage had its documents after %s", took.Round(time.Millisecond))
		only := &load{f: f, tr: traffic{home: "b", timeout: 4 * time.Second}, name: "late", client: f.clientOf("b", late.callers), began: time.Now()}
		only.idempotent.others = map[string]int{}
		for i := range 20 {
			only.get(fmt.Sprintf("late-%d-%d", f.number, i))
		}
		f.none("requests to the instance started in the outage", &only.idempotent)
		time.Sleep(time.Until(began.Add(max(outage, soak(t)))))
		f.links.Clear()
		f.settled()
		f.await("the late instance owns targets", func() string {
			if len(late.owns()) > 0 || len(f.in("b")[0].owns()) == 2 {
				return ""
			}
			return "it owns none"
		})
		ia, oa := la.stop(t)
		ib, _ := lb.stop(t)
		f.none("idempotent of a", ia)
		f.none("once of a", oa)
		f.none("idempotent of b", ib)
	})
}

// TestPlaceCutOff: one place is cut off from all else, the platform too. It goes
// on with its own targets; when the cut ends, the documents converge forward.
func TestPlaceCutOff(t *testing.T) {
	scenario(t, options{places: []place{{"a", 2, 4}, {"b", 2, 4}}}, func(f *fleet) {
		first := f.put(f.in("a")[0], blocksPath, 0, blocks(1))
		f.awaitVersion(blocksPath, first, f.running())
		inside, outside := f.in("a")[:2], f.in("b")[:2]
		f.between(ids(inside), append(ids(outside), platformP), link.Fault{Cut: true})
		la, lb := f.load("cut", traffic{home: "a", idempotent: 60, once: 20, reach: inside}), f.load("rest", traffic{home: "b", idempotent: 40, once: 10, reach: outside})
		time.Sleep(time.Second)
		second := f.put(outside[0], blocksPath, first, blocks(2))
		f.awaitVersion(blocksPath, second, outside)
		f.await("the others know that the place is gone", func() string { return f.sees(outside[1], "a", "dead", "") })
		before := f.runs(target.Scope{Place: "a"})
		time.Sleep(5 * time.Second)
		if runs := f.runs(target.Scope{Place: "a"}) - before; runs == 0 {
			t.Error("got no work for the targets of the place that is cut off")
		}
		for _, n := range inside {
			if got := n.version(blocksPath); got != first {
				t.Errorf("%s: got version %d in the cut, want %d", n.id, got, first)
			}
		}
		ia, _ := la.stop(t) // its callers reach the cut place alone
		f.none("idempotent in the cut", ia)
		f.links.Clear()
		t.Logf("documents converged %s after the cut", f.awaitVersion(blocksPath, second, f.running()).Round(time.Millisecond))
		f.settled()
		ib, ob := lb.stop(t)
		f.none("idempotent of the rest", ib)
		f.none("once of the rest", ob)
	})
}

// sees says why a node does not see all instances of a place in a state; a
// missing one counts as the state named in gone.
func (f *fleet) sees(n *node, place string, states ...string) string {
	st, err := n.status()
	if err != nil {
		return err.Error()
	}
	for _, p := range st.Peers {
		if p.Place != place {
			continue
		}
		ok := false
		for _, s := range states {
			ok = ok || p.State == s
		}
		if !ok {
			return p.ID + " is " + p.State
		}
	}
	return ""
}
