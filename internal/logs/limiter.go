package logs

import (
	"sync"
	"time"
)

// Limiter limits the rate of log lines of one kind. It is safe for concurrent use.
type Limiter struct {
	perSecond int // maximum number of lines per second

	mu         sync.Mutex
	windowEnd  time.Time // end of the current one-second window; guarded by mu
	written    int       // lines in the current window; at most perSecond; guarded by mu
	suppressed int       // lines since the last written one; guarded by mu
}

// NewLimiter returns a limiter that allows the given number of lines per second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written now and, if so, how many lines were
// suppressed since the last written one.
func (l *Limiter) Allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.windowEnd) {
		l.windowEnd = now.Add(time.Second)
		l.written = 0
	}
	if l.written >= l.perSecond {
		l.suppressed++
		return 0, false
	}
	l.written++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
