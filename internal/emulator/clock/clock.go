// Package clock wakes its callers within a small part of a millisecond. The
// runtime's own timers are up to a millisecond late in an idle process, which
// is as much as the delays that the emulator has to keep.
package clock

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// maxSleep is the longest sleep while timers wait. A timer set for earlier than
// that may be late by as much.
const maxSleep = 500 * time.Microsecond

// Clock wakes callers at given times. A nil Clock uses the runtime's timers, as
// tests in virtual time need. It is safe for concurrent use.
type Clock struct {
	mu     sync.Mutex
	timers timers
	closed bool
	wake   chan struct{}
	done   chan struct{}
}

// Start makes a clock, which keeps a thread until Close.
func Start() *Clock {
	c := &Clock{wake: make(chan struct{}, 1), done: make(chan struct{})}
	go c.run()
	return c
}

// Close ends the clock. Timers that wait never fire.
func (c *Clock) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.signal()
	<-c.done
}

// Timer fires once.
type Timer struct {
	C    <-chan time.Time // gets the time of firing
	at   time.Time
	fire func(now time.Time)
	stop func()
}

// Stop lets a timer that hasn't fired never fire.
func (t *Timer) Stop() { t.stop() }

// Timer makes one that fires at a time.
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

// AfterFunc calls f in a goroutine of its own at a time.
func (c *Clock) AfterFunc(at time.Time, f func()) {
	if c == nil {
		time.AfterFunc(time.Until(at), f)
		return
	}
	c.add(&Timer{at: at, fire: func(time.Time) { go f() }})
}

// SleepUntil waits until a time. It returns false if ctx ended before.
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

// cancel leaves a stopped timer in its place until it's due.
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

// fireDue fires what is due and returns when the next timer is: zero without
// one. It returns false when the clock is closed.
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

// timers is a heap by time.
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
