package queue

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/deadline"
	"github.com/firlever/firlever/pkg/settings"
)

const defaultWeight = 1

// Queue holds the requests of one instance that wait for a slot.
type Queue struct {
	cfg           Config
	limiter       *limiter // counts the waiting items by team
	estimators    map[settings.ServiceID]*estimator
	entries       map[uint64]*entry // all waiting items, by ID
	interactive   *class
	bulk          *class
	byLatestStart deadline.Heap[*entry] // all waiting items, by latest start time
	expired       []*entry              // removed, to be returned by the next Expire
	bulkSkips     int                   // interactive pops since the last bulk one, while bulk waited
	seq           uint64                // increases with each item queued
}

// New returns an empty Queue. cfg must be valid.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:         cfg,
		limiter:     newLimiter(cfg.Length),
		estimators:  make(map[settings.ServiceID]*estimator),
		entries:     make(map[uint64]*entry),
		interactive: newClass(),
		bulk:        newClass(),
	}
}

// SetShare sets a team's weight under contention. Teams never set, or set to less
// than 1, have weight 1.
func (q *Queue) SetShare(team string, weight int) { q.limiter.setWeight(team, weight) }

// Forget drops the estimates of a service that is no longer configured, unless
// requests of it wait.
func (q *Queue) Forget(service settings.ServiceID) {
	if q.ahead(service, true) == 0 {
		delete(q.estimators, service)
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
	est := q.estimator(now, it.Service)
	ahead := q.ahead(it.Service, it.Bulk)
	first := now.Add(est.wait(ahead))
	if !q.limiter.admits(it.Service.Team) {
		return Verdict{Kind: VerdictFull, Start: first, RetryAt: q.retryAt(now, est, est.wait(ahead)/2)}
	}
	last := it.Deadline.Add(-est.expectedDuration())
	if ahead == 0 {
		// Otherwise no request might run that could correct a wrong estimate.
		last = it.Deadline
	}
	if over := first.Sub(last); over > 0 {
		return Verdict{Kind: VerdictLate, Start: first, RetryAt: q.retryAt(now, est, over)}
	}
	q.add(it, last)
	est.setWaiting(now, q.ahead(it.Service, true))
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
func (q *Queue) retryAt(now time.Time, est *estimator, after time.Duration) time.Time {
	at := now.Add(max(after, q.cfg.RetryMin))
	if rate, known := est.rate(); known && rate > minRate {
		next := est.lastRetry.Add(seconds(1 / rate))
		if next.After(at) {
			at = next
		}
	}
	if last := now.Add(q.cfg.RetryMax); at.After(last) {
		return last
	}
	est.lastRetry = at
	return at
}

func (q *Queue) estimator(now time.Time, service settings.ServiceID) *estimator {
	est := q.estimators[service]
	if est == nil {
		est = &estimator{window: q.cfg.Window, updatedAt: now}
		q.estimators[service] = est
	}
	est.advance(now)
	return est
}

func (q *Queue) class(it Item) *class {
	if it.Bulk {
		return q.bulk
	}
	return q.interactive
}

func (q *Queue) add(it Item, last time.Time) {
	q.seq++
	e := &entry{item: it, seq: q.seq, startBefore: last}
	q.entries[it.ID] = e
	q.limiter.add(it.Service.Team)
	q.byLatestStart.Push(e)
	q.class(it).add(e)
}

// Pop removes the next item that could start now. It calls can at most once for
// each service, class and lane with waiting items.
func (q *Queue) Pop(now time.Time, can CanStart) (Item, bool) {
	q.expire(now)
	classes := [...]*class{q.interactive, q.bulk}
	if q.bulkSkips >= q.cfg.BulkEvery-1 {
		slices.Reverse(classes[:])
	}
	for _, c := range classes {
		e := c.pop(can, q.limiter.weight)
		if e == nil {
			continue
		}
		q.countBulkSkip(c)
		q.unindex(now, e)
		return e.item, true
	}
	return Item{}, false
}

func (q *Queue) countBulkSkip(popped *class) {
	if popped == q.bulk || q.bulk.turns.len() == 0 {
		q.bulkSkips = 0
		return
	}
	q.bulkSkips++
}

// unindex removes an entry that has left its class from the indexes.
func (q *Queue) unindex(now time.Time, e *entry) {
	delete(q.entries, e.item.ID)
	q.byLatestStart.Remove(e)
	service := e.item.Service
	q.limiter.remove(service.Team)
	q.estimator(now, service).setWaiting(now, q.ahead(service, true))
}

// expire removes all items past their latest start time.
func (q *Queue) expire(now time.Time) {
	for {
		e, due := q.byLatestStart.Due(now)
		if !due {
			return
		}
		q.class(e.item).remove(e)
		q.unindex(now, e)
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
	q.unindex(now, e)
	return true
}

// Completed records that a request of a service has ended, with any outcome, and
// freed its slot. took counts from its dispatch.
func (q *Queue) Completed(now time.Time, service settings.ServiceID, took time.Duration) {
	q.estimator(now, service).completed(now, took)
}

// Next returns when Expire next has something to return; zero if never.
func (q *Queue) Next() time.Time {
	if len(q.expired) > 0 {
		return q.expired[0].startBefore
	}
	return q.byLatestStart.Next()
}

// Len returns how many items wait.
func (q *Queue) Len() int { return len(q.entries) }

// PredictWait predicts how long a new interactive request of a service would wait.
func (q *Queue) PredictWait(now time.Time, service settings.ServiceID) time.Duration {
	return q.estimator(now, service).wait(q.ahead(service, false))
}
