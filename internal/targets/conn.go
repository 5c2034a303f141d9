package targets

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// conn notes whether anything was written for the attempt that has it. Closed under an
// attempt, it waits for the target to end the connection too: only then the target has
// noticed.
type conn struct {
	net.Conn

	readMu sync.Mutex // held by who reads

	mu      sync.Mutex
	written bool          // since begin; guarded by mu
	sealed  bool          // nothing is written any more; guarded by mu
	closed  bool          // guarded by mu
	onEnd   func(end End) // of the attempt that has it; guarded by mu
}

// SealedError says that a connection is not to be written to any more.
type SealedError struct{}

func (e *SealedError) Error() string { return "targets: the connection is sealed" }

// trackWrites makes dial give connections that note what is written.
func trackWrites(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// assign gives the connection to an attempt, which is told how it ended.
func (c *conn) assign(onEnd func(end End)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written, c.onEnd = false, onEnd
}

// seal lets nothing more be written. It returns true if nothing was written
// since begin, so that the attempt is proved not to have reached its target.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return !c.written
}

// Write notes the attempt's first byte before it goes out.
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

// End is how the connection of an attempt that was broken off ended.
type End int

// The ends.
const (
	Noticed   End = iota // the target ended it after this side had: it has noticed
	Reset                // it was cut, here or on the way: the target will notice, or has
	Unnoticed            // the target gave no sign for lingerMost
)

const (
	// lingerTimeout is how long a target may take to end a connection: longer than any
	// request may.
	lingerTimeout = time.Minute
	// maxDiscard is how much of an answer that nobody waits for is read: its beginning
	// may be on its way.
	maxDiscard = 64 << 10
)

// Close ends the connection on this side, and in the background waits for the target to
// end it too.
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

// awaitTargetClose tells how the target ends the connection.
func (c *conn) awaitTargetClose(closeWrite func() error, onEnd func(end End)) {
	defer c.Conn.Close()
	c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a read that is under way
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
		onEnd(Noticed)
	case errors.As(err, &network) && network.Timeout():
		onEnd(Unnoticed)
	default:
		onEnd(Reset)
	}
}
