package placement

import (
	"testing"
	"time"
)

// send adds the same counts each second and returns the time after it.
func send(l *Ledger, now time.Time, seconds int, requests map[uint64]int) time.Time {
	for range seconds {
		now = now.Add(time.Second)
		s := ServiceCounts{Service: 1, Warm: 200 * time.Millisecond}
		for key, n := range requests {
			s.Counts = append(s.Counts, Count{Object{Key: key}, n})
		}
		l.Add(now, []ServiceCounts{s, {Service: 1}}) // the second instance has had no answer yet
		l.update(now)
	}
	return now
}

// read returns all levels after a sequence number in batches of a size, and the last number.
func read(l *Ledger, now time.Time, sequence uint64, most int) (map[uint64]uint8, uint64) {
	levels := make(map[uint64]uint8)
	for {
		b := l.Since(now, sequence, most)
		for _, load := range b.Loads {
			levels[load.Key] = load.Level
		}
		sequence = b.Last
		if b.End {
			return levels, sequence
		}
	}
}

// The work of an object is its requests a second times the duration of warm work, from the first
// seconds on. A steady rate is told once, a change again, and an end as level 0.
func TestLedger(t *testing.T) {
	l := NewLedger()
	now := send(l, start, 3, map[uint64]int{1: 20, 2: 5})
	levels, last := read(l, now, 0, 1)
	for key, want := range map[uint64]float64{1: 4, 2: 1} {
		if got := (Load{Level: levels[key]}).Work(); got < want/1.2 || got > want*1.2 {
			t.Errorf("object %d: got %.2f slots of work, want %.2f", key, got, want)
		}
	}
	now = send(l, now, 20, map[uint64]int{1: 20, 2: 5})
	if levels, _ = read(l, now, last, 10); len(levels) > 0 {
		t.Errorf("got %v of steady rates, want nothing", levels)
	}
	now = send(l, now, 20, map[uint64]int{1: 20, 2: 50})
	levels, last = read(l, now, last, 10)
	if got := (Load{Level: levels[2]}).Work(); len(levels) != 1 || got < 7 || got > 13 {
		t.Errorf("got %v with %.1f slots, want object 2 alone with about 10", levels, got)
	}
	now = send(l, now, 60, map[uint64]int{1: 20})
	if levels, _ = read(l, now, last, 10); len(levels) != 1 || levels[2] != 0 {
		t.Errorf("got %v, want object 2 at level 0", levels)
	}
}

// Levels change all the time. The list of changes stays short, and who has missed a part gets all.
func TestLedgerCompacts(t *testing.T) {
	l, now := NewLedger(), start
	for i := range 400 {
		requests := make(map[uint64]int)
		for key := range uint64(20) {
			requests[key] = 1 + 300*((i/8+int(key))%2)
		}
		now = send(l, now, 1, requests)
	}
	if got := len(l.changes); got > 2*20+1024 {
		t.Errorf("got %d changes kept, want 1064 at most", got)
	}
	b := l.Since(now, 1, 100)
	if levels, _ := read(l, now, 1, 7); !b.First || len(levels) != 20 {
		t.Errorf("got %v, first %t, want all 20 objects from the first", levels, b.First)
	}
}

// Another instance collects for a while. What was counted before is not told any more.
func TestLedgerGap(t *testing.T) {
	l := NewLedger()
	now := send(l, start, 5, map[uint64]int{1: 20})
	_, last := read(l, now, 0, 10)
	now = send(l, now.Add(time.Minute), 3, map[uint64]int{2: 5})
	if levels, _ := read(l, now, last, 10); len(levels) != 1 || levels[2] == 0 {
		t.Errorf("got %v, want object 2 alone", levels)
	}
}
