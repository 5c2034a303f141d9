package neighbor

import (
	"fmt"
	"testing"
	"time"
)

const lease = 4 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet returns instances with a record each.
func fleet(n int) []Instance {
	list := make([]Instance, 0, n)
	for k := range n {
		list = append(list, Instance{Name: fmt.Sprint("e", k), Record: Record{Run: 1, Change: 1}})
	}
	return list
}

// play plays a round in which the neighbor at a position of the ring gives a result, and returns the round.
func play(m *Monitor, ring []Instance, result func(position int) Result) *Round {
	r, position := m.Begin(ring), 0
	for batch := r.Next(); len(batch) > 0; batch = r.Next() {
		var results []Result
		for range batch {
			results = append(results, result(position))
			position++
		}
		r.Record(results)
	}
	return r
}

// Each instance checks a few neighbors, whatever the size of the fleet, and takes none for dead if it may be cut off.
func TestRound(t *testing.T) {
	when := func(dead bool, r Result) Result {
		if dead {
			return r
		}
		return Reached
	}
	tests := map[string]struct {
		instances int
		result    func(position int) Result
		checks    int // of a round
		want      int // unreachable instances
	}{
		"all alive":                {985, func(int) Result { return Reached }, liveNeighbors, 0},
		"the next is dead":         {985, func(k int) Result { return when(k == 0, NoAnswer) }, liveNeighbors + 1, 1},
		"every second is dead":     {985, func(k int) Result { return when(k%2 == 0, NoAnswer) }, 2 * liveNeighbors, liveNeighbors},
		"many are dead":            {985, func(k int) Result { return when(k < 100, Refused) }, maxChecks, maxChecks},
		"cut off from all":         {985, func(int) Result { return NoAnswer }, maxChecks, 0},
		"one neighbor, refused":    {2, func(int) Result { return Refused }, 1, 1},
		"one neighbor, no answer":  {2, func(int) Result { return NoAnswer }, 1, 1},
		"two neighbors, no answer": {3, func(int) Result { return NoAnswer }, 2, 0},
		"alone":                    {1, func(int) Result { return NoAnswer }, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := New(lease)
			m.StoreLost()
			ring := Ring(fleet(tt.instances), "e0")
			if got := play(m, ring, tt.result).Unreachable(); len(got) != 0 {
				t.Errorf("got %d unreachable after one round, want 0", len(got))
			}
			r := play(m, ring, tt.result)
			if r.checks != tt.checks {
				t.Errorf("got %d checks, want %d", r.checks, tt.checks)
			}
			if got := r.Unreachable(); len(got) != tt.want {
				t.Errorf("got %d unreachable, want %d", len(got), tt.want)
			}
		})
	}
}

// A dead instance is checked by several live ones, also if others are dead with it, and one of them ranks first.
func TestRing(t *testing.T) {
	all := fleet(40)
	dead := func(i Instance) bool { return i.Name[len(i.Name)-1]%3 == 0 }
	ranks := make(map[string][]int)
	for _, self := range all {
		if dead(self) {
			continue
		}
		m := New(lease)
		m.StoreLost()
		ring := Ring(all, self.Name)
		result := func(k int) Result {
			if dead(ring[k]) {
				return NoAnswer
			}
			return Reached
		}
		play(m, ring, result)
		for _, u := range play(m, ring, result).Unreachable() {
			ranks[u.Name] = append(ranks[u.Name], u.Rank)
		}
	}
	for _, i := range all {
		if !dead(i) {
			continue
		}
		seen := make(map[int]bool)
		for _, rank := range ranks[i.Name] {
			seen[rank] = true
		}
		if len(ranks[i.Name]) != liveNeighbors || len(seen) != liveNeighbors || !seen[0] {
			t.Errorf("%s: got ranks %v, want 0 to %d once each", i.Name, ranks[i.Name], liveNeighbors-1)
		}
	}
}

// Checks are due from the begin of an outage until the paused leases have ended, and marks only after it, by rank.
func TestDue(t *testing.T) {
	m := New(lease)
	list := []Unreachable{{Instance: Instance{Name: "e1"}, Rank: 0}, {Instance: Instance{Name: "e2"}, Rank: 1}}
	check := func(what string, now time.Time, due bool, marks int) {
		t.Helper()
		if got := m.Due(now); got != due {
			t.Errorf("%s: got due: %t, want %t", what, got, due)
		}
		if got := m.Marks(now, list); len(got) != marks {
			t.Errorf("%s: got %d marks, want %d", what, len(got), marks)
		}
	}
	check("before any outage", start, false, 0)
	m.StoreLost()
	check("during an outage", start.Add(time.Hour), true, 0)
	back := start.Add(2 * time.Hour)
	m.StoreBack(back)
	check("right after it", back, true, 1)
	check("a round later", back.Add(RoundInterval), true, 2)
	m.Settle("e1")
	check("once one is settled", back.Add(RoundInterval), true, 1)
	check("a lease later", back.Add(lease), false, 1)
	m.StoreLost()
	m.StoreBack(back.Add(time.Minute))
	check("after another outage", back.Add(time.Minute), true, 1)
}

// An owner that has written its record since is alive, whoever can't reach it, and its record isn't marked again.
func TestConfirmed(t *testing.T) {
	tests := map[string]struct {
		later Record
		want  int // unreachable instances
	}{
		"the same record":    {Record{Run: 1, Change: 1}, 1},
		"marked by another":  {Record{Run: 1, Unconfirmed: true}, 1},
		"written again":      {Record{Run: 1, Change: 2}, 0},
		"started once again": {Record{Run: 2, Change: 1}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := New(lease)
			m.StoreLost()
			ring := Ring(fleet(2), "e0")
			refused := func(int) Result { return Refused }
			play(m, ring, refused)
			ring[0].Record = tt.later
			got := play(m, ring, refused).Unreachable()
			if len(got) != tt.want {
				t.Errorf("got %d unreachable, want %d", len(got), tt.want)
			}
			m.StoreBack(start)
			if marks := m.Marks(start, got); tt.later.Unconfirmed && len(marks) != 0 {
				t.Errorf("got %d marks of a marked record, want 0", len(marks))
			}
		})
	}
}

// BenchmarkCapacityNeighborRing measures the ring of a round.
func BenchmarkCapacityNeighborRing(b *testing.B) {
	for _, n := range []int{10, 100, 985, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := fleet(n)
			for b.Loop() {
				if got := Ring(all, "e0"); len(got) != n-1 {
					b.Fatalf("got %d instances, want %d", len(got), n-1)
				}
			}
		})
	}
}
