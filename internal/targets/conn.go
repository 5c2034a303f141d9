package targets

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// conn records whether anything was written for the attempt that uses it. If it is closed
// during an attempt, it waits for the target to close the connection too, since only that
// shows that the target has detected the abort.
type conn struct {
	net.Conn

	readMu sync.Mutex // held while reading

	mu      sync.Mutex
	written bool              // since assign; guarded by mu
	sealed  bool              // writes fail; guarded by mu
	closed  bool              // guarded by mu
	onEnd   func(end ConnEnd) // callback of the attempt that uses the connection; guarded by mu
}

// SealedError reports a write to a sealed connection.
type SealedError struct{}

func (e *SealedError) Error() string { return "targets: the connection is sealed" }

// trackWrites returns dial with its connections wrapped in conn.
func trackWrites(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// assign assigns the connection to an attempt. onEnd is called with the way in which the
// target ends the connection, if the attempt is aborted.
func (c *conn) assign(onEnd func(end ConnEnd)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written, c.onEnd = false, onEnd
}

// seal makes further writes fail. It returns true if nothing was written since assign,
// which proves that the attempt did not reach its target.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return !c.written
}

// Write records that the attempt has written before the data is sent.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, &SealedError{}
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Read reads until the connection is closed on this side.
func (c *conn) Read(b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return c.Conn.Read(b)
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// ConnEnd is the way in which the connection of an aborted attempt ended.
type ConnEnd int

// Ends of a connection.
const (
	ClosedByTarget ConnEnd = iota // the target closed it after this side had: it has detected the abort
	Reset                         // it was reset, here or on the way: the target will detect the abort, or has
	CloseTimedOut                 // the target did not close it within lingerTimeout
)

const (
	// lingerTimeout is how long a target may take to close a connection: longer than any
	// request may take.
	lingerTimeout = time.Minute
	// maxDiscard is how many bytes of an answer that is no longer needed are read and
	// discarded: its beginning may already be in flight.
	maxDiscard = 64 << 10
)

// Close closes the connection on this side. If an attempt with a callback has written to
// it, it waits in the background for the target to close it too.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed, c.sealed = true, true
	half, ok := c.Conn.(interface{ CloseWrite() error })
	switch {
	case !c.written || c.onEnd == nil:
		return c.Conn.Close()
	case !ok:
		c.onEnd(Reset)
		return c.Conn.Close()
	}
	go c.awaitTargetClose(half.CloseWrite, c.onEnd)
	return nil
}

// awaitTargetClose waits until the target closes the connection and reports how it ended.
func (c *conn) awaitTargetClose(closeWrite func() error, onEnd func(end ConnEnd)) {
	defer c.Conn.Close()
	c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a read in progress
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if closeWrite() != nil {
		onEnd(Reset)
		return
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, err := io.CopyN(io.Discard, c.Conn, maxDiscard)
	var network net.Error
	switch {
	case errors.Is(err, io.EOF):
		onEnd(ClosedByTarget)
	case errors.As(err, &network) && network.Timeout():
		onEnd(CloseTimedOut)
	default:
		onEnd(Reset)
	}
}
