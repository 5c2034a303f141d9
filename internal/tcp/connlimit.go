package tcp

import (
	"container/list"
	"net"
	"sync"
)

// ConnLimit bounds the connections that a process accepts on all of its ports together. If a further one
// comes, it closes the one that has waited longest for a request at the port with the most connections.
// It is safe for concurrent use; a nil ConnLimit has no bound.
type ConnLimit struct {
	limit   int
	reserve int // connections that each port may have although the limit is reached
	onClose func(port string, reason CloseReason)

	mu    sync.Mutex
	open  int // guarded by mu
	ports []*Port
}

// CloseReason is why a ConnLimit has closed a connection.
type CloseReason string

// Reasons of a ConnLimit.
const (
	ClosedReplaced CloseReason = "replaced" // it waited for a request, and was closed for a new one
	ClosedFull     CloseReason = "full"     // it was new, and all others have requests in progress
)

// portReserve is the fraction of the limit that each port may always have, so that one port's requests in
// progress don't keep connections from the others.
const portReserve = 1.0 / 16

// NewConnLimit returns a limit of as many connections, and portReserve more for each port. onClose is called for
// each that is closed; it may be nil.
func NewConnLimit(limit int, onClose func(port string, reason CloseReason)) *ConnLimit {
	if onClose == nil {
		onClose = func(string, CloseReason) {}
	}
	return &ConnLimit{limit: max(1, limit), reserve: max(1, int(portReserve*float64(limit))), onClose: onClose}
}

// Port returns a new port, whose connections count for it.
func (l *ConnLimit) Port(name string) *Port {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &Port{limit: l, name: name}
	l.ports = append(l.ports, p)
	return p
}

// Limit returns how many connections may be open beside the reserves of the ports; 0 if there is no bound.
func (l *ConnLimit) Limit() int {
	if l == nil {
		return 0
	}
	return l.limit
}

// Open returns how many connections are open.
func (l *ConnLimit) Open() int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Port is a port of a ConnLimit. It is safe for concurrent use; a nil Port has no bound.
type Port struct {
	limit   *ConnLimit
	name    string
	open    int       // guarded by limit.mu
	waiting list.List // *Slot without a request in progress, the one that waits longest first; guarded by limit.mu
}

// Admit counts a new connection. If there are too many, it closes the connection and returns false.
func (p *Port) Admit(c net.Conn) (*Slot, bool) {
	if p == nil {
		return nil, true
	}
	s := &Slot{port: p, conn: c}
	replaced, ok := p.limit.admit(s)
	if replaced != nil {
		replaced.conn.Close()
		p.limit.onClose(replaced.port.name, ClosedReplaced)
	}
	if !ok {
		c.Close()
		p.limit.onClose(p.name, ClosedFull)
		return nil, false
	}
	return s, true
}

// admit counts a connection, and returns the one that it replaces. It returns false if there are too many.
func (l *ConnLimit) admit(s *Slot) (replaced *Slot, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit && s.port.open >= l.reserve {
		if replaced = l.longestWaiting(); replaced == nil {
			return nil, false
		}
		replaced.release()
	}
	l.open++
	s.port.open++
	s.waiting = s.port.waiting.PushBack(s)
	return replaced, true
}

// longestWaiting returns the connection that has waited longest at the port with the most connections, of
// those where any waits; nil if none does. l.mu is held.
func (l *ConnLimit) longestWaiting() *Slot {
	var most *Port
	for _, p := range l.ports {
		if p.waiting.Len() > 0 && (most == nil || p.open > most.open) {
			most = p
		}
	}
	if most == nil {
		return nil
	}
	return most.waiting.Front().Value.(*Slot)
}

// Slot counts a connection. It is safe for concurrent use; a nil Slot is one without a ConnLimit.
type Slot struct {
	port     *Port
	conn     net.Conn
	requests int           // in progress; guarded by limit.mu
	waiting  *list.Element // in port.waiting; nil while requests > 0 or released; guarded by limit.mu
	released bool          // guarded by limit.mu
}

// Begin records that a whole request was received. It returns false if the connection was closed for another.
func (s *Slot) Begin() bool {
	if s == nil {
		return true
	}
	l := s.port.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.released {
		return false
	}
	s.requests++
	s.leaveWaiting()
	return true
}

// End records that a request has ended.
func (s *Slot) End() {
	if s == nil {
		return
	}
	l := s.port.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	s.requests--
	if s.requests == 0 && !s.released {
		s.waiting = s.port.waiting.PushBack(s)
	}
}

// Release ceases to count the connection when it is closed. It may be called more than once.
func (s *Slot) Release() {
	if s == nil {
		return
	}
	l := s.port.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	s.release()
}

func (s *Slot) release() {
	if s.released {
		return
	}
	s.released = true
	s.leaveWaiting()
	s.port.open--
	s.port.limit.open--
}

func (s *Slot) leaveWaiting() {
	if s.waiting != nil {
		s.port.waiting.Remove(s.waiting)
		s.waiting = nil
	}
}
