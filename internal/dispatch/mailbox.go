package dispatch

import (
	"sync"

	"github.com/firlever/firlever/internal/core"
)

// Mailbox holds the decisions about one request until its goroutine acts on
// them. It takes any number, so that the node is never held up.
type Mailbox struct {
	ready chan struct{} // has one element when list may have some

	mu   sync.Mutex
	list []core.Decision // guarded by mu
}

func newMailbox() *Mailbox { return &Mailbox{ready: make(chan struct{}, 1)} }

// Ready gives a value when there may be decisions to take.
func (m *Mailbox) Ready() <-chan struct{} { return m.ready }

// Take empties the mailbox, oldest decision first.
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
