package edge

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/emulator/store"
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

// Look-ups named an instance that had ended while the store was down for as long as its lease had left when
// the store was back.
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

// An instance that lives but could not be reached confirms its record, and is named again.
func TestUnreachableInstanceConfirmsItsRecord(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.configure(1, "s")
	r.start()
	other := r.startInstance("e2", "n1")
	r.eventually("each knows the other", func() bool {
		return len(r.node.instances.neighbors("e1")) == 1 && len(other.instances.neighbors("e2")) == 1
	})
	s := r.node.instances.neighbors("e1")[0]
	lease := r.leaseOf("e2")
	if marked, err := r.node.neighbors.markUnconfirmed(t.Context(), s); !marked || err != nil {
		t.Fatalf("got %t, %v, want the record marked", marked, err)
	}
	unconfirmed := func() bool { return r.node.instances.neighbors("e1")[0].record.Unconfirmed }
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
	if marked, err := r.node.neighbors.markUnconfirmed(t.Context(), s); marked || err != nil {
		t.Errorf("got %t, %v for a record that was confirmed since, want no mark", marked, err)
	}
}

// Each instance checks a few neighbors, whatever the size of the fleet, and takes none for ended if it
// may be cut off itself.
func TestNeighborChecks(t *testing.T) {
	timeout, refused := context.DeadlineExceeded, error(syscall.ECONNREFUSED)
	tests := map[string]struct {
		instances int
		fails     func(position int) error // connects to the neighbor at a position
		dials     int                      // in one round
		want      int                      // neighbors that are unreachable
	}{
		"all live":                 {985, func(int) error { return nil }, neighborCount, 0},
		"the next has ended":       {985, func(k int) error { return errorIf(k == 0, timeout) }, neighborCount + 1, 1},
		"every second has ended":   {985, func(k int) error { return errorIf(k%2 == 0, timeout) }, 2 * neighborCount, neighborCount},
		"many have ended":          {985, func(k int) error { return errorIf(k < 100, refused) }, maxNeighborChecks, maxNeighborChecks},
		"cut off from all":         {985, func(int) error { return timeout }, maxNeighborChecks, 0},
		"one neighbor, refused":    {2, func(int) error { return refused }, 1, 1},
		"one neighbor, no answer":  {2, func(int) error { return timeout }, 1, 1},
		"two neighbors, no answer": {3, func(int) error { return timeout }, 2, 0},
		"alone":                    {1, nil, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := newRig(t).newInstance("e0", "n1")
			for k := range tt.instances {
				n.instances.put(fmt.Sprint("e", k), record{Callers: fmt.Sprint("c", k), Peers: fmt.Sprint("p", k)})
			}
			position := make(map[string]int)
			for k, s := range n.instances.neighbors("e0") {
				position[s.record.Peers] = k
			}
			var mu sync.Mutex
			dials := 0
			n.neighbors.dial = func(_ context.Context, _, address string) (net.Conn, error) {
				mu.Lock()
				dials++
				mu.Unlock()
				near, _ := net.Pipe()
				return near, tt.fails(position[address])
			}
			o := newOutage(1)
			var got []unreachableNeighbor
			for range unreachableMisses {
				dials = 0
				got = n.neighbors.check(t.Context(), o)
			}
			if dials != tt.dials {
				t.Errorf("got %d connects, want %d", dials, tt.dials)
			}
			if len(got) != tt.want {
				t.Errorf("got %d unreachable, want %d", len(got), tt.want)
			}
			n.instances.setUnreachable(got)
			if list := n.instances.near("", "", "127.0.0.1", 2000); len(list) == 0 {
				t.Error("got an empty look-up")
			}
		})
	}
}

func errorIf(fails bool, err error) error {
	if fails {
		return err
	}
	return nil
}

// An instance that has ended is checked by several others, also if others have ended with it.
func TestNeighborsCheckEachOther(t *testing.T) {
	var known instances
	ended := make(map[string]bool)
	const count = 40
	for k := range count {
		name := fmt.Sprint("e", k)
		known.put(name, record{Callers: name, Peers: name})
		ended[name] = k%3 == 0
	}
	checked := make(map[string]int)
	for k := range count {
		self := fmt.Sprint("e", k)
		if ended[self] {
			continue
		}
		living := 0
		for _, s := range known.neighbors(self) {
			if living == neighborCount {
				break
			}
			if ended[s.name] {
				checked[s.name]++
				continue
			}
			living++
		}
	}
	for name, is := range ended {
		if is && checked[name] != neighborCount {
			t.Errorf("got %s checked by %d, want %d", name, checked[name], neighborCount)
		}
	}
}

// An outage in which all live costs the store nothing besides the renewals, and leaves nobody out.
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
	time.Sleep(3 * neighborInterval)
	for _, n := range nodes {
		n.neighbors.storeBack(boottime.Now())
	}
	time.Sleep(3 * neighborInterval)
	if got := r.store.Calls("/kv-txn"); got != writes {
		t.Errorf("got %d writes, want none", got-writes)
	}
	for _, n := range nodes {
		if got := n.instances.near("north", "n1", "127.0.0.1", 64); len(got) != len(nodes) {
			t.Errorf("got look-up %s, want all %d", strings.Join(got, " "), len(nodes))
		}
	}
}
