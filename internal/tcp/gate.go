package tcp

import (
	"container/list"
	"net"
	"sync"
)

// Gate bounds the connections that a process accepts on all of its ports together. If a further one
// comes, it closes the one that has waited longest for a request at the port with the most connections.
// It is safe for concurrent use; a nil Gate has no bound.
type Gate struct {
	limit   int
	reserve int // places that each port has although the gate is full
	onClose func(port string, reason GateReason)

	mu    sync.Mutex
	open  int // guarded by mu
	ports []*Port
}

// GateReason is why a Gate has closed a connection.
type GateReason string

// Reasons of a Gate.
const (
	GateReplaced GateReason = "replaced" // it waited for a request, and a new one took its place
	GateFull     GateReason = "full"     // it was new, and all others have requests in progress
)

// portReserve is the fraction of the limit that each port may always have, so that one port's requests in
// progress don't keep connections from the others.
const portReserve = 1.0 / 16

// NewGate returns a gate for limit connections, and portReserve more for each port. onClose is called for each that is closed; it may be nil.
func NewGate(limit int, onClose func(port string, reason GateReason)) *Gate {
	if onClose == nil {
		onClose = func(string, GateReason) {}
	}
	return &Gate{limit: max(1, limit), reserve: max(1, int(portReserve*float64(limit))), onClose: onClose}
}

// Port returns a new port, whose connections count for the gate.
func (g *Gate) Port(name string) *Port {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := &Port{gate: g, name: name}
	g.ports = append(g.ports, p)
	return p
}

// Limit returns how many connections may be open beside the reserves of the ports; 0 if there is no bound.
func (g *Gate) Limit() int {
	if g == nil {
		return 0
	}
	return g.limit
}

// Open returns how many connections are open.
func (g *Gate) Open() int {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Port is a port of a Gate. It is safe for concurrent use; a nil Port has no bound.
type Port struct {
	gate    *Gate
	name    string
	open    int       // guarded by gate.mu
	waiting list.List // *Slot without a request in progress, the one that waits longest first; guarded by gate.mu
}

// Admit counts a new connection. If there is no place for it, it closes the connection and returns false.
func (p *Port) Admit(c net.Conn) (*Slot, bool) {
	if p == nil {
		return nil, true
	}
	s := &Slot{port: p, conn: c}
	replaced, ok := p.gate.admit(s)
	if replaced != nil {
		replaced.conn.Close()
		p.gate.onClose(replaced.port.name, GateReplaced)
	}
	if !ok {
		c.Close()
		p.gate.onClose(p.name, GateFull)
		return nil, false
	}
	return s, true
}

// admit counts a connection, and returns the one that it replaces. It returns false if there is no place.
func (g *Gate) admit(s *Slot) (replaced *Slot, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open >= g.limit && s.port.open >= g.reserve {
		if replaced = g.longestWaiting(); replaced == nil {
			return nil, false
		}
		replaced.release()
	}
	g.open++
	s.port.open++
	s.waiting = s.port.waiting.PushBack(s)
	return replaced, true
}

// longestWaiting returns the connection that has waited longest at the port with the most connections, of
// those where any waits; nil if none does. g.mu is held.
func (g *Gate) longestWaiting() *Slot {
	var most *Port
	for _, p := range g.ports {
		if p.waiting.Len() > 0 && (most == nil || p.open > most.open) {
			most = p
		}
	}
	if most == nil {
		return nil
	}
	return most.waiting.Front().Value.(*Slot)
}

// Slot is the place of a connection. It is safe for concurrent use; a nil Slot is one without a Gate.
type Slot struct {
	port     *Port
	conn     net.Conn
	requests int           // in progress; guarded by gate.mu
	waiting  *list.Element // in port.waiting; nil while requests > 0 or released; guarded by gate.mu
	released bool          // guarded by gate.mu
}

// Begin records that a whole request was received. It returns false if the connection was closed for another.
func (s *Slot) Begin() bool {
	if s == nil {
		return true
	}
	g := s.port.gate
	g.mu.Lock()
	defer g.mu.Unlock()
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
	g := s.port.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	s.requests--
	if s.requests == 0 && !s.released {
		s.waiting = s.port.waiting.PushBack(s)
	}
}

// Release gives the place back when the connection is closed. It may be called more than once.
func (s *Slot) Release() {
	if s == nil {
		return
	}
	g := s.port.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	s.release()
}

func (s *Slot) release() {
	if s.released {
		return
	}
	s.released = true
	s.leaveWaiting()
	s.port.open--
	s.port.gate.open--
}

func (s *Slot) leaveWaiting() {
	if s.waiting != nil {
		s.port.waiting.Remove(s.waiting)
		s.waiting = nil
	}
}
