//go:build linux

package procs

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/firlever/firlever/internal/emulator/link"
)

// peerProxy forwards TCP and UDP to the peer address of an instance. It identifies senders
// by their IP addresses, which gives each pair of instances its own link.
type peerProxy struct {
	links  *link.Links
	to     link.Point
	locate func(netip.Addr) link.Point
	ln     net.Listener
	packet net.PacketConn
	real   atomic.Pointer[net.UDPAddr] // peer address of the instance; nil before it listens

	mu        sync.Mutex
	listeners map[link.Point]*senderListener
	proxies   []*link.Proxy
	closed    bool
}

// senderListener is a net.Listener that passes the connections of one sender to its proxy.
type senderListener struct {
	addr  net.Addr
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *senderListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *senderListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *senderListener) Addr() net.Addr { return l.addr }

// newPeerProxy listens on one port of ip for both TCP and UDP. Packets are dropped and
// connections wait until forwardTo is called.
func newPeerProxy(ip string, links *link.Links, to link.Point, locate func(netip.Addr) link.Point) (*peerProxy, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	packet, err := net.ListenPacket("udp", ln.Addr().String())
	if err != nil {
		ln.Close()
		return nil, err
	}
	g := &peerProxy{links: links, to: to, locate: locate, ln: ln, packet: packet, listeners: map[link.Point]*senderListener{}}
	go g.forwardPackets()
	return g, nil
}

func (g *peerProxy) addr() string { return g.ln.Addr().String() }

// forwardTo starts forwarding to the instance's own address. Later calls change the address
// for packets and for senders without a connection so far.
func (g *peerProxy) forwardTo(address string) error {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return err
	}
	if g.real.Swap(udp) == nil {
		go g.accept()
	}
	return nil
}

func (g *peerProxy) accept() {
	for {
		c, err := g.ln.Accept()
		if err != nil {
			return
		}
		l := g.listenerFor(g.locate(ipOf(c.RemoteAddr())))
		if l == nil {
			c.Close()
			return
		}
		select {
		case l.conns <- c:
		case <-l.done:
			c.Close()
		}
	}
}

// listenerFor returns the listener of a sender, and starts its proxy on first use. It
// returns nil after close.
func (g *peerProxy) listenerFor(from link.Point) *senderListener {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	l := g.listeners[from]
	if l == nil {
		l = &senderListener{addr: g.ln.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}
		g.listeners[from] = l
		g.proxies = append(g.proxies, link.NewProxy(l, g.links, from, g.to, g.real.Load().String()))
	}
	return l
}

func (g *peerProxy) forwardPackets() {
	out := map[link.Point]net.PacketConn{}
	buf := make([]byte, 64<<10)
	for {
		n, addr, err := g.packet.ReadFrom(buf)
		if err != nil {
			return
		}
		instance := g.real.Load()
		if instance == nil {
			continue
		}
		from := g.locate(ipOf(addr))
		if out[from] == nil {
			out[from] = g.links.PacketConn(g.packet, from, func(net.Addr) link.Point { return g.to })
		}
		_, _ = out[from].WriteTo(buf[:n], instance)
	}
}

func (g *peerProxy) close() {
	g.ln.Close()
	g.packet.Close()
	g.mu.Lock()
	g.closed = true
	proxies := g.proxies
	g.mu.Unlock()
	for _, p := range proxies {
		p.Close()
	}
}

func ipOf(a net.Addr) netip.Addr {
	ap, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}
