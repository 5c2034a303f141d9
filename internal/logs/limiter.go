package logs

import (
	"sync"
	"time"
)

// Limiter bounds how many lines of one kind are written a second. It is safe for
// concurrent use.
type Limiter struct {
	perSecond int // lines a second

	mu         sync.Mutex
	windowEnd  time.Time // the current second ends then; guarded by mu
	written    int       // in the current second; at most most; guarded by mu
	suppressed int       // since a line was last written; guarded by mu
}

// NewLimiter makes a limiter of so many lines a second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow says whether a line may be written now, and how many of its kind were
// suppressed since the last one.
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
