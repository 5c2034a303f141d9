// Package clock provides timers that fire within a small fraction of a millisecond of their
// time. The runtime's own timers are up to a millisecond late in an idle process, which is as
// much as the delays that the emulator has to keep.
package clock

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// maxSleep bounds a sleep while timers are pending. A timer that is added during a sleep, for a
// time before its end, may be late by as much.
const maxSleep = 500 * time.Microsecond

// Clock fires timers at given times. A nil Clock uses the runtime's timers, as tests in virtual
// time require. It is safe for concurrent use.
type Clock struct {
	mu     sync.Mutex
	timers timers
	closed bool
	wake   chan struct{}
	done   chan struct{}
}

// Start returns a running clock. It occupies a thread until Close.
func Start() *Clock {
	c := &Clock{wake: make(chan struct{}, 1), done: make(chan struct{})}
	go c.run()
	return c
}

// Close stops the clock. Pending timers never fire.
func (c *Clock) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.signal()
	<-c.done
}

// Timer fires once.
type Timer struct {
	C    <-chan time.Time // receives the time at which the timer fired
	at   time.Time
	fire func(now time.Time)
	stop func()
}

// Stop prevents the timer from firing if it hasn't fired yet.
func (t *Timer) Stop() { t.stop() }

// Timer returns a timer that fires at a time.
func (c *Clock) Timer(at time.Time) *Timer {
	if c == nil {
		t := time.NewTimer(time.Until(at))
		return &Timer{C: t.C, stop: func() { t.Stop() }}
	}
	fired := make(chan time.Time, 1)
	t := &Timer{C: fired, at: at, fire: func(now time.Time) { fired <- now }}
	t.stop = func() { c.cancel(t) }
	c.add(t)
	return t
}

// AfterFunc calls f in its own goroutine at a time.
func (c *Clock) AfterFunc(at time.Time, f func()) {
	if c == nil {
		time.AfterFunc(time.Until(at), f)
		return
	}
	c.add(&Timer{at: at, fire: func(time.Time) { go f() }})
}

// SleepUntil waits until a time. It returns false if ctx has ended.
func (c *Clock) SleepUntil(ctx context.Context, at time.Time) bool {
	if !time.Now().Before(at) {
		return ctx.Err() == nil
	}
	t := c.Timer(at)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Clock) add(t *Timer) {
	c.mu.Lock()
	heap.Push(&c.timers, t)
	first := c.timers[0] == t
	c.mu.Unlock()
	if first {
		c.signal()
	}
}

// cancel prevents a timer from firing. It stays in the heap until it is due.
func (c *Clock) cancel(t *Timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.fire = nil
}

func (c *Clock) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Clock) run() {
	defer close(c.done)
	for {
		next, ok := c.fireDue(time.Now())
		if !ok {
			return
		}
		if next.IsZero() {
			<-c.wake
			continue
		}
		if d := min(time.Until(next), maxSleep); d > 0 {
			nanosleep(d)
		}
	}
}

// fireDue fires the timers that are due and returns the time of the next one, or zero if there
// is none. It returns false if the clock is closed.
func (c *Clock) fireDue(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.timers) > 0 {
		t := c.timers[0]
		if t.at.After(now) && t.fire != nil {
			return t.at, !c.closed
		}
		heap.Pop(&c.timers)
		if t.fire != nil {
			t.fire(now)
		}
	}
	return time.Time{}, !c.closed
}

// timers is a heap of timers, the earliest first.
type timers []*Timer

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timers) Push(x any)        { *h = append(*h, x.(*Timer)) }

func (h *timers) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
