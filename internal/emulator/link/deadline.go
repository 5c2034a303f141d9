package link

import (
	"sync"
	"time"
)

// deadline is one that may be moved while others wait for it.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	past  chan struct{} // closed when the deadline has passed
}

func newDeadline() *deadline { return &deadline{past: make(chan struct{})} }

func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.past
}

// set moves the deadline; the zero time sets none.
func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fired := d.timer != nil && !d.timer.Stop()
	d.timer = nil
	if fired || isClosed(d.past) {
		d.renew()
	}
	if at.IsZero() {
		return
	}
	past := d.past
	wait := time.Until(at)
	if wait <= 0 {
		close(past)
		return
	}
	d.timer = time.AfterFunc(wait, func() { close(past) })
}

// renew makes a new channel for later waits. The old one may be closed late by
// a timer that has fired.
func (d *deadline) renew() { d.past = make(chan struct{}) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
