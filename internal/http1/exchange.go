package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/boottime"
)

const (
	// maxBuffered is how much of an answer is read before any of it is passed on. An
	// answer that breaks off before can be replaced by another target's.
	maxBuffered = 1 << 20
	// maxSyncWrite is how much is written before the answer is read; more is written
	// beside, as a target may answer before it has read a long body.
	maxSyncWrite = 4 << 10
	maxStray     = 4 // answers to other requests that are skipped on one connection
)

// Exchange is one attempt at a target.
type Exchange struct {
	Request *Request
	Header  http.Header // of the attempt
	Target  string      // ID, by which connections are kept
	Group   string      // of targets that are alike in how long they keep idle connections
	Address string
	Once    bool                                 // the request must not run twice
	Mine    func(status int, h http.Header) bool // whether an answer belongs to this request
	Keep    func(resp *Response) bool            // whether the connection is kept after an answer
	Until   time.Time                            // when the attempt is given up
	Wanted  func() bool                          // whether to send it, asked when there is a connection; nil: always
}

// UnwantedError says that a request was not sent, as Wanted said so.
type UnwantedError struct{}

func (e *UnwantedError) Error() string { return "not wanted any more" }

// NotSentError says that nothing of a request was sent: it can't have run.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return "http1: not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError says that a request was sent, in part at least, and no whole answer
// came: it may have run.
type LostError struct {
	Err    error
	Reused bool // the connection had been kept
}

func (e *LostError) Error() string { return "http1: no whole answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// StrayError says that answers to other requests came instead of the expected one.
type StrayError struct{ Count int }

func (e *StrayError) Error() string {
	return fmt.Sprintf("%d answers to other requests", e.Count)
}

// Do makes the attempt. It returns *NotSentError or *LostError, and a whole
// answer or one whose Rest must be closed. It gives up when ctx ends.
func (p *Pool) Do(ctx context.Context, e *Exchange) (*Response, error) {
	ctx, cancel := context.WithDeadline(ctx, boottime.Runtime(e.Until))
	defer cancel()
	c, err := p.get(ctx, e)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	if e.Wanted != nil && !e.Wanted() {
		c.conn.Close()
		return nil, &NotSentError{Err: &UnwantedError{}}
	}
	c.conn.SetDeadline(boottime.Runtime(e.Until))
	p.trackPending(c, e.Until)
	defer p.untrackPending(c)
	stop := context.AfterFunc(ctx, func() { c.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	begin := boottime.Now()
	sent := c.send(e)
	a, err := c.receive(e)
	if err != nil {
		c.conn.Close()
		switch {
		case c.reused && timedOut(ctx, err):
			p.dropBefore(c.target, begin)
		case c.reused && ctx.Err() == nil && staleFailure(err, boottime.Since(begin), begin.Sub(c.idleSince)):
			p.idleLimits.recordStale(boottime.Now(), e.Group, begin.Sub(c.idleSince))
		}
		return nil, &LostError{Err: err, Reused: c.reused}
	}
	if a.response.Rest != nil {
		a.response.Rest = &restReader{Reader: a.response.Rest, conn: c}
		return a.response, nil
	}
	p.release(c, sent, a, e)
	return a.response, nil
}

// timedOut says whether an exchange failed since the target sent nothing, rather than
// that the caller left.
func timedOut(ctx context.Context, err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout() && !errors.Is(ctx.Err(), context.Canceled)
}

// send writes the request. A long one is written beside; the channel then gives
// its end.
func (c *poolConn) send(e *Exchange) <-chan error {
	b := bytes.NewBuffer(make([]byte, 0, 512+len(e.Request.Body)))
	appendRequest(b, e.Request, e.Header)
	done := make(chan error, 1)
	if b.Len() <= maxSyncWrite {
		_, err := c.conn.Write(b.Bytes())
		done <- err
		return done
	}
	go func() {
		_, err := c.conn.Write(b.Bytes())
		done <- err
	}()
	return done
}

// release keeps the connection, or closes it if anything about it is doubtful.
func (p *Pool) release(c *poolConn, sent <-chan error, a answer, e *Exchange) {
	whole := false
	select {
	case err := <-sent:
		whole = err == nil
	default: // answered before all was sent
	}
	if !whole || !a.reusable || c.reader.Buffered() > 0 || !e.Keep(a.response) {
		c.conn.Close()
		return
	}
	c.reused = true
	c.conn.SetDeadline(time.Time{})
	p.putIdle(c, a.idleTimeout)
}

// keepAliveTimeout is how long the target keeps an idle connection; 0 if it doesn't say.
func keepAliveTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// answer is what was read for a request.
type answer struct {
	response    *Response
	reusable    bool          // nothing but the answer was read, and the target keeps the connection
	idleTimeout time.Duration // how long the target keeps it idle; 0 if it didn't say
}

// receive reads the answer to the request, past answers to others.
func (c *poolConn) receive(e *Exchange) (answer, error) {
	request := &http.Request{Method: e.Request.Method}
	for stray := 0; stray <= maxStray; stray++ {
		in, err := readFinal(c, request)
		if err != nil {
			return answer{}, err
		}
		if !e.Mine(in.StatusCode, in.Header) {
			if _, err := io.Copy(io.Discard, in.Body); err != nil {
				return answer{}, err
			}
			continue
		}
		a := answer{reusable: stray == 0 && !in.Close, idleTimeout: keepAliveTimeout(in.Header)}
		a.response, err = readBody(in)
		return a, err
	}
	return answer{}, &StrayError{Count: maxStray + 1}
}

// readFinal reads the head of an answer, past interim ones.
func readFinal(c *poolConn, request *http.Request) (*http.Response, error) {
	for {
		in, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if in.StatusCode >= http.StatusOK {
			return in, nil
		}
	}
}

// readBody reads the body of an answer, or the beginning of a long one.
func readBody(in *http.Response) (*Response, error) {
	size := max(0, min(in.ContentLength, maxBuffered))
	body := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	n, err := io.Copy(body, io.LimitReader(in.Body, maxBuffered))
	if err != nil {
		return nil, err
	}
	resp := &Response{Status: in.StatusCode, Header: in.Header, Body: body.Bytes()}
	if n == maxBuffered && n != in.ContentLength {
		resp.Rest, resp.Length = in.Body, in.ContentLength
	}
	removeConnectionHeaders(resp.Header)
	return resp, nil
}

// restReader reads the rest of an answer and closes its connection at the end.
type restReader struct {
	io.Reader
	conn *poolConn
}

// Close ends the exchange.
func (r *restReader) Close() error {
	return r.conn.conn.Close()
}
