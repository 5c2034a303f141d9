package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/member"
	"github.com/firlever/firlever/internal/wire"
)

// hub connects sockets in memory. Packets to a full or closed socket are lost.
type hub struct {
	mu    sync.Mutex
	conns map[string]*conn
}

type conn struct {
	net.PacketConn // nil: only the methods that UDP calls are implemented
	hub            *hub
	in             chan []byte
	closed         chan struct{}
	once           sync.Once
}

func (h *hub) listen(addr string) *conn {
	c := &conn{hub: h, in: make(chan []byte, 64), closed: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns[addr] = c
	return c
}

func (c *conn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case data := <-c.in:
		return copy(b, data), nil, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *conn) WriteTo(b []byte, addr net.Addr) (int, error) {
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	if to := c.hub.conns[addr.String()]; to != nil {
		select {
		case to.in <- append([]byte(nil), b...):
		default:
		}
	}
	return len(b), nil
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func newList(t *testing.T, id, addr string, seeds ...string) *member.List {
	t.Helper()
	l, err := member.New(member.Config{
		Self:  docstore.Instance{ID: id, Incarnation: 1, PeerAddress: addr, Place: "bne-north", Domain: "bne"},
		Seeds: seeds,
	}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestUDP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const addrA, addrB = "127.0.0.1:7001", "127.0.0.1:7002"
		h := &hub{conns: map[string]*conn{}}
		var mu sync.Mutex
		var kinds []member.ChangeKind
		var accepted int
		a := NewUDP(h.listen(addrA), newList(t, "a", addrA), Hooks{Received: func(time.Time, *wire.Packet) {
			mu.Lock()
			defer mu.Unlock()
			accepted++
		}, Changed: func(changes []member.Change) {
			mu.Lock()
			defer mu.Unlock()
			for _, c := range changes {
				kinds = append(kinds, c.Kind)
			}
		}})
		b := NewUDP(h.listen(addrB), newList(t, "b", addrB, addrA), Hooks{})
		ctxA, stopA := context.WithCancel(t.Context())
		ctxB, stopB := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() {
			if err := a.Run(ctxA); err != nil {
				t.Errorf("got %v, want nil", err)
			}
		})
		wg.Go(func() { _ = b.Run(ctxB) })
		time.Sleep(3 * time.Second)
		for _, garbage := range [][]byte{{}, {0xff}, make([]byte, 5000), []byte("GET / HTTP/1.1")} {
			h.conns[addrA].in <- garbage
		}
		time.Sleep(2 * time.Second)
		stopB()
		time.Sleep(9 * time.Second)
		stopA()
		wg.Wait()
		want := []member.ChangeKind{member.BecameAlive, member.BecameSuspect, member.BecameDead}
		if len(kinds) != 3 || kinds[0] != want[0] || kinds[1] != want[1] || kinds[2] != want[2] {
			t.Errorf("got changes %v, want %v", kinds, want)
		}
		if got := a.Counts(); got.Undecodable != 4 || accepted == 0 || got.Sent == 0 {
			t.Errorf("got %+v and %d packets accepted, want 4 undecodable, some sent and accepted", got, accepted)
		}
	})
}

func TestRunOverLoopback(t *testing.T) {
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	other, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	addr := other.LocalAddr().String()
	u := NewUDP(pc, newList(t, "a", pc.LocalAddr().String(), addr), Hooks{})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- u.Run(ctx) }()
	buf := make([]byte, 2000)
	n, _, err := other.ReadFrom(buf) // the ping to the seed
	if err != nil {
		t.Fatal(err)
	}
	p, err := Decode(buf[:n])
	if err != nil || p.GetFrom() != "a" || p.GetKind() != wire.Kind_KIND_PING {
		t.Errorf("got %v, %v, want a ping from a", p, err)
	}
	stop()
	if err := <-done; err != nil {
		t.Errorf("got %v, want nil", err)
	}
}

func FuzzDecode(f *testing.F) {
	data, err := proto.Marshal(&wire.Packet{From: "a", Kind: wire.Kind_KIND_PING, News: []*wire.News{{Id: "b"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xff})
	f.Add(make([]byte, wire.MaxPacket+1))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := Decode(data)
		var size *SizeError
		var decode *DecodeError
		if err != nil && !errors.As(err, &size) && !errors.As(err, &decode) {
			t.Errorf("got %T, want a typed error", err)
		}
		if (err == nil) != (p != nil) {
			t.Errorf("got %v with error %v", p, err)
		}
	})
}
