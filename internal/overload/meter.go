// Package overload measures whether this process gets more work than its processors can handle,
// and determines which requests it refuses in that case.
package overload

import (
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// idleInterval is the minimum time between two measurements triggered by requests. A process
	// without requests has nothing to refuse and does not have to be woken.
	idleInterval = 10 * time.Millisecond
	// busyInterval is the pause between measurements while delays are long. Requests come in
	// bursts, so measurements triggered by requests alone would take a burst for a sustained
	// queue.
	busyInterval = 5 * time.Millisecond
)

// Meter is a Gate that measures the delay of this process itself. It is safe for concurrent use;
// a nil Meter refuses nothing.
type Meter struct {
	Gate
	start     time.Time
	cores     float64      // processors that this process may use
	nextAt    atomic.Int64 // time of the next measurement, in nanoseconds since start
	measuring atomic.Bool  // whether a measurement is running
}

// NewMeter returns a meter for a process that may use the given number of processors, which may
// be a fraction; 0 if unknown.
func NewMeter(cores float64) *Meter {
	if maxCores := float64(runtime.GOMAXPROCS(0)); cores <= 0 || cores > maxCores {
		cores = maxCores
	}
	return &Meter{start: time.Now(), cores: cores}
}

// Refuse reports whether to refuse a request that has just arrived.
func (m *Meter) Refuse() bool {
	if m == nil {
		return false
	}
	if int64(time.Since(m.start)) >= m.nextAt.Load() && m.measuring.CompareAndSwap(false, true) {
		go m.measure(time.Now(), processorTime())
	}
	return m.Gate.Refuse()
}

// Share returns the share of new requests to refuse, 0 to 1.
func (m *Meter) Share() float64 {
	if m == nil {
		return 0
	}
	return m.Gate.Share()
}

// measure repeats the measurement until the delay is short.
func (m *Meter) measure(begin time.Time, used time.Duration) {
	for m.Record(m.queueDelay(begin, used)) {
		time.Sleep(busyInterval)
		begin, used = time.Now(), processorTime()
	}
	m.nextAt.Store(int64(time.Since(m.start) + idleInterval))
	m.measuring.Store(false)
}

// queueDelay goes to the end of the scheduler's run queue, and returns how long that took, but no
// longer than the processors needed for the work before it. If other processes on the machine
// take processor time, this process runs slower, but has no longer queue.
func (m *Meter) queueDelay(begin time.Time, used time.Duration) (now time.Time, delay time.Duration) {
	runtime.Gosched()
	now = time.Now()
	work := time.Duration(float64(processorTime()-used) / m.cores)
	return now, min(now.Sub(begin), work)
}

// processorTime returns the processor time that this process has used, or 0 if the system does
// not report it.
func processorTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		return 0 // in that case nothing is refused
	}
	return time.Duration(t.Nano())
}
