package tcp

import (
	"errors"
	"net"
	"time"
)

// minAcceptDelay and maxAcceptDelay bound the pauses between attempts to accept a connection: what
// is lacking, descriptors mostly, is free again as soon as connections end.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 100 * time.Millisecond
)

// NewRetryListener returns a listener that goes on accepting after an error, until it is closed: a lack
// of descriptors or memory passes, and so does an error of a single connection. onError is called
// with each error; it may be nil.
func NewRetryListener(ln net.Listener, onError func(error)) net.Listener {
	if onError == nil {
		onError = func(error) {}
	}
	return &retryListener{Listener: ln, onError: onError}
}

type retryListener struct {
	net.Listener
	onError func(error)
}

// Accept waits for the next connection. Its only error is that the listener is closed.
func (l *retryListener) Accept() (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.onError(err)
		time.Sleep(delay)
	}
}
