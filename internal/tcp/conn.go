package tcp

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxUnwatched is how many bytes may be sent without an answer before acknowledgements are watched. It
	// fits into the receive buffer of a peer that doesn't read.
	maxUnwatched  = 4 << 10
	watchInterval = 100 * time.Millisecond
)

// Dialer opens connections that detect an unreachable peer.
type Dialer struct {
	dialer net.Dialer
	limit  *DialLimit
}

// Limited returns a dialer whose connections count for a limit. It returns a *DialLimitError in place of a
// connection beyond it.
func (d *Dialer) Limited(limit *DialLimit) *Dialer { return &Dialer{dialer: d.dialer, limit: limit} }

// Dial opens a connection.
func (d *Dialer) Dial(network, address string) (net.Conn, error) {
	return d.DialContext(context.Background(), network, address)
}

// DialContext opens a connection. It gives up when ctx ends.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if err := d.limit.take(); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	c, err := d.dial(ctx, network, address)
	if err != nil {
		d.limit.release()
		return nil, err
	}
	return c, nil
}

func (d *Dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = c.Close() // it is closed already
		return nil, err
	}
	return &conn{Conn: c, raw: raw, ending: ending{raw: raw}, limit: d.limit}, nil
}

// conn is a connection whose peer may read slowly. TCP_USER_TIMEOUT also ends a connection whose peer
// acknowledges but has a closed receive window. It is therefore off while more than maxUnwatched bytes are
// unacknowledged, and conn watches the acknowledgements itself.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	ending ending
	limit  *DialLimit
	once   sync.Once // of limit.release

	mu       sync.Mutex
	sent     int  // bytes since the last that were received; guarded by mu
	writing  int  // long writes in progress; guarded by mu
	watching bool // TCP_USER_TIMEOUT is off and watch runs; guarded by mu
	silent   bool // closed, as the peer doesn't acknowledge; guarded by mu
}

// SyscallConn returns the raw connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Close closes the connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.limit.release)
	return err
}

// CloseWrite closes the writing side.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	c.ending.closedWrite()
	return half.CloseWrite()
}

// Read reads from the connection. It returns ECONNRESET in place of io.EOF if the peer has reset it.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.sent = 0
		c.mu.Unlock()
	}
	return n, c.cause("read", c.ending.check(c, err))
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	watched := c.beginWrite(len(b))
	n, err := c.Conn.Write(b)
	c.ending.wrote(err)
	if watched {
		c.mu.Lock()
		c.writing--
		c.mu.Unlock()
	}
	return n, c.cause("write", err)
}

// beginWrite counts a write, and reports whether it is watched.
func (c *conn) beginWrite(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent += n
	if c.sent <= maxUnwatched {
		return false
	}
	c.writing++
	if !c.watching && setUserTimeout(c.raw, 0) == nil {
		c.watching = true
		go c.watch()
	}
	return true
}

// watch closes the connection if the peer ceases to acknowledge. It ends when all is acknowledged.
func (c *conn) watch() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var m ackMonitor
	for range ticker.C {
		if c.checkAcks(&m) {
			return
		}
	}
}

// checkAcks closes the connection if the peer is silent. It reports whether the watch has ended.
func (c *conn) checkAcks(m *ackMonitor) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := tcpInfo(c.raw)
	switch {
	case err != nil: // closed
		return true
	case m.silent(time.Now(), info):
		c.silent = true
		c.Conn.Close()
		return true
	case c.writing == 0 && info.Unacked == 0 && info.Notsent_bytes == 0:
		c.watching = false
		_ = setUserTimeout(c.raw, AckTimeout) // it is closed
		return true
	}
	return false
}

// cause returns the error of a connection on which the peer doesn't acknowledge as the kernel reports it.
func (c *conn) cause(op string, err error) error {
	if err == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silent {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(op, syscall.ETIMEDOUT)}
}

// ackMonitor finds out whether a peer has ceased to acknowledge.
type ackMonitor struct {
	since time.Time // when the wait for an acknowledgement began; zero if nothing is unacknowledged
}

// maxLostProbes is how many zero-window probes in a row a live peer may leave unanswered: Linux limits its
// answers to two a second.
const maxLostProbes = 1

// silent reports whether nothing has been acknowledged for AckTimeout although data or probes were sent. The
// time since the last acknowledgement alone is no proof: zero-window probes are seconds apart.
func (m *ackMonitor) silent(now time.Time, info *unix.TCPInfo) bool {
	lastAck := now.Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
	switch {
	case info.Unacked == 0 && info.Probes <= maxLostProbes:
		m.since = time.Time{}
	case m.since.IsZero(), lastAck.After(m.since):
		m.since = now
	}
	return !m.since.IsZero() && now.Sub(m.since) >= AckTimeout
}

// tcpInfo returns the state of a connection.
func tcpInfo(raw syscall.RawConn) (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	var failed error
	if err := raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return nil, err
	}
	return info, failed
}
