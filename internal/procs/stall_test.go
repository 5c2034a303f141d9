//go:build linux

package procs

import (
	"sync"
	"time"
)

// pauseInterval is a time in which this process got no processor time, which happens on a
// shared machine. The emulated targets, the links and the callers all run in this process.
type pauseInterval struct{ from, to time.Time }

const (
	pauseCheckInterval = 5 * time.Millisecond
	minPause           = 50 * time.Millisecond
)

// pauseLog holds the pauses since the start of the test process. It is safe for concurrent
// use.
type pauseLog struct {
	mu   sync.Mutex
	list []pauseInterval
}

var processPauses pauseLog

// record detects and records pauses. It never returns.
func (s *pauseLog) record() {
	last := time.Now()
	for {
		time.Sleep(pauseCheckInterval)
		now := time.Now()
		if now.Sub(last) >= minPause {
			s.mu.Lock()
			s.list = append(s.list, pauseInterval{last, now})
			s.mu.Unlock()
		}
		last = now
	}
}

// since returns the number, total and longest duration of the pauses that ended after a
// time.
func (s *pauseLog) since(from time.Time) (n int, total, longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.list {
		if p.to.After(from) {
			d := p.to.Sub(p.from)
			n++
			total += d
			longest = max(longest, d)
		}
	}
	return n, total, longest
}
