// Package overload measures whether this process gets more work than its processors can do,
// and decides which requests it refuses then.
package overload

import (
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// idleInterval is the least time between two measurements that requests set off: a
	// process without any has nothing to refuse, and need not be woken.
	idleInterval = 10 * time.Millisecond
	// busyInterval is the pause between measurements while they are long: who is asked by
	// requests alone, which come in bursts, takes those for a queue that stands.
	busyInterval = 5 * time.Millisecond
)

// Meter is a Gate that measures the delay itself, of one process. It is safe for concurrent
// use; nil refuses nothing.
type Meter struct {
	Gate
	start     time.Time
	cores     float64      // that this process may use
	nextAt    atomic.Int64 // when to measure next, in nanoseconds since start
	measuring atomic.Bool  // a measurement is under way
}

// NewMeter makes a meter of a process that may use a number of processors, which may be a
// fraction; 0 if that is not known.
func NewMeter(cores float64) *Meter {
	if maxCores := float64(runtime.GOMAXPROCS(0)); cores <= 0 || cores > maxCores {
		cores = maxCores
	}
	return &Meter{start: time.Now(), cores: cores}
}

// Refuse says whether to refuse a request that has come.
func (m *Meter) Refuse() bool {
	if m == nil {
		return false
	}
	if int64(time.Since(m.start)) >= m.nextAt.Load() && m.measuring.CompareAndSwap(false, true) {
		go m.measure(time.Now(), processorTime())
	}
	return m.Gate.Refuse()
}

// Share is the share of new requests to refuse, 0 to 1.
func (m *Meter) Share() float64 {
	if m == nil {
		return 0
	}
	return m.Gate.Share()
}

// measure notes how long the queue is, until it is short.
func (m *Meter) measure(begin time.Time, used time.Duration) {
	for m.Note(m.queueDelay(begin, used)) {
		time.Sleep(busyInterval)
		begin, used = time.Now(), processorTime()
	}
	m.nextAt.Store(int64(time.Since(m.start) + idleInterval))
	m.measuring.Store(false)
}

// queueDelay goes to the end of the queueDelay of what is ready to run, and returns how long that took:
// no longer than the processors needed for the work before it. What others on the machine
// take from this process makes its work slow, and is not its own queueDelay.
func (m *Meter) queueDelay(begin time.Time, used time.Duration) (now time.Time, delay time.Duration) {
	runtime.Gosched()
	now = time.Now()
	work := time.Duration(float64(processorTime()-used) / m.cores)
	return now, min(now.Sub(begin), work)
}

// processorTime is what this process has used so far, or 0 if the system doesn't tell.
func processorTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		return 0 // then nothing is refused
	}
	return time.Duration(t.Nano())
}
