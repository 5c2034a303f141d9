package instance

import (
	"context"
	"testing"
	"time"
)

// TestListAtRest counts who reads the platform's whole list while nothing happens.
func TestListAtRest(t *testing.T) {
	inWorld(t, 2, 1, 3, func(w *world) {
		w.up()
		const rest = 20 * time.Minute
		time.Sleep(rest)
		readers, most := 0, 0
		for _, s := range w.all() {
			n := w.doors[s.id].take()["instances"]
			if n > 1 {
				readers++
			}
			most = max(most, n)
		}
		t.Logf("%d instances read the list more than once in %s, at most %d times", readers, rest, most)
		if readers > 2 || most > 5 {
			t.Errorf("got %d readers and %d readings, want one in a domain, every 5 to 10 min", readers, most)
		}
	})
}

// TestListOfUnknownPlace reads the list less and less often while a place has
// no instance. Its first are found even though they were given nobody to join.
func TestListOfUnknownPlace(t *testing.T) {
	inWorld(t, 2, 1, 2, func(w *world) {
		for i := range w.seats {
			w.seats[i].join = nil
		}
		w.start(w.domain(0))
		w.within(30*time.Second, "documents", w.ready(w.domain(0)))
		time.Sleep(20 * time.Minute)
		calls := w.taken(w.domain(0))
		w.report("place without instances", w.domain(0), 20*time.Minute, calls)
		w.atMost(map[string]int{"instances": calls["instances"]}, map[string]float64{"instances": 12 * 2})
		w.start(w.domain(1))
		took := w.within(time.Minute, "all know each other", func() bool {
			for _, in := range w.running {
				if len(in.members.Members()) != len(w.all())-1 {
					return false
				}
			}
			return true
		})
		t.Logf("all know each other after %s", took)
	})
}

func TestListPlan(t *testing.T) {
	missing, former := doubt{"member a", listMissing, false}, doubt{"former b", listFormer, false}
	proved := doubt{"former b", listFormer, true}
	tests := map[string]struct {
		reads  int
		doubts []doubt
		now    []doubt
		want   time.Duration
	}{
		"start":                    {0, nil, nil, listFirst},
		"start in doubt":           {0, nil, []doubt{missing}, listMissing},
		"rest":                     {1, nil, nil, listRare},
		"doubt":                    {1, nil, []doubt{former}, listFormer},
		"doubt that stays":         {3, []doubt{former}, []doubt{former}, 8 * listFormer},
		"doubt that never ends":    {30, []doubt{missing}, []doubt{missing}, listRare},
		"new doubt beside an old":  {9, []doubt{former}, []doubt{former, missing}, listMissing},
		"doubt that the list ends": {9, []doubt{proved}, []doubt{proved}, listFormer},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := listPlan{first: listFirst, tries: make(map[string]int)}
			for range tt.reads {
				p.read(tt.doubts)
			}
			if got := p.wait(tt.now, listRare); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// TestRegistrations counts the first registrations of a domain that returns,
// and those at rest; a line stays in the list for half a minute.
func TestRegistrations(t *testing.T) {
	inWorld(t, 2, 1, 9, func(w *world) {
		w.up()
		const returns, early = 5, 1500 * time.Millisecond
		calls := make(map[string]int)
		for range returns {
			w.kill(w.domain(0))
			time.Sleep(time.Minute)
			w.taken(w.all())
			w.start(w.domain(0))
			time.Sleep(early)
			for call, n := range w.taken(w.domain(0)) {
				calls[call] += n
			}
		}
		w.report("returns of a domain", w.domain(0), returns*early, calls)
		if got, most := calls["register"], returns*len(w.domain(0))/2; got > most {
			t.Errorf("got %d registrations within %s of %d starts, want at most %d", got, early, returns*len(w.domain(0)), most)
		}
		time.Sleep(time.Minute)
		w.taken(w.all())
		const rest = 2 * time.Minute
		for range rest / time.Second {
			time.Sleep(time.Second)
			if list, _, err := w.kv.Instances(context.Background()); err != nil || len(list) != len(w.all()) {
				t.Fatalf("got %d in the list, %v, want all %d", len(list), err, len(w.all()))
			}
		}
		calls = w.taken(w.all())
		w.report("at rest", w.all(), rest, calls)
		w.atMost(map[string]int{"register": calls["register"]}, map[string]float64{"register": float64(len(w.all())) * (rest.Seconds()/24 + 1)})
	})
}
