// Package targets sends requests to targets and to peers over HTTP, and says
// of each attempt that failed whether it can have run.
package targets

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/firlever/firlever/internal/once"
)

// Limits of the connections that are kept.
const (
	idleTimeout   = 90 * time.Second
	idlePerTarget = 64
	dialTimeout   = 3 * time.Second
	maxHeader     = 64 << 10
)

// Dial opens a connection; net.Dialer.DialContext by default.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends attempts. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// New makes a client that opens connections with dial; nil takes the standard dialer.
func New(dial Dial) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeader,
	}}
}

// Close drops idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// NotSentError says that an attempt failed before a byte of it was sent, so that
// nothing can have run.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return "targets: not sent: " + e.Err.Error() }

// Proof says what shows that nothing ran.
func (e *NotSentError) Proof() once.Proof {
	if refused(e.Err) {
		return once.ProofNoConn
	}
	return once.ProofNoByte
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError says that an attempt failed after it was sent: it may have run.
type LostError struct{ Err error }

func (e *LostError) Error() string { return "targets: no answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// Send makes one attempt. The transport must not repeat it by itself, so the
// request's body has to be one that it can't rewind (see Once). Errors are
// *NotSentError or *LostError.
func (c *Client) Send(ctx context.Context, r *http.Request) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Err: err}
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	resp, err := c.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	switch {
	case err == nil:
		return resp, nil
	case !sent.Load() || refused(err):
		return nil, &NotSentError{Err: err}
	default:
		return nil, &LostError{Err: err}
	}
}

// refused says whether the connection was never opened.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
