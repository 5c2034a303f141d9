// Package boottime is a clock that goes on while the machine is suspended. The steady clock
// of the standard library stands still meanwhile, so that whatever is measured by it, such as
// the age of what is known or what is left of a lease, looks younger than it is.
//
// Its times are compared with each other alone. A timer, a context or a connection takes
// what Runtime makes of them.
package boottime

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tolerance is by how much the time of day may run away from the steady clock until
	// the kernel is asked whether the machine was suspended: more than adjustments of the
	// time of day make of it in recheck.
	tolerance = 5 * time.Millisecond
	// recheckInterval is after how long the kernel is asked anyway, as the time of day may have
	// been set meanwhile.
	recheckInterval = time.Second
	// pollInterval is how often a suspension is looked for.
	pollInterval = 200 * time.Millisecond
)

// clock knows for how long the machine was suspended since the process started.
type clock struct {
	base       time.Time     // by the steady clock and the time of day
	baseOffset time.Duration // of the kernel's two clocks at base
	readOffset func() (time.Duration, error)

	emulated     atomic.Int64 // nanoseconds that the kernel does not know of
	suspended    atomic.Int64 // nanoseconds; grows only
	checkedDrift atomic.Int64 // of the time of day from the steady clock when the kernel was asked last, in nanoseconds
	checkedAt    atomic.Int64 // when that was, in nanoseconds of the steady clock since base

	mu      sync.Mutex
	resumed chan struct{} // closed when the next suspension is found; guarded by mu
}

var system = newClock(kernelOffset)

func newClock(kernel func() (time.Duration, error)) *clock {
	c := &clock{base: time.Now(), readOffset: kernel, resumed: make(chan struct{})}
	c.baseOffset, _ = kernel() // without it the clock is the steady one
	return c
}

// kernelOffset returns by how much the kernel's clock that counts suspensions is ahead of the
// one that doesn't; a little less if the process has to wait between the two.
func kernelOffset() (time.Duration, error) {
	var boot, steady unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}

func (c *clock) now() time.Time {
	t := time.Now()
	steady := t.Sub(c.base)
	drift := t.Round(0).Sub(c.base.Round(0)) - steady
	away := drift - time.Duration(c.checkedDrift.Load())
	if away > tolerance || away < -tolerance || steady-time.Duration(c.checkedAt.Load()) > recheckInterval {
		c.update(steady, drift)
	}
	return t.Add(time.Duration(c.suspended.Load()))
}

// update asks the kernel for how long the machine was suspended.
func (c *clock) update(steady, drift time.Duration) {
	c.checkedAt.Store(int64(steady))
	c.checkedDrift.Store(int64(drift))
	offset, err := c.readOffset()
	if err != nil {
		return // as far as is known, it was not
	}
	for {
		old := c.suspended.Load()
		grown := int64(offset-c.baseOffset) + c.emulated.Load()
		if grown-old < int64(tolerance) {
			return
		}
		if c.suspended.CompareAndSwap(old, grown) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.resumed)
	c.resumed = make(chan struct{})
}

// nextResume returns a channel that is closed when the machine has been suspended.
func (c *clock) nextResume() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resumed
}

func (c *clock) watch(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.now()
		}
	}
}

// Now returns the time. Its steady reading counts suspensions.
func Now() time.Time { return system.now() }

// Suspended returns for how long the machine was suspended since the process started, as far
// as that is known.
func Suspended() time.Duration { return time.Duration(system.suspended.Load()) }

// Until returns how long it is until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Since returns how long ago t was.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Runtime returns when t comes by the clock of the runtime, for timers, contexts and
// connections, if the machine is not suspended before: not sooner, so that who is woken by it
// finds that t has come.
func Runtime(t time.Time) time.Time {
	left := Until(t)
	return time.Now().Add(left)
}

// Suspend has the clock go on as if the machine had been suspended for d until now. It is
// for tests and stand-ins, which can't suspend their machine.
func Suspend(d time.Duration) {
	system.emulated.Add(int64(d))
	system.checkedAt.Store(-int64(2 * recheckInterval)) // the kernel is asked the next time
}

// Watch looks for suspensions until ctx ends, as nobody may ask for the time meanwhile.
func Watch(ctx context.Context) { system.watch(ctx) }

// Resumed returns a channel that is closed when the machine has been suspended and somebody
// has asked for the time since.
func Resumed() <-chan struct{} { return system.nextResume() }

// Sleep waits until t, or until ctx ends.
func Sleep(ctx context.Context, t time.Time) {
	for {
		resumed := Resumed()
		timer := time.NewTimer(Until(t))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			return
		case <-resumed:
			timer.Stop()
		}
	}
}
