package instance

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/pkg/settings"
)

// TestStartOfAll checks that only the domains' watchers read all documents from the
// platform when no instance has them yet.
func TestStartOfAll(t *testing.T) {
	runSimulation(t, 2, 2, 4, func(w *simulation) {
		w.start(w.all())
		t.Logf("documents everywhere after %s", w.waitFor(30*time.Second, "documents", w.ready(w.all())))
		t.Logf("targets usable after %s more", w.waitFor(30*time.Second, "targets", w.fullyUsable(w.all())))
		calls := w.takeCalls(w.all())
		w.report("start of all", w.all(), 10*time.Second, calls)
		w.checkAtMost(map[string]int{"list": calls["list"]}, map[string]float64{"list": 2 * watchers})
	})
}

// TestStartOfDomain restarts all instances of a domain at once. They must get the documents
// from peers in other domains.
func TestStartOfDomain(t *testing.T) {
	runSimulation(t, 2, 2, 4, func(w *simulation) {
		w.startAll()
		w.kill(w.domain(0))
		start := time.Now()
		w.start(w.domain(0))
		t.Logf("documents after %s", w.waitFor(10*time.Second, "documents", w.ready(w.domain(0))))
		t.Logf("at once, usable %d of %d", w.usableSlots(w.domain(0)), w.limit(w.domain(0)))
		w.waitFor(time.Minute, "targets", w.fullyUsable(w.domain(0)))
		t.Logf("all targets usable after %s", time.Since(start))
		w.waitFor(time.Minute, "rosters without previous members", w.rostersCurrent(w.domain(0)))
		t.Logf("rosters current after %s", time.Since(start))
		calls := w.takeCalls(w.domain(0))
		w.report("start of a domain", w.domain(0), time.Since(start), calls)
		if calls["list"] > 0 {
			t.Errorf("got %d lists, want none: peers in other domains have all documents", calls["list"])
		}
	})
}

// TestStartInOutage starts a domain while the platform is unreachable.
func TestStartInOutage(t *testing.T) {
	runSimulation(t, 2, 1, 3, func(w *simulation) {
		w.startAll()
		w.kill(w.domain(0))
		w.kv.SetFaults(store.Faults{Refuse: true, Until: time.Now().Add(time.Hour)})
		w.start(w.domain(0))
		t.Logf("documents after %s", w.waitFor(5*time.Second, "documents", w.ready(w.domain(0))))
	})
}

// TestStartWithoutCompletePeers starts all instances while the platform is unreachable:
// those that have just started must not take each other's documents for complete.
func TestStartWithoutCompletePeers(t *testing.T) {
	runSimulation(t, 1, 1, 3, func(w *simulation) {
		w.kv.SetFaults(store.Faults{Refuse: true, Until: time.Now().Add(time.Minute)})
		w.start(w.all())
		one := w.running[w.nodes[0].id]
		one.applyDocuments([]settings.Document{{Path: "/places/d0-p0", Version: 1, Body: []byte("region: r0\ndomain: d0\nlimit: 60\n")}})
		time.Sleep(30 * time.Second)
		for id, in := range w.running {
			if in.ready() == nil {
				t.Errorf("%s serves without all documents", id)
			}
		}
		w.waitFor(90*time.Second, "documents", w.ready(w.all()))
	})
}

// TestOutage bounds the calls of all instances while the platform is unreachable for a
// minute and in the first 10 s afterwards.
func TestOutage(t *testing.T) {
	runSimulation(t, 2, 1, 4, func(w *simulation) {
		w.startAll()
		const steady = 2 * time.Minute
		time.Sleep(steady)
		w.checkRate("steady state", w.all(), steady, w.takeCalls(w.all()))
		w.kv.SetFaults(store.Faults{Refuse: true, Until: time.Now().Add(time.Minute)})
		time.Sleep(time.Minute)
		w.checkRate("in an outage", w.all(), time.Minute, w.takeCalls(w.all()))
		if got, want := w.usableSlots(w.all()), w.limit(w.all()); got != want {
			t.Errorf("got %d slots usable in an outage, want all %d", got, want)
		}
		w.put("/drains/x", 0, "place: d0-p0\nreason: works\n")
		took := w.waitFor(20*time.Second, "change in force", func() bool {
			return !slices.ContainsFunc(w.all(), func(s nodeConfig) bool { return w.running[s.id].snapshot().Version("/drains/x") != 1 })
		})
		t.Logf("change after the outage in force everywhere after %s", took)
		time.Sleep(10*time.Second - took)
		calls := w.takeCalls(w.all())
		w.report("first 10 s after", w.all(), 10*time.Second, calls)
		n, watching := float64(len(w.all())), 2.0*watchers
		w.checkAtMost(calls, map[string]float64{"register": n, "get": 2 * n, "instances": n, "watch": 4 * watching})
		w.waitFor(time.Minute, "rosters", w.rostersCurrent(w.all()))
	})
}

// TestReplaceInTurn restarts every instance of a domain, one after the other. At least half
// of the other instances' slots must stay usable.
func TestReplaceInTurn(t *testing.T) {
	runSimulation(t, 2, 1, 4, func(w *simulation) {
		w.startAll()
		least := w.limit(w.domain(0))
		for _, s := range w.domain(0) {
			others := w.limit(w.domain(0)) - w.usableSlots([]nodeConfig{s})
			w.kill([]nodeConfig{s})
			w.start([]nodeConfig{s})
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				got := w.usableSlots(w.domain(0))
				least = min(least, got)
				if got < others/2 {
					t.Errorf("got %d slots usable while %s is replaced, want at least half of the others' %d", got, s.id, others)
				}
			}
		}
		t.Logf("least usable: %d of %d", least, w.limit(w.domain(0)))
		t.Logf("all targets usable after %s more", w.waitFor(time.Minute, "targets", w.fullyUsable(w.domain(0))))
		t.Logf("rosters current after %s more", w.waitFor(time.Minute, "rosters", w.rostersCurrent(w.domain(0))))
		if calls := w.takeCalls(w.domain(0)); calls["list"] > 0 {
			t.Errorf("got %d lists, want none", calls["list"])
		}
	})
}

