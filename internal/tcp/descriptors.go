package tcp

import (
	"fmt"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// acceptedShare is the part of a process's descriptors that accepted connections may take beside the
	// reserves of the ports, and dialedShare the part that all of them and those to targets may take
	// together. The rest is for the store, other instances, listeners and files.
	acceptedShare = 0.5
	dialedShare   = 0.875
)

// Descriptors divides the descriptors of a process.
type Descriptors struct{ total int }

// NewDescriptors divides the limit of the process, or fewer if limit isn't 0.
func NewDescriptors(limit int) Descriptors {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err == nil && (limit <= 0 || own.Cur < uint64(limit)) {
		limit = int(min(own.Cur, 1<<30))
	}
	return Descriptors{total: limit}
}

// Accepted returns how many connections a ConnLimit may admit.
func (d Descriptors) Accepted() int { return int(acceptedShare * float64(d.total)) }

// Dialed returns how many connections may be open to targets, together with those that are accepted.
func (d Descriptors) Dialed() int { return int(dialedShare * float64(d.total)) }

// DialLimit bounds the connections that are open to targets. It is safe for concurrent use; a nil DialLimit
// has no bound.
type DialLimit struct {
	limit     int
	accepted  func() int // connections that count besides
	closeIdle func()
	open      atomic.Int64
}

// NewDialLimit returns a limit on the connections that a dialer has open and those that accepted counts.
// closeIdle is called to close some of the first when the limit is reached.
func NewDialLimit(limit int, accepted func() int, closeIdle func()) *DialLimit {
	return &DialLimit{limit: limit, accepted: accepted, closeIdle: closeIdle}
}

// DialLimitError reports that no connection is opened, as descriptors are left for what keeps the process in
// service.
type DialLimitError struct{ Limit int }

func (e *DialLimitError) Error() string {
	return fmt.Sprintf("tcp: %d connections are open", e.Limit)
}

// Unwrap returns the error of a process without descriptors.
func (e *DialLimitError) Unwrap() error { return syscall.EMFILE }

// take counts a connection that is to be opened. It returns a *DialLimitError if there are too many.
func (l *DialLimit) take() error {
	if l == nil || l.tryTake() {
		return nil
	}
	l.closeIdle()
	if l.tryTake() {
		return nil
	}
	return &DialLimitError{Limit: l.limit}
}

func (l *DialLimit) tryTake() bool {
	if int(l.open.Add(1))+l.accepted() <= l.limit {
		return true
	}
	l.open.Add(-1)
	return false
}

// release counts a connection that was closed.
func (l *DialLimit) release() {
	if l != nil {
		l.open.Add(-1)
	}
}
