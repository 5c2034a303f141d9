package link

import (
	"sync"
	"time"
)

// deadline is a deadline that may be moved while readers or writers wait for it.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	done  chan struct{} // closed when the deadline has passed
}

func newDeadline() *deadline { return &deadline{done: make(chan struct{})} }

// expired returns a channel that is closed when the deadline passes.
func (d *deadline) expired() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}

// set moves the deadline; the zero time clears it.
func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fired := d.timer != nil && !d.timer.Stop()
	d.timer = nil
	if fired || isClosed(d.done) {
		d.reset()
	}
	if at.IsZero() {
		return
	}
	done := d.done
	wait := time.Until(at)
	if wait <= 0 {
		close(done)
		return
	}
	d.timer = time.AfterFunc(wait, func() { close(done) })
}

// reset replaces the channel for later waits, as a timer that has fired may still close the old
// one. d.mu is held.
func (d *deadline) reset() { d.done = make(chan struct{}) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
