package tcp

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"testing"
)

// admitted is a connection of a test, and whether it was closed.
type admitted struct {
	net.Conn
	closed bool
}

func (c *admitted) Close() error {
	c.closed = true
	return nil
}

// At the limit a new connection replaces the one that has waited longest at the port with the most.
func TestConnLimitReplacesTheLongestWaiting(t *testing.T) {
	var closed []string
	g := NewConnLimit(4, func(port string, reason CloseReason) { closed = append(closed, port+" "+string(reason)) })
	many, few := g.Port("many"), g.Port("few")
	var conns []*admitted
	var slots []*Slot
	admit := func(p *Port) bool {
		c := &admitted{}
		s, ok := p.Admit(c)
		conns, slots = append(conns, c), append(slots, s)
		return ok
	}
	for range 3 {
		admit(many)
	}
	admit(few)
	if !slots[0].Begin() {
		t.Fatal("got no request begun on an open connection")
	}
	if !admit(many) || !conns[1].closed || conns[0].closed {
		t.Errorf("got closed %v, %v, want the second, which waits longest", conns[0].closed, conns[1].closed)
	}
	if slots[1].Begin() {
		t.Error("got a request begun on a closed connection")
	}
	slots[0].End()
	if !admit(many) || !conns[2].closed || conns[3].closed {
		t.Errorf("got the third closed %v and the only one of the other port %v, want the third", conns[2].closed, conns[3].closed)
	}
	if want := []string{"many replaced", "many replaced"}; !slices.Equal(closed, want) {
		t.Errorf("got %v, want %v", closed, want)
	}
	for _, s := range slots {
		s.Release()
		s.Release()
	}
	if got := g.Open(); got != 0 {
		t.Errorf("got %d open, want 0", got)
	}
}

// Connections with requests in progress are never closed for new ones, and each port keeps its reserve.
func TestConnLimitFull(t *testing.T) {
	g := NewConnLimit(16, nil)
	busy, idle := g.Port("busy"), g.Port("idle")
	for range 16 {
		s, _ := busy.Admit(&admitted{})
		s.Begin()
	}
	c := &admitted{}
	if _, ok := busy.Admit(c); ok || !c.closed {
		t.Error("got one more connection admitted, want it closed")
	}
	if _, ok := idle.Admit(&admitted{}); !ok {
		t.Error("got no connection admitted at a port that has none, want its reserve")
	}
}

// Connections to targets leave descriptors for the store and other instances.
func TestDialLimit(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var idle, conns []net.Conn
	d := NewDialer("").Limited(NewDialLimit(3, func() int { return 1 }, func() {
		for _, c := range idle {
			c.Close()
		}
	}))
	for range 2 {
		c, err := d.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	_, err = d.Dial("tcp", ln.Addr().String())
	var full *DialLimitError
	if !errors.As(err, &full) || !errors.Is(err, syscall.EMFILE) || !LacksResources(err) {
		t.Errorf("got %v, want a *DialLimitError that counts as a lack of descriptors", err)
	}
	conns[0].Close()
	conns[0].Close()
	c, err := d.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatalf("got %v after one was closed, want a connection", err)
	}
	idle = []net.Conn{c}
	if _, err := d.Dial("tcp", ln.Addr().String()); err != nil {
		t.Errorf("got %v although one was idle, want that closed for a connection", err)
	}
	conns[1].Close()
}
