package tcp

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// NewListener returns a listener for an http.Server whose connections may be idle for
// idleTimeout before their first request, and have headerTimeout for its header from the first
// byte on. http.Server itself counts the time for the first header from the accept of the
// connection: it would close connections that callers open in advance, and a request that
// arrives during the close is lost. The listener goes on after errors as that of NewRetryListener does.
func NewListener(ln net.Listener, headerTimeout, idleTimeout time.Duration, onError func(error)) net.Listener {
	return &listener{Listener: NewRetryListener(ln, onError), headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

type listener struct {
	net.Listener
	headerTimeout, idleTimeout time.Duration
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if err := c.SetReadDeadline(time.Now().Add(l.idleTimeout)); err != nil {
			_ = c.Close() // it is closed already
			continue
		}
		return &firstRequestConn{Conn: c, headerTimeout: l.headerTimeout}, nil
	}
}

// firstRequestConn is a connection on which the first request may not have arrived yet.
type firstRequestConn struct {
	net.Conn
	headerTimeout time.Duration // of the first request's header, from its first byte on
	used          atomic.Bool   // that byte has been received
}

// Read reads from the connection. The first byte starts the header timeout.
func (c *firstRequestConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && err == nil && c.used.CompareAndSwap(false, true) {
		err = c.Conn.SetReadDeadline(time.Now().Add(c.headerTimeout))
	}
	return n, err
}

// SetReadDeadline sets the read deadline. It has no effect before the first byte is received.
func (c *firstRequestConn) SetReadDeadline(t time.Time) error {
	if !c.used.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the writing side. http.Server calls it before it closes a connection that
// still receives data, so that its answer isn't lost to a reset. The error is
// errors.ErrUnsupported if the underlying connection has no CloseWrite.
func (c *firstRequestConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}
