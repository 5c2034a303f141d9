package instance

import (
	"context"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/platform"
)

// network carries packets and connections in memory, so that whole instances
// run in virtual time. Hosts are told apart by IP.
type network struct {
	mu        sync.Mutex
	packets   map[string]*packets
	listeners map[string]*listener
	cut       func(from, to string) bool // by IP; nil cuts nothing
}

func newNetwork() *network {
	return &network{packets: make(map[string]*packets), listeners: make(map[string]*listener)}
}

// setCut replaces what is cut; open connections stay.
func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(host(from), host(to))
}

func host(address string) string {
	h, _, _ := net.SplitHostPort(address)
	return h
}

// packets is a UDP socket.
type packets struct {
	net     *network
	address string
	queue   chan []byte
	closed  chan struct{}
	once    sync.Once
}

func (n *network) packet(address string) (net.PacketConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := &packets{net: n, address: address, queue: make(chan []byte, 1024), closed: make(chan struct{})}
	n.packets[address] = p
	return p, nil
}

func (p *packets) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case data := <-p.queue:
		return copy(b, data), p.LocalAddr(), nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

func (p *packets) WriteTo(b []byte, to net.Addr) (int, error) {
	if p.net.isCut(p.address, to.String()) {
		return len(b), nil
	}
	p.net.mu.Lock()
	other := p.net.packets[to.String()]
	p.net.mu.Unlock()
	if other != nil {
		select {
		case other.queue <- append([]byte(nil), b...):
		default: // lost
		}
	}
	return len(b), nil
}

func (p *packets) Close() error {
	p.once.Do(func() {
		close(p.closed)
		p.net.mu.Lock()
		defer p.net.mu.Unlock()
		if p.net.packets[p.address] == p {
			delete(p.net.packets, p.address)
		}
	})
	return nil
}

func (p *packets) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(netip.MustParseAddrPort(p.address))
}
func (p *packets) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (p *packets) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (p *packets) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// listener is a TCP socket that listens.
type listener struct {
	net     *network
	address string
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (n *network) listen(_, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{net: n, address: address, queue: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(l.address))
}

// dialer dials as the host with this IP.
func (n *network) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		if n.isCut(net.JoinHostPort(from, "0"), to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		}
		ours, theirs := net.Pipe()
		select {
		case l.queue <- theirs:
			return ours, nil
		case <-l.closed:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// door is one instance's way to the platform. It can be shut, and counts calls.
type door struct {
	docstore.Store
	mu    sync.Mutex
	shut  bool
	calls map[string]int
}

func (d *door) pass(call string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[call]++
	if d.shut {
		return &docstore.UnavailableError{Call: call, Err: syscall.ECONNREFUSED}
	}
	return nil
}

func (d *door) set(shut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = shut
}

// take returns the counts so far and begins anew.
func (d *door) take() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	calls := d.calls
	d.calls = make(map[string]int)
	return calls
}

func (d *door) Get(ctx context.Context, path string) (docstore.Entry, error) {
	if err := d.pass("get"); err != nil {
		return docstore.Entry{}, err
	}
	return d.Store.Get(ctx, path)
}

func (d *door) List(ctx context.Context, prefix string) ([]docstore.Entry, platform.Revision, error) {
	if err := d.pass("list"); err != nil {
		return nil, platform.Revision{}, err
	}
	return d.Store.List(ctx, prefix)
}

func (d *door) Swap(ctx context.Context, path string, version uint64, value []byte) (docstore.Entry, error) {
	if err := d.pass("swap"); err != nil {
		return docstore.Entry{}, err
	}
	return d.Store.Swap(ctx, path, version, value)
}

func (d *door) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]docstore.Entry, platform.Revision, error) {
	if err := d.pass("watch"); err != nil {
		return nil, platform.Revision{}, err
	}
	return d.Store.Watch(ctx, prefix, after, wait)
}

func (d *door) Restore(ctx context.Context, e docstore.Entry) error {
	if err := d.pass("restore"); err != nil {
		return err
	}
	return d.Store.Restore(ctx, e)
}

func (d *door) Register(ctx context.Context, in docstore.Instance) error {
	if err := d.pass("register"); err != nil {
		return err
	}
	return d.Store.Register(ctx, in)
}

func (d *door) Instances(ctx context.Context) ([]docstore.Instance, platform.Revision, error) {
	if err := d.pass("instances"); err != nil {
		return nil, platform.Revision{}, err
	}
	return d.Store.Instances(ctx)
}

// domainOf is the failure domain of a host of the tests: 10.D.x.y is in d<D>.
func domainOf(ip string) string { return "d" + strings.Split(ip, ".")[1] }
