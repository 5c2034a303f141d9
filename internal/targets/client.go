// Package targets sends requests to targets and to peers over HTTP, and says
// of each attempt that failed whether it can have run.
package targets

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/firlever/firlever/internal/once"
)

// Limits of the connections that are kept.
const (
	idleTimeout   = 90 * time.Second
	idlePerTarget = 64
	dialTimeout   = 500 * time.Millisecond // an attempt that can't connect goes elsewhere within its deadline
	maxHeader     = 64 << 10
)

// Dial opens a connection; net.Dialer.DialContext by default.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// withDialTimeout ends a dial after dialTimeout. Nothing has been sent then.
func withDialTimeout(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// DialFrom gives a dialer whose connections come from one IP of this machine.
func DialFrom(ip string) Dial {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return d.DialContext
}

// Client sends attempts. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// Reach opens a connection to an address and closes it. Its error shows whether anything is
// there.
func (c *Client) Reach(ctx context.Context, address string) error {
	conn, err := c.transport.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// New makes a client that opens connections with dial; nil takes the standard dialer.
func New(dial Dial) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Client{transport: &http.Transport{
		DialContext:            trackWrites(withDialTimeout(dial)),
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
	if dialFailed(e.Err) {
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

// Send makes one attempt. Errors are *NotSentError or *LostError. An attempt
// that failed sends nothing afterwards. ended is called once if the attempt is broken off
// after it was sent, or its answer is not read to the end, when the target has ended its
// connection too; nil is not told.
func (c *Client) Send(ctx context.Context, r *http.Request, onEnd func(end End)) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Err: err}
	}
	a := attempt{onEnd: onEnd}
	trace := &httptrace.ClientTrace{GotConn: a.useConn}
	resp, err := c.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	switch {
	case err == nil:
		return resp, nil
	case a.unsent():
		return nil, &NotSentError{Err: err}
	default:
		return nil, &LostError{Err: err}
	}
}

// attempt follows one request through the transport.
type attempt struct {
	conn  *conn // the latest that it was given; nil before the first
	sent  bool  // something was written to an earlier one
	onEnd func(end End)
}

// useConn takes note of the connection that the transport chose. The transport
// repeats requests by itself when a kept connection turns out to be closed,
// also after it was written to: that one may have run, so the next connection
// is sealed, and the repetition fails.
func (a *attempt) useConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		a.sent = true
		return
	}
	a.sent = !a.unsent()
	a.conn = c
	if a.sent {
		c.seal()
		return
	}
	c.assign(a.onEnd)
}

// unsent says that nothing was written, and lets nothing be written from now on.
func (a *attempt) unsent() bool {
	if a.sent {
		return false
	}
	return a.conn == nil || a.conn.seal()
}

// dialFailed says whether the connection was never opened.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
