package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/firlever/firlever/internal/emulator/clock"
)

// listener closes connections over the limit at once and delays the first read of accepted
// ones.
type listener struct {
	net.Listener
	limit          int64
	connectionCost time.Duration
	clock          *clock.Clock
	open           atomic.Int64
	peak           atomic.Int64
	refused        atomic.Int64
}

func newListener(ln net.Listener, cfg Config) *listener {
	return &listener{
		Listener:       ln,
		limit:          int64(cfg.Connections),
		connectionCost: cfg.ConnectionCost,
		clock:          cfg.Clock,
	}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := l.open.Add(1)
		if n <= l.limit {
			l.peak.Store(max(l.peak.Load(), n))
			return &conn{Conn: c, l: l, delay: l.connectionCost}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		_ = c.Close()
	}
}

type conn struct {
	net.Conn
	l         *listener
	delay     time.Duration
	delayOnce sync.Once
	closeOnce sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	c.delayOnce.Do(func() {
		c.l.clock.SleepUntil(context.Background(), time.Now().Add(c.delay))
	})
	return c.Conn.Read(b)
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}
