// Package targets sends requests to targets and to peers over HTTP, and reports for each
// failed attempt whether it may have run.
package targets

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/tcp"
)

// Limits of connections.
const (
	idleTimeout   = 90 * time.Second
	idlePerTarget = 64
	dialTimeout   = 500 * time.Millisecond // short enough that an attempt that can't connect is retried elsewhere within its deadline
)

// Dial opens a connection. The default is DialFrom("").
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// withDialTimeout returns dial with a timeout of dialTimeout. Nothing has been sent when it
// expires.
func withDialTimeout(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// DialFrom returns a Dial whose connections come from one IP of this machine, or from any if ip is "",
// and fail soon when the peer is silent.
func DialFrom(ip string) Dial { return tcp.NewDialer(ip).DialContext }

// Client sends attempts of requests. It is safe for concurrent use.
type Client struct {
	transport *http1.Transport
	dial      Dial
}

// CheckConnection opens a connection to an address and closes it. Its error shows whether the address
// accepts connections.
func (c *Client) CheckConnection(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// New returns a Client that opens connections with dial, or with DialFrom("") if dial is nil.
func New(dial Dial) *Client {
	if dial == nil {
		dial = DialFrom("")
	}
	dial = withDialTimeout(dial)
	return &Client{dial: dial, transport: http1.NewTransport(&http.Transport{
		DialContext:         trackWrites(dial),
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerTarget,
		IdleConnTimeout:     idleTimeout,
	})}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// NotSentError reports that an attempt failed before a byte of it was sent, so that it
// can't have run.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return "targets: not sent: " + e.Err.Error() }

// Proof returns the proof that the attempt did not run.
func (e *NotSentError) Proof() once.Proof {
	if dialFailed(e.Err) {
		return once.ProofNoConn
	}
	return once.ProofNoByte
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// NoAnswerError reports that an attempt failed after it was sent, so that it may have run.
type NoAnswerError struct{ Err error }

func (e *NoAnswerError) Error() string { return "targets: no answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// Send makes one attempt. Its errors are *NotSentError or *NoAnswerError. An attempt that
// failed sends nothing afterwards. If the attempt is aborted after it was sent, or its
// answer is not read to the end, onEnd is called once, when the target has closed its
// connection too or no longer can be expected to. onEnd may be nil.
func (c *Client) Send(ctx context.Context, r *http.Request, onEnd func(end ConnEnd)) (*http.Response, error) {
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
		return nil, &NoAnswerError{Err: err}
	}
}

// attempt follows one request through the transport.
type attempt struct {
	conn  *conn // latest connection of the request; nil before the first
	sent  bool  // data was written to an earlier connection
	onEnd func(end ConnEnd)
}

// useConn records the connection that the transport chose. The transport retries requests
// by itself when a kept connection turns out to be closed, even if it was written to. In
// that case the request may have run, so the next connection is sealed and the transport's
// retry fails.
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

// unsent reports whether nothing was written. If so, it also seals the connection, so that
// nothing can be written afterwards.
func (a *attempt) unsent() bool {
	if a.sent {
		return false
	}
	return a.conn == nil || a.conn.seal()
}

// dialFailed reports whether the connection could not be opened.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
