package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/platform"
)

// registered reports whether the record of an instance is in the store.
func (r *rig) registered(name string) bool { return r.store.Get(instancePrefix+name) != nil }

// leaseOf returns the number of the lease under which an instance is registered.
func (r *rig) leaseOf(name string) uint64 {
	r.t.Helper()
	item, err := platform.NewStoreOver("stand-in", r.store).Get(context.Background(), instancePrefix+name)
	if err != nil {
		r.t.Fatal(err)
	}
	return item.Lease.Number()
}

// reassignLease lets another writer obtain the lease with a number that the store gives out again,
// and writes a key under it.
func (r *rig) reassignLease(number uint64, key string) {
	r.t.Helper()
	other := platform.NewStoreOver("stand-in", r.store)
	for {
		l, err := other.Grant(context.Background(), time.Minute)
		if err != nil || l.Number() > number {
			r.t.Fatalf("got lease %d, %v, want %d", l.Number(), err, number)
		}
		if l.Number() < number {
			continue
		}
		if _, err := other.Do(context.Background(), platform.Txn{Put: []platform.Write{{Key: key, Value: []byte("x"), Lease: l}}}); err != nil {
			r.t.Fatal(err)
		}
		return
	}
}

// An instance whose registration was lost by a restore of the store registers again before others
// take it for departed, also if its lease has been given to another writer. One whose registration
// was kept writes nothing.
func TestRegistrationLostByRestore(t *testing.T) {
	tests := map[string]struct {
		late  bool // the instance registers after the snapshot
		taken bool // its lease is given to another writer
	}{
		"kept":                        {false, false},
		"lost":                        {true, false},
		"lost, lease given out again": {true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.configure(1, "s")
			snapshot := r.store.TakeSnapshot()
			r.start()
			r.eventually("the first is registered", func() bool { return r.registered("e1") })
			if !tt.late {
				snapshot = r.store.TakeSnapshot()
			}
			second := r.startInstance("e2", "n1")
			r.eventually("each knows the other", func() bool {
				return len(r.node.instances.names()) == 2 && len(second.instances.names()) == 2
			})
			lease := r.leaseOf("e1")
			writes := r.store.Calls("/kv-txn") + r.store.Calls("/kv-lease")
			r.store.SetFaults(store.Faults{RateLimited: []string{"127.0.0.1"}}) // all instances
			time.Sleep(200 * time.Millisecond)
			r.store.RestoreSnapshot(snapshot)
			if tt.taken {
				r.reassignLease(lease, "another's")
			}
			r.store.SetFaults(store.Faults{})
			r.store.RedoExternalWrites()
			for begin := time.Now(); time.Since(begin) < 2*changeTimeout; time.Sleep(20 * time.Millisecond) {
				if len(r.node.instances.names()) != 2 || len(second.instances.names()) != 2 {
					t.Fatalf("got %v and %v known %s after the restore, want both", r.node.instances.names(), second.instances.names(), time.Since(begin))
				}
				if time.Since(begin) > changeTimeout && !r.registered("e1") {
					t.Fatalf("got no registration %s after the restore", time.Since(begin))
				}
			}
			if got := r.store.Calls("/kv-txn") + r.store.Calls("/kv-lease") - writes; !tt.late && got > 2 { // e2's
				t.Errorf("got %d writes, want those of the one that was lost", got)
			}
		})
	}
}

// A stopping instance removes only what it wrote, also if it has not observed that the store was
// restored from a snapshot.
func TestStopAfterRestore(t *testing.T) {
	r := newRig(t)
	r.configure(1, "s")
	snapshot := r.store.TakeSnapshot()
	n, err := New(Config{Log: log.New(io.Discard), Settings: platform.Settings{Instance: "e1", Domain: "n1", Regions: map[string]string{"n1": "north"}, Store: r.url}})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.registrar.renewOrRegister(t.Context()); err != nil {
		t.Fatal(err)
	}
	lease := r.leaseOf("e1")
	r.store.RestoreSnapshot(snapshot)
	r.reassignLease(lease, "another's")
	n.registrar.deregister(t.Context())
	if r.store.Get("another's") == nil {
		t.Error("got the key of another instance removed")
	}
}

// While targets warm up, their heartbeats reach no other instance than the relay.
func TestHeartbeatsOfColdTargets(t *testing.T) {
	r := newRig(t)
	r.configure(1, "s")
	r.start()
	follower := r.startInstance("e2", "n1")
	r.eventually("the follower is ready", follower.Ready)
	heartbeat := func(sequence int, left time.Duration) {
		r.store.Put(platform.TargetPrefix+"t1", fmt.Appendf(nil,
			`{"address":"127.0.0.1:1","info":{"service":"s","version":"v1","zone":"n1","capacity":4},"status":{"state":"ready","sequence":%d,"warmup_left":"%dms"}}`,
			sequence, left.Milliseconds()))
	}
	sequence := func(n *Node) uint64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		target, _ := n.fleet.Target("t1")
		return target.Sequence
	}
	begin := time.Now()
	heartbeat(1, time.Minute)
	r.eventually("both know the target", func() bool { return sequence(r.node) == 1 && sequence(follower) == 1 })
	for i := range 5 {
		heartbeat(2+i, time.Minute-time.Since(begin))
		time.Sleep(200 * time.Millisecond)
	}
	if a, b := sequence(r.node), sequence(follower); a != 1 || b != 1 {
		t.Errorf("got sequences %d and %d, want the heartbeats left out", a, b)
	}
	heartbeat(9, 0)
	r.eventually("both know that the target is warm", func() bool { return sequence(r.node) == 9 && sequence(follower) == 9 })
}

// A write of the record that the store executed late replaced the record under the lease that is
// renewed. It went with its own lease, and the instance, which went on renewing, was gone for all others.
func TestRecordReplacedByLateWrite(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.configure(1, "s")
	r.start()
	r.eventually("the instance is registered", func() bool { return r.registered("e1") })
	r.eventually("the record is known", func() bool { return len(r.node.instances.names()) == 1 })
	late, err := decodeRecord(r.store.Get(instancePrefix + "e1"))
	if err != nil {
		t.Fatal(err)
	}
	late.Change--
	value, err := json.Marshal(late)
	if err != nil {
		t.Fatal(err)
	}
	r.store.Put(instancePrefix+"e1", value)
	r.waitKnown()
	r.store.Remove(instancePrefix + "e1")
	r.eventually("the instance is registered again", func() bool { return r.registered("e1") })
}
