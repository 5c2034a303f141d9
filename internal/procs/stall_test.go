//go:build linux

package procs

import (
	"sync"
	"time"
)

// A stall is a time in which this process stood still: the machine is shared.
// The stand-ins of targets, the links and the callers are all in this process.
type stall struct{ from, to time.Time }

const (
	stallTick  = 5 * time.Millisecond
	stallLeast = 50 * time.Millisecond
)

// stalls are those since the start of the run. It is safe for concurrent use.
type stalls struct {
	mu   sync.Mutex
	list []stall
}

var meter stalls

// watch notes stalls for as long as the process lives.
func (s *stalls) watch() {
	last := time.Now()
	for {
		time.Sleep(stallTick)
		now := time.Now()
		if now.Sub(last) >= stallLeast {
			s.mu.Lock()
			s.list = append(s.list, stall{last, now})
			s.mu.Unlock()
		}
		last = now
	}
}

// since sums up the stalls that ended after a moment, and gives the longest.
func (s *stalls) since(from time.Time) (n int, total, longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.list {
		if one.to.After(from) {
			d := one.to.Sub(one.from)
			n++
			total += d
			longest = max(longest, d)
		}
	}
	return n, total, longest
}
