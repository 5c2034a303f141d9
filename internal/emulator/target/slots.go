package target

import (
	"context"
	"sync"
	"time"
)

// slots admits requests: a fixed number runs concurrently, and a short queue waits. It keeps a
// history of its state for lagging reports.
type slots struct {
	mu        sync.Mutex
	free      chan struct{} // one token for each free slot
	size      int
	queueSize int
	admitted  int // waiting and busy, at most size + queueSize
	busy      int
	draining  bool
	healthy   bool
	history   []sample // by time; the last one is the current state
}

// sample is the state from a time on, until the next sample.
type sample struct {
	at      time.Time
	busy    int
	healthy bool
}

// historyRetention bounds the age of the history, and so the lag of a report.
const historyRetention = 10 * time.Second

func newSlots(size, queue int, now time.Time) *slots {
	s := &slots{free: make(chan struct{}, size), size: size, queueSize: queue, healthy: true}
	for range size {
		s.free <- struct{}{}
	}
	s.history = []sample{{at: now, healthy: true}}
	return s
}

// acquire takes a slot, waiting in the queue if it isn't full. It returns false if the request
// is refused or ctx ends first: nothing ran.
func (s *slots) acquire(ctx context.Context) bool {
	if !s.admit() {
		return false
	}
	select {
	case <-s.free:
	case <-ctx.Done():
		s.abandon()
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy++
	s.record(time.Now())
	return true
}

// admit counts a request as admitted, and returns false if the queue is full or the target
// drains.
func (s *slots) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.admitted >= s.size+s.queueSize {
		return false
	}
	s.admitted++
	return true
}

// abandon removes an admitted request that left the queue without a slot.
func (s *slots) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted--
}

func (s *slots) release() {
	s.mu.Lock()
	s.admitted--
	s.busy--
	s.record(time.Now())
	s.mu.Unlock()
	s.free <- struct{}{}
}

func (s *slots) setDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
	s.record(time.Now())
}

func (s *slots) setHealthy(healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.healthy = healthy
	s.record(time.Now())
}

// record appends the current state to the history and drops samples that no report needs. s.mu
// is held.
func (s *slots) record(now time.Time) {
	s.history = append(s.history, sample{at: now, busy: s.busy, healthy: s.healthy && !s.draining})
	old := 0
	for old+1 < len(s.history) && now.Sub(s.history[old+1].at) > historyRetention {
		old++
	}
	s.history = s.history[old:]
}

// asOf returns the state at a time, or the oldest recorded one if that is later.
func (s *slots) asOf(at time.Time) sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].at.After(at) {
			return s.history[i]
		}
	}
	return s.history[0]
}
