package queue

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/deadline"
	"github.com/firlever/firlever/pkg/settings"
)

const defaultShare = 1

// Queue holds the requests of one instance that wait for a slot.
type Queue struct {
	cfg         Config
	room        *room // counts the waiting items by team
	stations    map[settings.ServiceID]*station
	entries     map[uint64]*entry // all waiting items, by ID
	interactive *class
	bulk        *class
	starts      deadline.Heap[*entry] // all waiting items, by latest start time
	expired     []*entry              // removed, to be returned by the next Expire
	skipped     int                   // interactive pops since the last bulk one, while bulk waited
	seq         uint64                // increases with each item queued
}

// New returns an empty Queue. cfg must be valid.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:         cfg,
		room:        newRoom(cfg.Length),
		stations:    make(map[settings.ServiceID]*station),
		entries:     make(map[uint64]*entry),
		interactive: newClass(),
		bulk:        newClass(),
	}
}

// SetShare sets a team's weight under contention. Teams never set, or set to less
// than 1, have weight 1.
func (q *Queue) SetShare(team string, weight int) { q.room.setShare(team, weight) }

// Forget drops the estimates of a service that is no longer configured, unless
// requests of it wait.
func (q *Queue) Forget(service settings.ServiceID) {
	if q.ahead(service, true) == 0 {
		delete(q.stations, service)
	}
}

// Push queues an item, or refuses it at once.
func (q *Queue) Push(now time.Time, it Item) Verdict {
	if _, ok := q.entries[it.ID]; ok {
		return Verdict{Kind: VerdictDuplicate}
	}
	if !now.Before(it.Deadline) {
		return Verdict{Kind: VerdictExpired}
	}
	q.expire(now)
	s := q.station(now, it.Service)
	ahead := q.ahead(it.Service, it.Bulk)
	first := now.Add(s.wait(ahead))
	if !q.room.free(it.Service.Team) {
		return Verdict{Kind: VerdictFull, Start: first, RetryAt: q.retryAt(now, s, s.wait(ahead)/2)}
	}
	last := it.Deadline.Add(-s.usual())
	if ahead == 0 {
		// Otherwise no request might run that could correct a wrong estimate.
		last = it.Deadline
	}
	if over := first.Sub(last); over > 0 {
		return Verdict{Kind: VerdictLate, Start: first, RetryAt: q.retryAt(now, s, over)}
	}
	q.add(it, last)
	s.waiting(now, q.ahead(it.Service, true))
	return Verdict{Kind: VerdictQueued, Start: first}
}

// ahead returns how many items of a service are popped before a new one.
func (q *Queue) ahead(service settings.ServiceID, bulk bool) int {
	n := q.interactive.waiting(service)
	if bulk {
		n += q.bulk.waiting(service)
	}
	return n
}

// retryAt spreads the retries of refused requests: each gets a time one completion
// later than the one before, within the bounds of the configuration.
func (q *Queue) retryAt(now time.Time, s *station, after time.Duration) time.Time {
	at := now.Add(max(after, q.cfg.RetryMin))
	if rate, known := s.rate(); known && rate > leastRate {
		next := s.retry.Add(seconds(1 / rate))
		if next.After(at) {
			at = next
		}
	}
	if last := now.Add(q.cfg.RetryMax); at.After(last) {
		return last
	}
	s.retry = at
	return at
}

func (q *Queue) station(now time.Time, service settings.ServiceID) *station {
	s := q.stations[service]
	if s == nil {
		s = &station{window: q.cfg.Window, at: now}
		q.stations[service] = s
	}
	s.settle(now)
	return s
}

func (q *Queue) class(it Item) *class {
	if it.Bulk {
		return q.bulk
	}
	return q.interactive
}

func (q *Queue) add(it Item, last time.Time) {
	q.seq++
	e := &entry{item: it, seq: q.seq, last: last}
	q.entries[it.ID] = e
	q.room.add(it.Service.Team)
	q.starts.Push(e)
	q.class(it).add(e)
}

// Pop removes the next item that could start now. It calls can at most once for
// each service, class and lane with waiting items.
func (q *Queue) Pop(now time.Time, can Can) (Item, bool) {
	q.expire(now)
	classes := [...]*class{q.interactive, q.bulk}
	if q.skipped >= q.cfg.BulkEvery-1 {
		slices.Reverse(classes[:])
	}
	for _, c := range classes {
		e := c.pop(can, q.room.share)
		if e == nil {
			continue
		}
		q.countSkipped(c)
		q.forget(now, e)
		return e.item, true
	}
	return Item{}, false
}

func (q *Queue) countSkipped(popped *class) {
	if popped == q.bulk || q.bulk.turns.len() == 0 {
		q.skipped = 0
		return
	}
	q.skipped++
}

// unindex removes an entry that has left its class from the indexes.
func (q *Queue) forget(now time.Time, e *entry) {
	delete(q.entries, e.item.ID)
	q.starts.Remove(e)
	service := e.item.Service
	q.room.remove(service.Team)
	q.station(now, service).waiting(now, q.ahead(service, true))
}

// expire removes all items past their latest start time.
func (q *Queue) expire(now time.Time) {
	for {
		e, due := q.starts.Due(now)
		if !due {
			return
		}
		q.class(e.item).remove(e)
		q.forget(now, e)
		q.expired = append(q.expired, e)
	}
}

// Expire returns, once, the items that waited too long to be answered before
// their deadline. They were not run.
func (q *Queue) Expire(now time.Time) []Item {
	q.expire(now)
	items := make([]Item, 0, len(q.expired))
	for _, e := range q.expired {
		items = append(items, e.item)
	}
	q.expired = nil
	return items
}

// Cancel removes an item, and reports whether it was waiting. Expire no longer
// returns it.
func (q *Queue) Cancel(now time.Time, id uint64) bool {
	e := q.entries[id]
	if e == nil {
		q.expired = slices.DeleteFunc(q.expired, func(e *entry) bool { return e.item.ID == id })
		return false
	}
	q.class(e.item).remove(e)
	q.forget(now, e)
	return true
}

// Completed records that a request of a service has ended, with any outcome, and
// freed its slot. took counts from its dispatch.
func (q *Queue) Completed(now time.Time, service settings.ServiceID, took time.Duration) {
	q.station(now, service).completed(now, took)
}

// Next returns when Expire next has something to return; zero if never.
func (q *Queue) Next() time.Time {
	if len(q.expired) > 0 {
		return q.expired[0].last
	}
	return q.starts.Next()
}

// Len returns how many items wait.
func (q *Queue) Len() int { return len(q.entries) }

// Wait predicts how long a new interactive request of a service would wait.
func (q *Queue) Wait(now time.Time, service settings.ServiceID) time.Duration {
	return q.station(now, service).wait(q.ahead(service, false))
}