// TestRegionBack partitions a region from everything else for a minute.
func TestRegionBack(t *testing.T) {
	runSimulation(t, 2, 1, 3, func(w *simulation) {
		w.startAll()
		w.net.setBlocked(func(from, to string) bool { return domainOf(from) != domainOf(to) })
		for _, s := range w.domain(0) {
			w.stores[s.id].setUnreachable(true)
		}
		time.Sleep(30 * time.Second)
		w.put("/drains/x", 0, "place: d1-p0\nreason: works\n")
		time.Sleep(30 * time.Second)
		t.Logf("usable while partitioned: %d of %d", w.usableSlots(w.domain(0)), w.limit(w.domain(0)))
		w.net.setBlocked(nil)
		for _, s := range w.domain(0) {
			w.stores[s.id].setUnreachable(false)
		}
		w.takeCalls(w.all())
		took := w.waitFor(30*time.Second, "change in force", func() bool {
			return !slices.ContainsFunc(w.all(), func(s nodeConfig) bool { return w.running[s.id].snapshot().Version("/drains/x") != 1 })
		})
		t.Logf("documents after %s", took)
		t.Logf("targets usable after %s more", w.waitFor(time.Minute, "targets", w.fullyUsable(w.domain(0))))
		w.waitFor(time.Minute, "rosters", w.rostersCurrent(w.all()))
		w.report("region reconnected", w.domain(0), took, w.takeCalls(w.domain(0)))
	})
}

// TestDrainInstance drains an instance by a document and then deletes the document.
func TestDrainInstance(t *testing.T) {
	runSimulation(t, 1, 1, 3, func(w *simulation) {
		w.startAll()
		s := w.nodes[0]
		w.put("/drains/x", 0, "instance: "+s.id+"\nreason: works\n")
		t.Logf("targets handed over after %s", w.waitFor(3*time.Second, "targets with the other instances", func() bool {
			return w.usableSlots([]nodeConfig{s}) == 0 && w.fullyUsable(w.all())()
		}))
		w.waitFor(3*time.Second, "out of look-ups", func() bool { return !w.inLookups(s) })
		drains := w.running[s.id].operatorStatus().Drains
		if len(drains) != 1 || drains[0].Remaining != 0 || drains[0].Instance != s.id {
			t.Errorf("got drains %+v, want nothing left at %s", drains, s.id)
		}
		if _, err := docstore.DeleteDocument(context.Background(), w.kv, "/drains/x", 1, "undo"); err != nil {
			t.Fatal(err)
		}
		t.Logf("back after %s", w.waitFor(10*time.Second, "targets back", func() bool {
			return w.usableSlots([]nodeConfig{s}) > 0 && w.fullyUsable(w.all())() && w.inLookups(s)
		}))
		w.waitFor(10*time.Second, "roster", w.rostersCurrent(w.all()))
	})
}

// TestStopLingers checks how long a stopping instance lingers: until the look-ups that name
// it have expired, and no longer if there are none.
func TestStopLingers(t *testing.T) {
	tests := map[string]struct {
		askedNode int           // index of the node that answers a look-up, -1 for none
		stale     time.Duration // time between the look-up and the stop; negative blocks the node's network
		atLeast   time.Duration
		atMost    time.Duration
	}{
		"nobody asked":       {-1, 0, 0, time.Second},
		"asked itself":       {0, time.Second, 4 * time.Second, 5 * time.Second},
		"asked a peer":       {1, time.Second, 4 * time.Second, 5 * time.Second},
		"asked a far peer":   {3, time.Second, 4 * time.Second, 5 * time.Second},
		"asked long ago":     {1, 10 * time.Second, 0, time.Second},
		"asked, and cut off": {1, -1, 6 * time.Second, 7 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 2, 1, 3, func(w *simulation) {
				w.startAll()
				s := w.nodes[0]
				for range 50 {
					if tt.askedNode >= 0 {
						w.running[w.nodes[tt.askedNode].id].dispatcher.Lookup(settings.ServiceID{Team: "shop", Name: "orders"}, netip.MustParseAddr("10.0.0.1"), 1)
					}
				}
				if tt.stale < 0 {
					w.net.setBlocked(func(from, to string) bool { return (from == s.ip) != (to == s.ip) })
				}
				time.Sleep(max(tt.stale, 0))
				began := time.Now()
				if err := w.running[s.id].Stop(context.Background()); err != nil {
					t.Error(err)
				}
				delete(w.running, s.id)
				took := time.Since(began)
				t.Logf("stopped after %s", took)
				if took < tt.atLeast || took > tt.atMost {
					t.Errorf("got %s, want %s to %s", took, tt.atLeast, tt.atMost)
				}
			})
		})
	}
}

// inLookups reports whether a look-up at any instance names the node's instance.
func (w *simulation) inLookups(s nodeConfig) bool {
	for _, in := range w.running {
		l, err := in.dispatcher.Lookup(settings.ServiceID{Team: "shop", Name: "orders"}, netip.Addr{}, 0)
		if err != nil {
			w.t.Fatal(err)
		}
		for _, p := range l.Instances {
			if p.ID == s.id {
				return true
			}
		}
	}
	return false
}
