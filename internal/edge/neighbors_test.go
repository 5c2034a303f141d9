package edge

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/neighbor"
)

// losePower ends a node without a planned stop.
func losePower(n *Node) {
	n.stopping.Store(true)
	n.cancel()
	n.callerListener.Close()
	n.handOffLn.Close()
	for _, server := range n.webServers {
		server.Close()
	}
}

// awaitRenewal waits until an instance has renewed its lease.
func (r *rig) awaitRenewal(name string, lease time.Duration) {
	r.t.Helper()
	path := fmt.Sprint("/kv-keep/", r.leaseOf(name))
	before := r.store.Calls(path)
	for end := time.Now().Add(lease); r.store.Calls(path) == before; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%s has not renewed its lease within %s", name, lease)
		}
	}
}

// Look-ups named an instance that died in an outage of the store until its paused lease had ended after it.
func TestDeadInstanceInLookupsAfterOutage(t *testing.T) {
	t.Parallel()
	const outage, bound = 6 * time.Second, 3 * time.Second
	r := newRig(t)
	r.configure(1, "s")
	nodes := make(map[string]*Node)
	names := []string{"e1", "e2", "e3", "e4"}
	for _, name := range names {
		nodes[name] = r.startInstance(name, "n1")
	}
	for name, n := range nodes {
		r.eventually(name+" knows the others", func() bool { return n.Ready() && len(n.instances.names()) == len(names) })
	}
	dead := nodes["e1"]
	delete(nodes, "e1")
	named := func(n *Node, of *Node) bool {
		return slices.Contains(n.instances.near("north", "n1", "127.0.0.1", 64), of.cfg.Settings.Callers)
	}
	r.awaitRenewal("e1", dead.cfg.leaseDuration())
	losePower(dead)
	r.store.SetFaults(store.Faults{Silent: true, PauseLeases: true})
	time.Sleep(outage)
	r.store.SetFaults(store.Faults{})
	back := time.Now()
	time.Sleep(time.Until(back.Add(bound)))
	for name, n := range nodes {
		if named(n, dead) {
			t.Errorf("%s: got the instance named %s after the store was back, want it left out", name, time.Since(back))
		}
		for other, m := range nodes {
			if !named(n, m) {
				t.Errorf("%s: got %s left out, want it named", name, other)
			}
		}
	}
}

// A live instance that could not be reached confirms its record, and is named again.
func TestUnreachableInstanceConfirmsItsRecord(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.configure(1, "s")
	r.start()
	other := r.startInstance("e2", "n1")
	r.eventually("each knows the other", func() bool {
		return len(r.node.instances.peers()) == 2 && len(other.instances.peers()) == 2
	})
	known := r.node.instances.peers()["e2"]
	lease := r.leaseOf("e2")
	if marked, err := r.node.neighbors.mark(t.Context(), "e2", known); !marked || err != nil {
		t.Fatalf("got %t, %v, want the record marked", marked, err)
	}
	unconfirmed := func() bool { return r.node.instances.peers()["e2"].Unconfirmed }
	if got := r.leaseOf("e2"); got != lease {
		t.Errorf("got lease %d of the marked record, want %d", got, lease)
	}
	r.eventually("the mark is known", unconfirmed)
	if got := r.node.instances.near("north", "n1", "127.0.0.1", 64); len(got) != 1 {
		t.Errorf("got look-up %v, want the other instance left out", got)
	}
	r.eventually("the record is confirmed", func() bool { return !unconfirmed() })
	if got := r.node.instances.near("north", "n1", "127.0.0.1", 64); len(got) != 2 {
		t.Errorf("got look-up %v, want both instances", got)
	}
	if marked, err := r.node.neighbors.mark(t.Context(), "e2", known); marked || err != nil {
		t.Errorf("got %t, %v for a record that was confirmed since, want no mark", marked, err)
	}
}

// An outage in which no instance dies costs the store no write, and leaves nobody out of look-ups.
func TestNoMarksWhileAllLive(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.configure(1, "s")
	nodes := []*Node{}
	for _, name := range []string{"e1", "e2", "e3"} {
		nodes = append(nodes, r.startInstance(name, "n1"))
	}
	for _, n := range nodes {
		r.eventually("all are known", func() bool { return len(n.instances.names()) == len(nodes) })
	}
	writes := r.store.Calls("/kv-txn")
	for _, n := range nodes {
		n.neighbors.storeLost()
	}
	time.Sleep(3 * neighbor.RoundInterval)
	for _, n := range nodes {
		n.neighbors.storeBack()
	}
	time.Sleep(3 * neighbor.RoundInterval)
	if got := r.store.Calls("/kv-txn"); got != writes {
		t.Errorf("got %d writes, want none", got-writes)
	}
	for _, n := range nodes {
		if got := n.instances.near("north", "n1", "127.0.0.1", 64); len(got) != len(nodes) {
			t.Errorf("got look-up %s, want all %d", strings.Join(got, " "), len(nodes))
		}
	}
}

// Look-ups pass over instances that are unreachable or unconfirmed, and name all if no others are left.
func TestLookupsPassOverUnreachable(t *testing.T) {
	tests := map[string]struct{ unreachable, unconfirmed, want string }{
		"all are reached":   {"", "", "e1 e2 e3"},
		"one unreachable":   {"e1", "", "e2 e3"},
		"one unconfirmed":   {"", "e2", "e1 e3"},
		"one of each":       {"e1", "e2", "e3"},
		"all unreachable":   {"e1 e2 e3", "", "e1 e2 e3"},
		"all unconfirmed":   {"", "e1 e2 e3", "e1 e2 e3"},
		"none without mark": {"e3", "e1 e2", "e1 e2 e3"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var known instances
			var list []neighbor.Unreachable
			for _, name := range []string{"e1", "e2", "e3"} {
				r := record{Callers: name, Peers: name, Region: "north", Unconfirmed: strings.Contains(tt.unconfirmed, name)}
				known.put(name, r)
				if strings.Contains(tt.unreachable, name) {
					list = append(list, neighbor.Unreachable{Instance: neighbor.Instance{Name: name, Record: r.neighborRecord()}})
				}
			}
			known.setUnreachable(list)
			got := known.near("north", "n1", "127.0.0.1", 64)
			slices.Sort(got)
			if got := strings.Join(got, " "); got != tt.want {
				t.Errorf("got look-up %q, want %q", got, tt.want)
			}
		})
	}
}
