package instance

import (
	"context"
	"testing"
	"time"
)

// TestListSteadyState checks that in a steady state only one instance per domain reads the
// platform's whole list regularly.
func TestListSteadyState(t *testing.T) {
	runSimulation(t, 2, 1, 3, func(w *simulation) {
		w.startAll()
		const steady = 20 * time.Minute
		time.Sleep(steady)
		readers, most := 0, 0
		for _, s := range w.all() {
			n := w.stores[s.id].takeCalls()["instances"]
			if n > 1 {
				readers++
			}
			most = max(most, n)
		}
		t.Logf("%d instances read the list more than once in %s, at most %d times", readers, steady, most)
		if readers > 2 || most > 5 {
			t.Errorf("got %d readers and at most %d reads each, want one reader per domain, every 5 to 10 min", readers, most)
		}
	})
}

// TestListOfUnknownPlace checks that the list is read less and less often while a place has
// no instance, and that the place's first instances are found even if they have no seed
// addresses.
func TestListOfUnknownPlace(t *testing.T) {
	runSimulation(t, 2, 1, 2, func(w *simulation) {
		for i := range w.nodes {
			w.nodes[i].join = nil
		}
		w.start(w.domain(0))
		w.waitFor(30*time.Second, "documents", w.ready(w.domain(0)))
		time.Sleep(20 * time.Minute)
		calls := w.takeCalls(w.domain(0))
		w.report("place without instances", w.domain(0), 20*time.Minute, calls)
		w.checkAtMost(map[string]int{"instances": calls["instances"]}, map[string]float64{"instances": 12 * 2})
		w.start(w.domain(1))
		took := w.waitFor(time.Minute, "complete membership", func() bool {
			for _, in := range w.running {
				if len(in.members.Members()) != len(w.all())-1 {
					return false
				}
			}
			return true
		})
		t.Logf("complete membership everywhere after %s", took)
	})
}

func TestListPlan(t *testing.T) {
	missing, previous := listReason{"member a", listUnknownMember, false}, listReason{"former b", listPreviousMember, false}
	provable := listReason{"former b", listPreviousMember, true}
	tests := map[string]struct {
		reads   int
		reasons []listReason
		now     []listReason
		want    time.Duration
	}{
		"start":                    {0, nil, nil, listFirst},
		"start in doubt":           {0, nil, []listReason{missing}, listUnknownMember},
		"rest":                     {1, nil, nil, listMax},
		"doubt":                    {1, nil, []listReason{previous}, listPreviousMember},
		"doubt that stays":         {3, []listReason{previous}, []listReason{previous}, 8 * listPreviousMember},
		"doubt that never ends":    {30, []listReason{missing}, []listReason{missing}, listMax},
		"new doubt beside an old":  {9, []listReason{previous}, []listReason{previous, missing}, listUnknownMember},
		"doubt that the list ends": {9, []listReason{provable}, []listReason{provable}, listPreviousMember},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := listSchedule{first: listFirst, tries: make(map[string]int)}
			for range tt.reads {
				p.recordRead(tt.reasons)
			}
			if got := p.wait(tt.now, listMax); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// TestRegistrations checks that the instances of a domain that restarts don't all register
// at once, and that none drops out of the list in a steady state. An entry stays in the
// list for half a minute.
func TestRegistrations(t *testing.T) {
	runSimulation(t, 2, 1, 9, func(w *simulation) {
		w.startAll()
		const returns, early = 5, 1500 * time.Millisecond
		calls := make(map[string]int)
		for range returns {
			w.kill(w.domain(0))
			time.Sleep(time.Minute)
			w.takeCalls(w.all())
			w.start(w.domain(0))
			time.Sleep(early)
			for call, n := range w.takeCalls(w.domain(0)) {
				calls[call] += n
			}
		}
		w.report("returns of a domain", w.domain(0), returns*early, calls)
		if got, most := calls["register"], returns*len(w.domain(0))/2; got > most {
			t.Errorf("got %d registrations within %s of %d starts, want at most %d", got, early, returns*len(w.domain(0)), most)
		}
		time.Sleep(time.Minute)
		w.takeCalls(w.all())
		const steady = 2 * time.Minute
		for range steady / time.Second {
			time.Sleep(time.Second)
			if list, _, err := w.kv.Instances(context.Background()); err != nil || len(list) != len(w.all()) {
				t.Fatalf("got %d in the list, %v, want all %d", len(list), err, len(w.all()))
			}
		}
		calls = w.takeCalls(w.all())
		w.report("steady state", w.all(), steady, calls)
		w.checkAtMost(map[string]int{"register": calls["register"]}, map[string]float64{"register": float64(len(w.all())) * (steady.Seconds()/24 + 1)})
	})
}
