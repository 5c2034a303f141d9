// Package dispatch serializes access to the node, which only makes decisions, and
// delivers them to the goroutines that carry them out.
package dispatch

import (
	"net/netip"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/pkg/settings"
)

// Dispatcher guards a node with a lock and delivers each decision to the mailbox
// of its request. It is safe for concurrent use.
type Dispatcher struct {
	now        func() time.Time
	tickNeeded chan struct{}       // holds a token after a step that leaves something waiting for a Tick
	control    func(core.Decision) // handles decisions that belong to no request; must not block

	mu        sync.Mutex
	node      *core.Node           // guarded by mu
	lastID    core.ID              // of the latest request; guarded by mu
	mailboxes map[core.ID]*Mailbox // by open request; guarded by mu
}

// New returns a dispatcher for a node. control is called with the lock held for
// each decision that belongs to no request; it must not block or call the
// dispatcher.
func New(node *core.Node, now func() time.Time, control func(core.Decision)) *Dispatcher {
	return &Dispatcher{
		now:        now,
		control:    control,
		tickNeeded: make(chan struct{}, 1),
		node:       node,
		mailboxes:  make(map[core.ID]*Mailbox),
	}
}

// Now returns the time by the clock that drives the node.
func (d *Dispatcher) Now() time.Time { return d.now() }

// Open allocates the ID of a new request and the mailbox for its decisions.
func (d *Dispatcher) Open() (core.ID, *Mailbox) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	m := newMailbox()
	d.mailboxes[d.lastID] = m
	return d.lastID, m
}

// Close ends a request and removes its mailbox. If the request has no final answer,
// because its handler was aborted, the node cancels it and releases what it holds.
func (d *Dispatcher) Close(id core.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.mailboxes, id)
	d.step(core.Cancelled{ID: id})
	d.step(core.Finished{ID: id, Result: core.Failed, Final: true, CallerGone: true})
}

// Step passes an event to the node and delivers the resulting decisions.
func (d *Dispatcher) Step(ev core.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(ev)
}

func (d *Dispatcher) step(ev core.Event) {
	for _, dec := range d.node.Step(d.now(), ev) {
		d.deliver(dec)
	}
	if !d.node.Waiting() {
		return
	}
	select {
	case d.tickNeeded <- struct{}{}:
	default: // a token is pending already
	}
}

// TickNeeded returns a channel that holds a token after a step that leaves something
// waiting for time to pass: the next core.Tick is then due soon.
func (d *Dispatcher) TickNeeded() <-chan struct{} { return d.tickNeeded }

// deliver puts a decision into the mailbox of its request, or passes it to control.
// It doesn't block. A decision for a closed request is dropped. The caller holds
// mu.
func (d *Dispatcher) deliver(dec core.Decision) {
	id, ok := core.RequestOf(dec)
	if !ok {
		d.control(dec)
		return
	}
	if m, ok := d.mailboxes[id]; ok {
		m.put(dec)
	}
}

// Lookup answers a caller's lookup of a service.
func (d *Dispatcher) Lookup(id settings.ServiceID, caller netip.Addr, keys int) (core.Lookup, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Lookup(d.now(), id, caller, keys)
}

// Offer answers a peer's request for grants.
func (d *Dispatcher) Offer(a core.Ask) core.Offer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Offer(d.now(), a)
}

// WithNode calls f with the node locked. f must not retain the node.
func (d *Dispatcher) WithNode(f func(now time.Time, n *core.Node)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.now(), d.node)
}
