// Package boottime is a clock that continues while the machine is suspended. The monotonic clock of
// the standard library stops meanwhile, so that whatever is measured by it, such as the age of
// cached state or the rest of a lease, appears younger than it is.
//
// Its times can only be compared with each other. For timers, contexts and connections, they have
// to be converted to the clock of the runtime.
package boottime

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tolerance is by how much the time of day may drift from the monotonic clock before the kernel
	// is asked whether the machine was suspended: more than clock adjustments cause in
	// recheckInterval.
	tolerance = 5 * time.Millisecond
	// recheckInterval is the time after which the kernel is asked in any case, because the time of
	// day may have been set during a suspension and hide it.
	recheckInterval = time.Second
	// pollInterval is how often Watch checks for a suspension.
	pollInterval = 200 * time.Millisecond
)

// clock tracks for how long the machine was suspended since the process started.
type clock struct {
	base       time.Time     // start of the clock, with monotonic reading and time of day
	baseOffset time.Duration // difference of the kernel's two clocks at base
	readOffset func() (time.Duration, error)

	emulated     atomic.Int64 // emulated suspensions, in nanoseconds
	suspended    atomic.Int64 // nanoseconds; only increases
	checkedDrift atomic.Int64 // drift of the time of day from the monotonic clock at the last check, in nanoseconds
	checkedAt    atomic.Int64 // time of the last check, in nanoseconds of the monotonic clock since base

	mu      sync.Mutex
	resumed chan struct{} // closed when the next suspension is detected; guarded by mu
}

var system = newClock(kernelOffset)

func newClock(readOffset func() (time.Duration, error)) *clock {
	c := &clock{base: time.Now(), readOffset: readOffset, resumed: make(chan struct{})}
	c.baseOffset, _ = readOffset() // on an error, the clock is the monotonic one
	return c
}

// kernelOffset returns by how much CLOCK_BOOTTIME, which counts suspensions, is ahead of
// CLOCK_MONOTONIC; a little less if the process is preempted between the two calls.
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
	change := drift - time.Duration(c.checkedDrift.Load())
	if change > tolerance || change < -tolerance || steady-time.Duration(c.checkedAt.Load()) > recheckInterval {
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
		return // without a reading, assume that it was not suspended
	}
	for {
		old := c.suspended.Load()
		measured := int64(offset-c.baseOffset) + c.emulated.Load()
		if measured-old < int64(tolerance) {
			return
		}
		if c.suspended.CompareAndSwap(old, measured) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.resumed)
	c.resumed = make(chan struct{})
}

// nextResume returns a channel that is closed when the next suspension is detected.
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

// Now returns the time. Its monotonic reading includes suspensions.
func Now() time.Time { return system.now() }

// Suspended returns for how long the machine was suspended since the process started, as detected
// so far.
func Suspended() time.Duration { return time.Duration(system.suspended.Load()) }

// Until returns the duration until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Since returns the time elapsed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// ToRuntime converts t to the clock of the runtime, for timers, contexts and connections, assuming
// that the machine is not suspended before. The result is never too early, so whatever it wakes
// finds that t has passed.
func ToRuntime(t time.Time) time.Time {
	left := Until(t)
	return time.Now().Add(left)
}

// Suspend advances the clock as if the machine had been suspended for d until now. It is for tests
// and emulators, which can't suspend their machine.
func Suspend(d time.Duration) {
	system.emulated.Add(int64(d))
	system.checkedAt.Store(-int64(2 * recheckInterval)) // the next call of Now asks the kernel
}

// Watch checks for suspensions periodically until ctx ends, because there may be no call of Now
// meanwhile.
func Watch(ctx context.Context) { system.watch(ctx) }

// Resumed returns a channel that is closed when a suspension of the machine is detected, by Watch
// or by a call of Now.
func Resumed() <-chan struct{} { return system.nextResume() }

// Sleep waits until t or until ctx ends, and counts suspensions.
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
