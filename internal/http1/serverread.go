package http1

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/firlever/firlever/internal/boottime"
)

// incoming is the result of reading from a connection: a request, a refusal or its
// status, or the end of the connection.
type incoming struct {
	request  *Request
	status   int       // of the refusal of a request that can't be read; 0 if none
	refusal  *Response // of a request whose body was not read; nil if none
	last     bool      // no further request is read
	closed   bool      // the connection ended without a further request
	taken    int64     // bytes of the budget that the request takes
	overhead int64     // bytes of the budget for handling it beside earlier requests of the connection
}

const (
	// RequestCopies is how often a request's head is held: parsed, and as it is sent to two targets.
	RequestCopies = 3
	// requestOverhead is what handling a request holds: stacks, buffers of its connection to a target, and an
	// ordinary head. That of one request counts with the connection.
	requestOverhead = 24 << 10
)

// readNext reads the next request. previous is closed when the earlier ones are answered.
func (c *serverConn) readNext(previous <-chan struct{}) incoming {
	limits := c.server.callers.Limits()
	c.setIdleDeadline(limits)
	if _, err := c.reader.Peek(1); err != nil {
		return incoming{closed: true}
	}
	due := boottime.Now().Add(limits.HeaderTimeout)
	c.setReading(due)
	r, taken, err := c.readHead(limits)
	if err != nil {
		in := c.classifyReadError(err, due)
		in.taken = taken
		return in
	}
	return c.accept(r, limits, previous, taken)
}

// readHead reads the head of a request. It returns what the head takes of the budget, also with an error.
func (c *serverConn) readHead(limits Limits) (*http.Request, int64, error) {
	received, _ := c.reader.Peek(c.reader.Buffered())
	c.limited.remaining = int64(limits.HeaderBytes + headerSlack)
	c.limited.head.begin(c.server.callers.Budget.take, received)
	c.limited.scan.begin(received)
	r, err := http.ReadRequest(c.reader)
	taken := c.limited.head.end()
	if err != nil {
		return nil, taken, err
	}
	c.limited.remaining = unlimited
	if err := c.limited.scan.check(r.ProtoMinor); err != nil {
		return nil, taken, err
	}
	return r, taken, checkRequest(r)
}

// accept refuses a request whose head was read, or reads its body. taken is what the head takes of the budget.
func (c *serverConn) accept(r *http.Request, limits Limits, previous <-chan struct{}, taken int64) incoming {
	if r.ContentLength > limits.BodyBytes {
		in := refuse(http.StatusRequestEntityTooLarge)
		in.taken = taken
		return in
	}
	expects := r.Header.Get("Expect") != ""
	incomplete := c.bodyIncomplete(r)
	overhead := c.overheadOf(previous)
	needed := max(0, RequestCopies*headBytes(len(r.RequestURI), r.Header)-ordinaryHead)
	if !c.server.callers.Budget.take(needed + overhead - taken) {
		return incoming{refusal: c.server.callers.NoMemory(c.newRequest(r, nil)), last: true, taken: taken}
	}
	in := incoming{taken: needed, overhead: overhead}
	if c.server.callers.Busy() {
		if !incomplete {
			io.Copy(io.Discard, r.Body) // the whole body is in the buffer
		}
		in.refusal, in.last = c.server.callers.BusyAnswer(c.newRequest(r, nil)), r.Close || incomplete
		return in
	}
	if incomplete {
		if resp := c.server.callers.RefuseEarly(c.newRequest(r, nil)); resp != nil {
			in.refusal, in.last = resp, true
			return in
		}
	}
	proceed := func() {}
	if expects {
		proceed = func() { c.sendContinue(previous) }
	}
	body := c.readBody(r, limits, proceed)
	body.taken += in.taken
	body.overhead = in.overhead
	return body
}

// overheadOf returns what a request takes of the budget besides its head and body: nothing if all requests of
// the connection before it are answered.
func (c *serverConn) overheadOf(previous <-chan struct{}) int64 {
	if isClosed(previous) {
		return 0
	}
	return requestOverhead
}

