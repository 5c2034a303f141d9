package queue

import (
	"slices"
	"testing"
	"time"

	"github.com/firlever/firlever/pkg/settings"
	"pgregory.net/rapid"
)

var (
	start = time.UnixMilli(1_800_000_000_000).UTC()
	a1    = settings.ServiceID{Team: "a", Name: "1"}
	a2    = settings.ServiceID{Team: "a", Name: "2"}
	b1    = settings.ServiceID{Team: "b", Name: "1"}
)

func always(settings.ServiceID, Placement) bool { return true }

func TestPopOrder(t *testing.T) {
	all := func(settings.ServiceID, Placement) bool { return true }
	tests := map[string]struct {
		items []Item
		can   CanStart
		want  []uint64
	}{
		"first in first out": {[]Item{{Service: a1}, {Service: a1, Placement: Placement{Shifted: true}}, {Service: a1}}, all, []uint64{1, 2, 3}},
		"interactive first":  {[]Item{{Service: a1, Bulk: true}, {Service: a1}, {Service: b1}}, all, []uint64{2, 3, 1}},
		"bulk is one in 3": {
			[]Item{{Service: a1, Bulk: true}, {Service: a1}, {Service: a1}, {Service: a1}, {Service: a1}},
			all,
			[]uint64{2, 3, 1, 4, 5},
		},
		"shares of 2 to 1": {
			[]Item{{Service: b1}, {Service: b1}, {Service: a1}, {Service: a1}, {Service: a2}, {Service: a1}},
			all,
			[]uint64{1, 3, 5, 2, 4, 6},
		},
		"blocked service": {
			[]Item{{Service: a1}, {Service: a1}, {Service: a2}, {Service: b1}},
			func(s settings.ServiceID, _ Placement) bool { return s != a1 },
			[]uint64{3, 4},
		},
		"blocked shift": {
			[]Item{{Service: a1, Placement: Placement{Shifted: true}}, {Service: a1}},
			func(_ settings.ServiceID, way Placement) bool { return !way.Shifted },
			[]uint64{2},
		},
		"expired": {[]Item{{Service: a1, Deadline: start.Add(time.Second)}, {Service: a1}}, all, []uint64{2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := Defaults()
			cfg.BulkEvery = 3
			q := New(cfg)
			q.SetShare("a", 200)
			q.SetShare("b", 100)
			for i, it := range tt.items {
				it.ID = uint64(i + 1)
				if it.Deadline.IsZero() {
					it.Deadline = start.Add(time.Minute)
				}
				q.Push(start, it)
			}
			var got []uint64
			for it, ok := q.Pop(start.Add(time.Second), tt.can); ok; it, ok = q.Pop(start.Add(time.Second), tt.can) {
				got = append(got, it.ID)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// busyQueue completes ten requests per second, of 100 ms each, while n wait.
func busyQueue(n int) (*Queue, time.Time) {
	cfg := Defaults()
	cfg.Length = 20
	q := New(cfg)
	for i := range n {
		q.Push(start, Item{ID: uint64(i + 1), Service: a1, Deadline: start.Add(time.Hour)})
	}
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		q.Completed(now, a1, 100*time.Millisecond)
	}
	return q, now
}

func TestPushVerdicts(t *testing.T) {
	tests := map[string]struct {
		waiting int
		id      uint64
		budget  time.Duration
		want    VerdictKind
		retry   time.Duration // at least
	}{
		"in time":          {10, 100, 1500 * time.Millisecond, VerdictQueued, 0},
		"late":             {10, 100, 500 * time.Millisecond, VerdictLate, 500 * time.Millisecond},
		"none before it":   {0, 100, time.Millisecond, VerdictQueued, 0},
		"full":             {20, 100, time.Hour, VerdictFull, 900 * time.Millisecond},
		"deadline passed":  {0, 100, 0, VerdictExpired, 0},
		"same ID waits":    {10, 3, time.Hour, VerdictDuplicate, 0},
		"no time to run":   {10, 100, 1020 * time.Millisecond, VerdictLate, 20 * time.Millisecond},
		"hopeless and far": {20, 100, 20 * time.Millisecond, VerdictFull, 900 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q, now := busyQueue(tt.waiting)
			got := q.Push(now, Item{ID: tt.id, Service: a1, Deadline: now.Add(tt.budget)})
			if got.Kind != tt.want {
				t.Fatalf("got %v, want %v", got.Kind, tt.want)
			}
			if tt.retry > 0 && got.RetryAt.Sub(now) < tt.retry {
				t.Errorf("got a retry after %v, want at least %v", got.RetryAt.Sub(now), tt.retry)
			}
		})
	}
}

func TestCancelledIsNotExpired(t *testing.T) {
	q, now := busyQueue(1)
	late := now.Add(time.Hour)
	q.Push(late, Item{ID: 100, Service: a1, Deadline: late.Add(time.Hour)}) // expires the first item
	if q.Cancel(late, 1) {
		t.Error("got true for an expired item, want false")
	}
	if got := q.Expire(late); len(got) != 0 {
		t.Errorf("got %v expired, want none: it was cancelled", got)
	}
}

func TestRetryAtSpreadsReturns(t *testing.T) {
	q, now := busyQueue(20)
	first := q.Push(now, Item{ID: 100, Service: a1, Deadline: now.Add(time.Hour)}).RetryAt
	second := q.Push(now, Item{ID: 100, Service: a1, Deadline: now.Add(time.Hour)}).RetryAt
	if got := second.Sub(first); got < 90*time.Millisecond || got > 110*time.Millisecond {
		t.Errorf("got %v between two retries, want one completion's 100ms", got)
	}
}

func TestNoTeamFillsTheQueue(t *testing.T) {
	cfg := Defaults()
	cfg.Length = 20
	q := New(cfg)
	q.SetShare("a", 3)
	q.SetShare("b", 2)
	push := func(id uint64, service settings.ServiceID) int {
		n := q.Len()
		for range uint64(cfg.Length) {
			q.Push(start, Item{ID: id, Service: service, Deadline: start.Add(time.Hour)})
			id++
		}
		return q.Len() - n
	}
	if got := push(0, a1); got != 16 { // its reserved 6 and the open 10
		t.Errorf("got %d of a, want 16", got)
	}
	if got := push(100, b1); got != 4 {
		t.Errorf("got %d of b, want 4", got)
	}
	for id := range uint64(10) {
		q.Cancel(start, id)
	}
	push(200, b1)
	q.SetShare("b", 1)
	q.SetShare("a", 100)
	if push(300, a1); q.Len() > cfg.Length {
		t.Errorf("shares changed: got %d, want at most %d", q.Len(), cfg.Length)
	}
}

func TestRing(t *testing.T) {
	tests := map[string]struct{ advance, remove, want int }{
		"one before the turn": {2, 0, 2},
		"the turn itself":     {1, 1, 2},
		"one after the turn":  {1, 2, 1},
		"the last, in turn":   {3, 3, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := ring[int]{members: []int{0, 1, 2, 3}}
			for range tt.advance {
				r.advance()
			}
			r.remove(tt.remove)
			if got := r.current(); got != tt.want {
				t.Errorf("got %d in turn, want %d", got, tt.want)
			}
		})
	}
}

// TestRandomRuns checks that each item that may wait leaves exactly once, in
// order, in time and only when it could start.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Defaults()
		cfg.Length = 12
		q := New(cfg)
		q.SetShare("a", 7)
		now := start
		waiting := map[uint64]Item{}
		leave := func(it Item) {
			if waiting[it.ID] != it {
				t.Fatalf("got %+v, want one that waits", it)
			}
			delete(waiting, it.ID)
		}
		services := []settings.ServiceID{a1, a2, b1}
		for id := range uint64(rapid.IntRange(1, 120).Draw(t, "steps")) {
			service := rapid.SampledFrom(services).Draw(t, "service")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1, 2:
				it := Item{
					ID: id, Service: service, Bulk: rapid.Bool().Draw(t, "bulk"), Placement: Placement{Shifted: rapid.Bool().Draw(t, "shifted"), OwnTargetsOnly: rapid.Bool().Draw(t, "bound")},
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond),
				}
				if v := q.Push(now, it); v.Kind == VerdictQueued {
					waiting[id] = it
				} else if v.RetryAt.Before(now.Add(cfg.RetryMin)) {
					t.Fatalf("got a retry at %v, want RetryMin or more after %v", v.RetryAt, now)
				}
			case 3:
				blocked := rapid.SampledFrom(services).Draw(t, "blocked")
				can := func(s settings.ServiceID, way Placement) bool {
					return s != blocked || !way.Shifted && !way.OwnTargetsOnly
				}
				got, ok := q.Pop(now, can)
				for _, it := range q.Expire(now) {
					leave(it)
				}
				if ok {
					leave(got)
				}
				for _, it := range waiting {
					same := it.Service == got.Service && it.Bulk == got.Bulk && it.Placement == got.Placement
					if !ok && can(it.Service, it.Placement) || ok && same && it.ID < got.ID {
						t.Fatalf("got %v %+v while %+v could start", ok, got, it)
					}
				}
				if ok && (!can(got.Service, got.Placement) || !now.Before(got.Deadline)) {
					t.Fatalf("got %+v at %v, want one that may start", got, now)
				}
			case 4:
				id := rapid.Uint64Range(0, id).Draw(t, "id")
				// An item that Push has expired meanwhile, and that Expire has not
				// returned yet, no longer waits; it is lost if it is in neither set.
				_, known := waiting[id]
				expired := slices.ContainsFunc(q.expired, func(e *entry) bool { return e.item.ID == id })
				if want := known && !expired; q.Cancel(now, id) != want {
					t.Fatalf("got cancelled %v, want %v", !want, want)
				}
				delete(waiting, id)
			case 5:
				q.Completed(now, service, time.Duration(rapid.IntRange(0, 50).Draw(t, "took"))*time.Millisecond)
			default:
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "step")) * time.Millisecond)
				for _, it := range q.Expire(now) {
					leave(it)
				}
			}
			if got := q.Len(); got > cfg.Length || got > len(waiting) {
				t.Fatalf("got %d waiting, want at most %d and %d", got, len(waiting), cfg.Length)
			}
			if next := q.Next(); len(waiting) > 0 && next.IsZero() {
				t.Fatal("got no next time, want one")
			}
		}
	})
}

// BenchmarkPushPop measures one push and one pop with 4,000 items of 30 services waiting.
func BenchmarkPushPop(b *testing.B) {
	q := New(Defaults())
	item := func(id uint64) Item {
		return Item{ID: id, Service: settings.ServiceID{Team: string(rune('a' + id%5)), Name: string(rune('a' + id%30))}, Deadline: start.Add(time.Hour)}
	}
	id := uint64(0)
	for ; id < 4000; id++ {
		q.Push(start, item(id))
	}
	for b.Loop() {
		q.Push(start, item(id))
		q.Pop(start, always)
		id++
	}
}
