//go:build linux

package procs

import (
	"sync"
	"time"
)

// A pauseInterval is a time in which this process stood still: the machine is shared.
// The stand-ins of targets, the links and the callers are all in this process.
type pauseInterval struct{ from, to time.Time }

const (
	pauseCheckInterval = 5 * time.Millisecond
	minPause           = 50 * time.Millisecond
)

// pauseLog are those since the start of the run. It is safe for concurrent use.
type pauseLog struct {
	mu   sync.Mutex
	list []pauseInterval
}

var processPauses pauseLog

// record notes stalls for as long as the process lives.
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

// since sums up the stalls that ended after a moment, and gives the longest.
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