// readBody reads the body of a request, or the beginning of a long one. It calls proceed when there is room
// for it.
func (c *serverConn) readBody(r *http.Request, limits Limits, proceed func()) incoming {
	size := int64(maxWholeBody)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	if !c.server.callers.Budget.take(size) {
		return incoming{refusal: c.server.callers.NoMemory(c.newRequest(r, nil)), last: true}
	}
	proceed()
	due := boottime.Now().Add(limits.IdleTimeout)
	c.conn.SetReadDeadline(boottime.ToRuntime(due))
	body := bytes.NewBuffer(make([]byte, 0, min(size, max(0, r.ContentLength))+bytes.MinRead))
	_, err := io.Copy(body, io.LimitReader(r.Body, min(size, limits.BodyBytes+1)))
	received := int64(body.Len())
	switch {
	case err != nil:
		c.server.callers.Budget.release(size)
		return c.classifyReadError(err, due)
	case received > limits.BodyBytes:
		c.server.callers.Budget.release(size)
		return refuse(http.StatusRequestEntityTooLarge)
	}
	in := incoming{request: c.newRequest(r, body.Bytes()), last: r.Close, taken: size}
	if received == maxWholeBody && received != r.ContentLength {
		in.request.Rest = newUpload(r, c.conn, limits, received)
	}
	return in
}

// bodyIncomplete reports whether part of the request's body has not been received.
func (c *serverConn) bodyIncomplete(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > int64(c.reader.Buffered())
}

func refuse(status int) incoming { return incoming{status: status, last: true} }

// classifyReadError returns the result for a request that could not be read completely
// before the deadline due. A timeout is recognized by the time, as the parser replaces
// the network's timeout error by errors of its own.
func (c *serverConn) classifyReadError(err error, due time.Time) incoming {
	var network net.Error
	var malformed *MalformedError
	switch {
	case c.limited.head.full:
		return incoming{refusal: c.server.callers.NoMemory(&Request{ConnID: c.id}), last: true}
	case c.limited.remaining <= 0:
		return refuse(http.StatusRequestHeaderFieldsTooLarge)
	case !boottime.Now().Before(due):
		return refuse(http.StatusRequestTimeout)
	case errors.As(err, &malformed):
		return refuse(http.StatusBadRequest)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return incoming{closed: true}
	}
	return refuse(http.StatusBadRequest)
}

// continueWait bounds the time that an interim answer waits for the answers to earlier requests.
const continueWait = 50 * time.Millisecond

// sendContinue sends the interim answer that the caller expects before it sends the body, unless answers
// to earlier requests stay pending: the caller then sends the body without it.
func (c *serverConn) sendContinue(previous <-chan struct{}) {
	select {
	case <-previous:
		io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	case <-time.After(continueWait):
	}
}

func (c *serverConn) newRequest(in *http.Request, body []byte) *Request {
	path := in.URL.Path
	if u, err := url.ParseRequestURI(in.RequestURI); err == nil {
		path = u.Path
	}
	r := &Request{
		Method: in.Method, URI: in.RequestURI, Path: path, Host: in.Host,
		Header: in.Header, Body: body, ReceivedAt: boottime.Now(), ConnID: c.id,
	}
	removeConnectionHeaders(r.Header)
	return r
}

// unlimited is the value of limitedConn.remaining that sets no limit in practice.
const unlimited = 1 << 62

// limitedConn limits the bytes that are read from a connection, to bound a header, meters what a head
// holds, and scans it.
type limitedConn struct {
	conn      net.Conn
	remaining int64
	head      headMeter
	scan      headScan
}

func (l *limitedConn) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, io.ErrShortBuffer
	}
	if int64(len(b)) > l.remaining {
		b = b[:l.remaining]
	}
	n, err := l.conn.Read(b)
	l.remaining -= int64(n)
	l.scan.add(b[:n])
	if !l.head.add(b[:n]) {
		return 0, &NoMemoryError{Bytes: l.head.size}
	}
	return n, err
}
