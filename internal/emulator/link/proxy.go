package link

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/tcp"
)

// Proxy forwards TCP connections to an address over links, to inject faults between real
// processes.
type Proxy struct {
	ln     net.Listener
	links  *Links
	from   func(dialer net.Addr) Point
	to     Point
	addr   string
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// NewProxy starts a proxy that forwards each connection of ln to addr, as from one point to
// another, until Close.
func NewProxy(ln net.Listener, links *Links, from, to Point, addr string) *Proxy {
	return NewProxyFrom(ln, links, func(net.Addr) Point { return from }, to, addr)
}

// NewProxyFrom is NewProxy for connections from several points, which from tells by the addresses of
// their dialers.
func NewProxyFrom(ln net.Listener, links *Links, from func(dialer net.Addr) Point, to Point, addr string) *Proxy {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{ln: tcp.NewRetryListener(ln, nil), links: links, from: from, to: to, addr: addr, ctx: ctx, cancel: cancel}
	p.work.Go(p.serve)
	return p
}

// Addr returns the address to connect to.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Close resets all connections and waits until they have ended.
func (p *Proxy) Close() error {
	p.cancel()
	err := p.ln.Close()
	p.work.Wait()
	return errors.Annotate(err, "Proxy.Close")
}

func (p *Proxy) serve() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.work.Go(func() { p.forward(c) })
	}
}

// forward copies one connection in both directions. If one side fails, the other is reset.
func (p *Proxy) forward(near net.Conn) {
	far, err := p.links.DialFrom(p.ctx, sourceAddr(near), p.from(near.RemoteAddr()), p.to, p.addr)
	if err != nil {
		abort(near)
		return
	}
	stop := context.AfterFunc(p.ctx, func() {
		abort(near)
		abort(far)
	})
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { copyHalf(far, near) })
	both.Go(func() { copyHalf(near, far) })
	both.Wait()
	_ = far.Close()
	_ = near.Close()
}

// sourceAddr returns the address that the far end sees: that of the dialer if it is a loopback
// address, else nil.
func sourceAddr(near net.Conn) net.Addr {
	if a, ok := near.RemoteAddr().(*net.TCPAddr); ok && a.IP.IsLoopback() {
		return &net.TCPAddr{IP: a.IP}
	}
	return nil
}

// copyHalf copies one direction and its end of stream. On an error it resets both sides.
func copyHalf(dst, src net.Conn) {
	_, err := io.Copy(dst, src)
	half, ok := dst.(interface{ CloseWrite() error })
	if err != nil || !ok {
		abort(src)
		abort(dst)
		return
	}
	_ = half.CloseWrite()
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
