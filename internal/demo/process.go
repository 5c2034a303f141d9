package demo

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/instance"
	"github.com/firlever/firlever/platform"
)

// process is one running instance with all connections that it has dialled, which
// allows it to be killed as an operating system process is.
type process struct {
	placement
	instance *instance.Instance
	client   *docstore.Client
	conns    *connections
}

// kill ends the instance as SIGKILL would: all connections are closed, and
// goroutines that are still running reach no other process.
func (p *process) kill() {
	p.conns.freeze()
	p.instance.Kill()
	p.conns.closeAll()
	p.client.Close()
}

// connections holds the open connections that a process has dialled. It is safe for concurrent use.
type connections struct {
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	isTarget func(address string) bool

	mu          sync.Mutex
	frozen      bool                     // no new connections are opened; guarded by mu
	partitioned bool                     // targets refuse new connections; guarded by mu
	open        map[*connection]struct{} // guarded by mu
}

type connection struct {
	net.Conn
	owner    *connections
	toTarget bool
}

// Close closes the connection and removes it from the open ones.
func (c *connection) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// Dial opens a connection. In a frozen process it blocks until ctx ends and returns
// its error, since the instance would react to an earlier one.
func (c *connections) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if c.isFrozen() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	raw, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &connection{Conn: raw, owner: c, toTarget: c.isTarget(address)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen {
		raw.Close()
		return nil, net.ErrClosed
	}
	if c.partitioned && conn.toTarget {
		raw.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	c.open[conn] = struct{}{}
	return conn, nil
}

func (c *connections) isFrozen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frozen
}

func (c *connections) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen = true
}

// partition closes the connections to targets and has new ones refused until heal.
func (c *connections) partition() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = true
	for conn := range c.open {
		if conn.toTarget {
			conn.Conn.Close()
			delete(c.open, conn)
		}
	}
}

func (c *connections) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = false
}

func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		conn.Conn.Close()
	}
	clear(c.open)
}

// portTries is the number of attempts to start an instance: the UDP port with the
// number of the chosen TCP port may be taken.
const portTries = 20

// startProcess starts a new incarnation of an instance.
func (f *fleet) startProcess(pl placement) (*process, error) {
	var err error
	for range portTries {
		var p *process
		if p, err = f.newProcess(pl); err == nil {
			for _, a := range []string{p.instance.Callers(), p.instance.Peers()} {
				f.directory.add(a, link.At(pl.place))
			}
			p.instance.Start()
			return p, nil
		}
	}
	return nil, errors.Annotatef(err, "fleet.startProcess %s", pl.id)
}

func (f *fleet) newProcess(pl placement) (*process, error) {
	at := link.At(pl.place)
	p := &process{placement: pl, client: docstore.NewClient(platform.NewStore(f.proxies[pl.place].Addr()))}
	p.conns = &connections{dial: f.links.Dialer(at, f.directory.locate), isTarget: f.directory.isTarget, open: make(map[*connection]struct{})}
	place, _ := f.snapshot.Place(pl.place)
	cfg := instance.Config{
		ID: pl.id, Callers: loopback, Peers: loopback, Operators: loopback,
		Place: pl.place, Domain: place.Domain, Region: place.Region, Join: f.instances.peerAddresses(pl.place),
		Policy: f.cfg.Policy, Store: p.client, Dial: p.conns.Dial,
		Packet: func(address string) (net.PacketConn, error) {
			c, err := net.ListenPacket("udp", address)
			if err != nil {
				return nil, err
			}
			return f.links.PacketConn(c, at, f.directory.locateAddr), nil
		},
		Checks: f.instanceChecks, Log: f.cfg.Log,
	}
	var err error
	p.instance, err = instance.New(cfg)
	return p, err
}
