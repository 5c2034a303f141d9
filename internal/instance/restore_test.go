package instance

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/store"
)

// restore makes the platform's store unreachable for some seconds and then restores it from
// a snapshot.
func (w *simulation) restore(snapshot *store.Snapshot) {
	const outage = 3 * time.Second
	w.kv.SetFaults(store.Faults{Refuse: true, Until: time.Now().Add(outage)})
	time.Sleep(outage - time.Millisecond)
	w.kv.RestoreSnapshot(snapshot)
	time.Sleep(time.Millisecond)
}

// inForce returns a condition that holds if a version of a document is in force at all
// instances.
func (w *simulation) inForce(path string, version uint64) func() bool {
	return func() bool {
		return !slices.ContainsFunc(w.all(), func(s nodeConfig) bool {
			in := w.running[s.id]
			return in != nil && in.snapshot().Version(path) != version
		})
	}
}

// TestDocumentsLostByRestore checks that documents lost in a restore of the store are
// written again at their versions, that what was in force stays in force, and that later
// changes continue from there.
func TestDocumentsLostByRestore(t *testing.T) {
	runSimulation(t, 2, 1, 4, func(w *simulation) {
		w.startAll()
		const place, drain = "/places/d0-p0", "/drains/x"
		snapshot := w.kv.TakeSnapshot()
		w.put(place, 1, "region: r0\ndomain: d0\nlimit: 50\n")
		w.put(place, 2, "region: r0\ndomain: d0\nlimit: 60\n")
		w.put(drain, 0, "place: d1-p0\nreason: works\n")
		w.waitFor(5*time.Second, "changes in force", func() bool { return w.inForce(place, 3)() && w.inForce(drain, 1)() })
		w.takeCalls(w.all())
		w.checked[0], w.checked[1] = w.storeCalls()
		w.restore(snapshot)
		took := w.waitFor(10*time.Second, "documents written again", func() bool {
			one, err := w.kv.Get(context.Background(), place)
			two, fault := w.kv.Get(context.Background(), drain)
			return err == nil && fault == nil && one.Version == 3 && two.Version == 1
		})
		t.Logf("written again after %s", took)
		if !w.inForce(place, 3)() || !w.inForce(drain, 1)() {
			t.Error("got an older version in force after the restore")
		}
		w.put(place, 3, "region: r0\ndomain: d0\nlimit: 55\n")
		w.waitFor(10*time.Second, "the next change in force", w.inForce(place, 4))
		time.Sleep(reregisterJitter)
		calls := w.takeCalls(w.all())
		w.report("after a restore", w.all(), reregisterJitter, calls)
		n, watching := float64(len(w.all())), 2.0*watchers
		delete(calls, "watch") // includes the retries during the outage
		w.checkAtMost(calls, map[string]float64{"restore": 3 * watching, "register": 2 * n, "get": 3 * n, "instances": n, "list": 0})
		// Two documents, in the worst case written by each of the watchers at once, and the
		// change made by this test.
		if writes, _ := w.storeCalls(); writes-w.checked[0] > int(2*watching)+1 {
			t.Errorf("got %d writes after a restore, want %v at most", writes-w.checked[0], 2*watching+1)
		}
	})
}

// TestChangeAfterRestore checks that a change by an operator during the recovery is either
// based on the version that was confirmed before the restore, or refused.
func TestChangeAfterRestore(t *testing.T) {
	runSimulation(t, 1, 1, 3, func(w *simulation) {
		w.startAll()
		const place = "/places/d0-p0"
		snapshot := w.kv.TakeSnapshot()
		w.put(place, 1, "region: r0\ndomain: d0\nlimit: 50\n")
		w.waitFor(5*time.Second, "the change in force", w.inForce(place, 2))
		w.kv.RestoreSnapshot(snapshot)
		for _, s := range w.all() {
			in := w.running[s.id]
			e, err := in.operatorStore().Get(context.Background(), place)
			if err == nil && e.Version != 2 {
				t.Errorf("%s: got version %d read by an operator, want 2", s.id, e.Version)
			}
			list, _, err := in.operatorStore().List(context.Background(), "/places/")
			if i := slices.IndexFunc(list, func(e docstore.Entry) bool { return e.Path == place }); err == nil && list[i].Version != 2 {
				t.Errorf("%s: got version %d listed for an operator, want 2", s.id, list[i].Version)
			}
			_, err = docstore.PutDocument(context.Background(), in.operatorStore(), place, 1, []byte("region: r0\ndomain: d0\nlimit: 40\n"), "late-"+s.id)
			if err == nil {
				t.Errorf("%s: got a change over version 1 accepted, which 2 had replaced", s.id)
			}
		}
		w.waitFor(20*time.Second, "a change over version 2", func() bool {
			_, err := docstore.PutDocument(context.Background(), w.running[w.nodes[0].id].operatorStore(), place, 2, []byte("region: r0\ndomain: d0\nlimit: 45\n"), "next")
			return err == nil
		})
		w.waitFor(10*time.Second, "it in force", w.inForce(place, 3))
	})
}

