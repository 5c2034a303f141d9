// Package dispatch stands between the node, which only decides, and the
// goroutines that carry its decisions out.
package dispatch

import (
	"net/netip"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/pkg/settings"
)

// Dispatcher guards a node and passes each decision to whom it concerns. It is
// safe for concurrent use.
type Dispatcher struct {
	now        func() time.Time
	tickNeeded chan struct{}       // holds a token after a step that leaves something waiting
	control    func(core.Decision) // takes decisions that belong to no request; must not block

	mu        sync.Mutex
	node      *core.Node // guarded by mu
	lastID    core.ID
	mailboxes map[core.ID]*Mailbox // one for each open request
}

// New makes a dispatcher for a node. control is called for each decision that
// is not about a request; it must not block, nor call the dispatcher.
func New(node *core.Node, now func() time.Time, control func(core.Decision)) *Dispatcher {
	return &Dispatcher{
		now:        now,
		control:    control,
		tickNeeded: make(chan struct{}, 1),
		node:       node,
		mailboxes:  make(map[core.ID]*Mailbox),
	}
}

// Now is the time by the clock that the node is driven by.
func (d *Dispatcher) Now() time.Time { return d.now() }

// Open gives a new request its id and the mailbox of its decisions.
func (d *Dispatcher) Open() (core.ID, *Mailbox) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	m := newMailbox()
	d.mailboxes[d.lastID] = m
	return d.lastID, m
}

// Close ends a request. If it has had no final answer, because its handler
// broke off, the node is told, so that nothing of it is left behind.
func (d *Dispatcher) Close(id core.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.mailboxes, id)
	d.step(core.Cancelled{ID: id})
	d.step(core.Finished{ID: id, Result: core.Failed, Final: true, Gone: true})
}

// Step tells the node of an event and passes its decisions on.
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
	default: // it is told already
	}
}

// Waiting gives a token after a step that leaves something to wait for time to
// pass: the next core.Tick is then due soon.
func (d *Dispatcher) Waiting() <-chan struct{} { return d.tickNeeded }

// deliver never blocks. A decision for a request that has closed is dropped.
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

// Lookup answers a caller's look-up.
func (d *Dispatcher) Lookup(id settings.ServiceID, caller netip.Addr, keys int) (core.Lookup, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Lookup(d.now(), id, caller, keys)
}

// Offer answers a peer that asks for grants.
func (d *Dispatcher) Offer(a core.Ask) core.Offer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Offer(d.now(), a)
}

// Read runs f with the node locked. f must not keep the node.
func (d *Dispatcher) Read(f func(now time.Time, n *core.Node)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.now(), d.node)
}
