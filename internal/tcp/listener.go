package tcp

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// NewListener returns a listener for an http.Server, whose connections may be silent for idle
// before their first request, and take head for its header from the first byte on. The server
// itself counts the time for the first header from the moment of connecting. Callers open
// connections that they use later, and a request on one that the server is about to close is
// lost.
func NewListener(ln net.Listener, headerTimeout, idleTimeout time.Duration) net.Listener {
	return &listener{Listener: ln, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

type listener struct {
	net.Listener
	headerTimeout, idleTimeout time.Duration
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if err := c.SetReadDeadline(time.Now().Add(l.idleTimeout)); err != nil {
			_ = c.Close() // it has ended already
			continue
		}
		return &firstRequestConn{Conn: c, headerTimeout: l.headerTimeout}, nil
	}
}

// firstRequestConn is a connection that may not have been used yet.
type firstRequestConn struct {
	net.Conn
	headerTimeout time.Duration // for the first request's header, from its first byte on
	used          atomic.Bool   // that byte has come
}

// Read reads what has come.
func (c *firstRequestConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && err == nil && c.used.CompareAndSwap(false, true) {
		err = c.Conn.SetReadDeadline(time.Now().Add(c.headerTimeout))
	}
	return n, err
}

// SetReadDeadline sets until when reads wait, once the first byte has come.
func (c *firstRequestConn) SetReadDeadline(t time.Time) error {
	if !c.used.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the direction from here: http.Server does so before it closes a connection
// on which something still comes, so that its answer isn't lost.
func (c *firstRequestConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}