// TestRosterLostByRestore checks that a roster lost in a restore is written again, so that
// instances join and leave as before.
func TestRosterLostByRestore(t *testing.T) {
	runSimulation(t, 1, 1, 4, func(w *simulation) {
		w.startAll()
		snapshot := w.kv.TakeSnapshot()
		first, last := w.nodes[:1], w.nodes[3:]
		w.kill(first)
		w.start(first)
		w.waitFor(time.Minute, "a restart in the roster", w.rostersCurrent(w.all()))
		w.kill(last)
		time.Sleep(20 * time.Second)
		version := w.running[w.nodes[1].id].roster().Version
		w.takeCalls(w.all())
		w.restore(snapshot)
		took := w.waitFor(15*time.Second, "the roster written again", func() bool {
			e, err := w.kv.Get(context.Background(), rosterRoot+"d0-p0")
			return err == nil && e.Version >= version
		})
		t.Logf("written again after %s", took)
		w.checkAtMost(map[string]int{"restore": w.takeCalls(w.all())["restore"]}, map[string]float64{"restore": 3})
		w.start(last)
		w.waitFor(2*time.Minute, "rosters current", w.rostersCurrent(w.all()))
		w.waitFor(time.Minute, "targets", w.fullyUsable(w.all()))
	})
}

// TestStartAfterRestore checks that an instance that starts during the recovery of the
// roster does not use slots of a target that another instance owns.
func TestStartAfterRestore(t *testing.T) {
	runSimulation(t, 1, 1, 4, func(w *simulation) {
		w.startAll()
		last := w.nodes[3:]
		w.kill(last)
		time.Sleep(20 * time.Second)
		snapshot := w.kv.TakeSnapshot()
		w.start(last)
		w.waitFor(time.Minute, "all in the roster", w.rostersCurrent(w.all()))
		w.kill(w.nodes[2:3])
		w.kv.RestoreSnapshot(snapshot)
		w.start(w.nodes[2:3])
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			if got, most := w.usableSlots(w.all()), w.limit(w.all()); got > most {
				t.Fatalf("got %d slots usable, want %d at most", got, most)
			}
		}
		w.waitFor(2*time.Minute, "rosters current", w.rostersCurrent(w.all()))
		w.waitFor(time.Minute, "targets", w.fullyUsable(w.all()))
	})
}

// TestListAfterRestore checks that an instance whose entry in the list was lost in a
// restore is listed again. Until then the list proves no end of an instance.
func TestListAfterRestore(t *testing.T) {
	runSimulation(t, 1, 1, 3, func(w *simulation) {
		w.startAll()
		snapshot := w.kv.TakeSnapshot()
		late := w.nodes[2:]
		w.kill(late)
		w.start(late)
		w.waitFor(time.Minute, "all in the roster", w.rostersCurrent(w.all()))
		w.waitFor(time.Minute, "the list names the restart", func() bool { return w.listed(late[0].id) == w.running[late[0].id].incarnation })
		w.restore(snapshot)
		took := w.waitFor(30*time.Second, "the list names it again", func() bool { return w.listed(late[0].id) == w.running[late[0].id].incarnation })
		t.Logf("listed again after %s", took)
	})
}

// listed returns the incarnation of an instance in the platform's list, 0 if it is not
// listed.
func (w *simulation) listed(id string) uint64 {
	list, _, err := w.kv.Instances(context.Background())
	var busy *docstore.BusyError
	if err != nil && !errors.As(err, &busy) {
		w.t.Fatal(err)
	}
	for _, in := range list {
		if in.ID == id {
			return in.Incarnation
		}
	}
	return 0
}
