// Package overload measures whether this process gets more work than its processors can do,
// and decides which requests it refuses then.
package overload

import (
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// measureEvery is the least time between two measurements. Requests set them off: a process
// without any has nothing to refuse, and need not be woken.
const measureEvery = 10 * time.Millisecond

// Meter is a Gate that measures the delay itself. It is safe for concurrent use.
type Meter struct {
	Gate
	start time.Time
	cores float64      // that this process may use
	next  atomic.Int64 // when to measure next, in nanoseconds since start
	busy  atomic.Bool  // a measurement is under way
}

// NewMeter makes a meter of a process that may use a number of processors, which may be a
// fraction; 0 if that is not known.
func NewMeter(cores float64) *Meter {
	if most := float64(runtime.GOMAXPROCS(0)); cores <= 0 || cores > most {
		cores = most
	}
	return &Meter{start: time.Now(), cores: cores}
}

// Refuse says whether to refuse a request that has come.
func (m *Meter) Refuse() bool {
	if int64(time.Since(m.start)) >= m.next.Load() && m.busy.CompareAndSwap(false, true) {
		go m.measure(time.Now(), processorTime())
	}
	return m.Gate.Refuse()
}

// measure goes to the end of the queue of what is ready to run, and notes how long that took:
// no longer than the processors needed for the work before it. What others on the machine
// take from this process makes its work slow, and is not its own queue.
func (m *Meter) measure(begin time.Time, used time.Duration) {
	runtime.Gosched()
	now := time.Now()
	work := time.Duration(float64(processorTime()-used) / m.cores)
	m.Note(now, min(now.Sub(begin), work))
	m.next.Store(int64(now.Add(measureEvery).Sub(m.start)))
	m.busy.Store(false)
}

// processorTime is what this process has used so far, or 0 if the system doesn't tell.
func processorTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		return 0 // then nothing is refused
	}
	return time.Duration(t.Nano())
}
