package link

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// conn is a connection with a delay line in each direction. It wraps the dialer's end and
// emulates the network: the lines hold the bytes that are in transit.
type conn struct {
	net.Conn
	out, in       *delayLine
	readDeadline  *deadline
	writeDeadline *deadline
	closeOnce     sync.Once
	closed        chan struct{} // Close was called
}

// bufferLen is the size of a read, and of the largest chunk in a delay line.
const bufferLen = 32 << 10

// DialContext dials addr over TCP as from one point to another. It takes one round trip, and
// waits while the path is cut, until ctx ends at the latest.
func (l *Links) DialContext(ctx context.Context, from, to Point, addr string) (net.Conn, error) {
	return l.DialFrom(ctx, nil, from, to, addr)
}

// DialFrom is DialContext from a local address; if that is nil, the system chooses one.
func (l *Links) DialFrom(ctx context.Context, local net.Addr, from, to Point, addr string) (net.Conn, error) {
	out, in := l.path(from, to), l.path(to, from)
	if err := awaitCrossing(ctx, out); err != nil {
		return nil, dialError(addr, err)
	}
	d := net.Dialer{LocalAddr: local}
	c, err := d.DialContext(ctx, "tcp", addr)
	if crossErr := awaitCrossing(ctx, in); crossErr != nil {
		if c != nil {
			_ = c.Close()
		}
		return nil, dialError(addr, crossErr)
	}
	if err != nil {
		return nil, errors.Annotate(err, "Links.DialContext")
	}
	return newConn(c, out, in), nil
}

// Dialer returns a dial function for an http.Transport; locate maps an address to its point.
func (l *Links) Dialer(from Point, locate func(addr string) Point) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		return l.DialContext(ctx, from, locate(addr), addr)
	}
}

func dialError(addr string, err error) error {
	return errors.Annotatef(&net.OpError{Op: "dial", Net: "tcp", Err: err}, "Links.DialContext %s", addr)
}

// awaitCrossing waits for the time in which one packet crosses p, with retransmissions while p
// is cut. It returns ECONNREFUSED if p refuses, or the error of ctx.
func awaitCrossing(ctx context.Context, p *path) error {
	f, changed := p.state()
	for f.Partition && !f.Refuse {
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		f, changed = p.state()
	}
	if f.Refuse || f.RefuseNew {
		return syscall.ECONNREFUSED
	}
	d := p.oneWay(f)
	if p.links.chance(f.Loss) {
		d += retransmitDelay
	}
	if d == 0 {
		return nil
	}
	if !p.links.clock.SleepUntil(ctx, time.Now().Add(d)) {
		return ctx.Err()
	}
	return nil
}

// newConn wraps an open connection with delay lines and starts the goroutines that serve them.
func newConn(c net.Conn, out, in *path) *conn {
	w := &conn{
		Conn:          c,
		out:           newDelayLine(out),
		in:            newDelayLine(in),
		readDeadline:  newDeadline(),
		writeDeadline: newDeadline(),
		closed:        make(chan struct{}),
	}
	go w.transmit()
	go w.receive()
	return w
}

// transmit copies what the dialer wrote to the far end, also after Close, and then closes the
// connection to it.
func (c *conn) transmit() {
	err := c.transmitAll()
	if err == syscall.ECONNRESET {
		c.resetOnClose()
	} else {
		c.closeWrite()
		<-c.closed
	}
	_ = c.Conn.Close()
}

// transmitAll copies the line to the far end until the line ends or a write fails, and returns
// the error of either.
func (c *conn) transmitAll() error {
	b := make([]byte, bufferLen)
	for {
		n, err := c.out.read(b, nil, nil)
		if err != nil {
			return err
		}
		if _, err := c.Conn.Write(b[:n]); err != nil {
			c.out.end(net.ErrClosed)
			c.in.end(errors.Trace(err))
			return err
		}
	}
}

// resetOnClose makes Close reset the connection to the far end.
func (c *conn) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

func (c *conn) closeWrite() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// receive copies what the far end writes into the line to the dialer.
func (c *conn) receive() {
	b := make([]byte, bufferLen)
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			if _, err := c.in.write(b[:n], c.closed, nil); err != nil {
				c.in.end(err)
				return
			}
		}
		if err != nil {
			c.in.end(streamEnd(err))
			return
		}
	}
}

// streamEnd returns io.EOF itself, as readers compare it, and other errors with a trace.
func streamEnd(err error) error {
	if err == io.EOF {
		return io.EOF
	}
	return errors.Trace(err)
}

// Read returns bytes from the far end that have arrived.
func (c *conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, err := c.in.read(b, c.closed, c.readDeadline.expired())
	return n, c.opError("read", err)
}

// Write returns when b is in transit.
func (c *conn) Write(b []byte) (int, error) {
	if isClosed(c.closed) {
		return 0, c.opError("write", net.ErrClosed)
	}
	n := 0
	for n < len(b) {
		part := b[n:min(len(b), n+bufferLen)]
		m, err := c.out.write(part, c.closed, c.writeDeadline.expired())
		n += m
		if err != nil {
			return n, c.opError("write", err)
		}
	}
	return n, nil
}

func (c *conn) opError(op string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Addr: c.RemoteAddr(), Err: err}
}

// CloseWrite ends the stream to the far end, after the bytes in transit.
func (c *conn) CloseWrite() error {
	c.out.end(io.EOF)
	return nil
}

// Close closes the dialer's end. The far end gets the bytes in transit, then the end of the
// stream.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.out.end(net.ErrClosed)
	return nil
}

// SetDeadline sets the deadlines of Read and Write.
func (c *conn) SetDeadline(at time.Time) error {
	c.readDeadline.set(at)
	c.writeDeadline.set(at)
	return nil
}

// SetReadDeadline sets the deadline of Read.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.readDeadline.set(at)
	return nil
}

// SetWriteDeadline sets the deadline of Write.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.writeDeadline.set(at)
	return nil
}
