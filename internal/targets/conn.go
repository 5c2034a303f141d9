package targets

import (
	"context"
	"net"
	"sync"
)

// conn notes whether anything was written for the attempt that has it.
type conn struct {
	net.Conn

	mu     sync.Mutex
	wrote  bool // since begin; guarded by mu
	sealed bool // nothing is written any more; guarded by mu
}

// SealedError says that a connection is not to be written to any more.
type SealedError struct{}

func (e *SealedError) Error() string { return "targets: the connection is sealed" }

// noting makes dial give connections that note what is written.
func noting(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// begin gives the connection to an attempt.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// seal lets nothing more be written. It returns true if nothing was written
// since begin, so that the attempt is proved not to have reached its target.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return !c.wrote
}

// Write notes the attempt's first byte before it goes out.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, &SealedError{}
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}
