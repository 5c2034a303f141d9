package kv

import (
	"context"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/platform"
)

// Local is a platform.Store over a Service in the same process. It is safe for
// concurrent use.
type Local struct {
	clock   func() time.Time
	mu      sync.Mutex
	service *Service      // guarded by mu
	wake    chan struct{} // guarded by mu; closed when waiting watches have to look again
}

var _ platform.Store = (*Local)(nil)

// NewLocal makes a store over service, which no one else may use from here on.
// Local waits by the timers of package time, whatever the clock.
func NewLocal(service *Service, clock func() time.Time) *Local {
	return &Local{clock: clock, service: service, wake: make(chan struct{})}
}

// SetFaults replaces the faults, also for calls that wait.
func (l *Local) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.service.SetFaults(f)
	l.notify()
}

// Lapse ends a lease at once, while its holder still believes in it.
func (l *Local) Lapse(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.service.Lapse(path)
}

// Counts returns the counts of calls by kind.
func (l *Local) Counts() []Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.service.Counts()
}

// notify wakes the waiting watches. It needs mu.
func (l *Local) notify() {
	close(l.wake)
	l.wake = make(chan struct{})
}

// work is what one call does in the core.
type work[T any] func(s *Service, now time.Time) (T, error)

// run makes one call as its fate has it. The work is done at once; slowness
// delays the answer.
func run[T any](ctx context.Context, l *Local, c Call, path string, op work[T]) (T, error) {
	var none T
	if err := ctx.Err(); err != nil {
		return none, &platform.UnavailableError{Call: c.String(), Err: err}
	}
	v, fate, wait, err := perform(l, c, op)
	if fate.Hang {
		<-ctx.Done()
		return none, unanswered(c, path, ctx.Err())
	}
	if !sleep(ctx, wait) {
		return none, unanswered(c, path, ctx.Err())
	}
	if fate.Lost {
		return none, unanswered(c, path, &LostError{})
	}
	return v, err
}

func perform[T any](l *Local, c Call, op work[T]) (v T, fate Fate, wait time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	fate, err = l.service.Begin(c, now)
	if err != nil || fate.Hang {
		return v, fate, 0, err
	}
	before := l.service.Revision()
	v, err = op(l.service, now)
	if l.service.Revision() != before {
		l.notify()
	}
	return v, fate, fate.Answer.Sub(now), err
}

// unanswered is the error of a call whose answer never came.
func unanswered(c Call, path string, cause error) error {
	if c.writes() {
		return &platform.UncertainError{Path: path, Err: cause}
	}
	return &platform.UnavailableError{Call: c.String(), Err: cause}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
