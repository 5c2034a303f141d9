package dispatch

import (
	"sync"

	"github.com/firlever/firlever/internal/core"
)

// Mailbox queues the decisions on one request until its goroutine takes them. It is
// unbounded, as delivery must not block the node.
type Mailbox struct {
	ready chan struct{} // holds a token when list may not be empty

	mu   sync.Mutex
	list []core.Decision // guarded by mu
}

func newMailbox() *Mailbox { return &Mailbox{ready: make(chan struct{}, 1)} }

// Ready returns a channel that yields a value when there may be decisions to take.
func (m *Mailbox) Ready() <-chan struct{} { return m.ready }

// Take removes and returns all queued decisions, oldest first.
func (m *Mailbox) Take() []core.Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.list
	m.list = nil
	return list
}

func (m *Mailbox) put(d core.Decision) {
	m.mu.Lock()
	m.list = append(m.list, d)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}
