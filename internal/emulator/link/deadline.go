package link

import (
	"sync"
	"time"
)

// deadline is one that may be moved while others wait for it.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	done  chan struct{} // closed when the deadline has passed
}

func newDeadline() *deadline { return &deadline{done: make(chan struct{})} }

func (d *deadline) expired() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}

// set moves the deadline; the zero time sets none.
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

// reset makes a new channel for later waits. The old one may be closed late by
// a timer that has fired.
func (d *deadline) reset() { d.done = make(chan struct{}) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
