package http1

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/firlever/firlever/internal/boottime"
)

// incoming is what was read of a connection: a request, the status of the refusal
// of one that can't be read, or the connection's end.
type incoming struct {
	request *Request
	status  int       // of the refusal of one that can't be read; 0 if there is none
	refusal *Response // of one whose body was not waited for; nil if there is none
	last    bool      // nothing is read after it
	ended   bool      // neither a request nor a refusal
}

// next reads one request.
func (c *serverConn) next() incoming {
	limits := c.server.callers.Limits()
	c.setIdle(limits)
	if _, err := c.read.Peek(1); err != nil {
		return incoming{ended: true}
	}
	c.limit.left = int64(limits.HeaderBytes + headerSlack)
	due := boottime.Now().Add(limits.HeaderTimeout)
	c.setReading(due)
	r, err := http.ReadRequest(c.read)
	if err != nil {
		return c.unreadable(err, due)
	}
	c.limit.left = maxUnlimited
	if r.ContentLength > limits.BodyBytes {
		return refused(http.StatusRequestEntityTooLarge)
	}
	expects := r.Header.Get("Expect") != ""
	awaits := c.awaits(r)
	if c.server.callers.Busy() {
		if !awaits {
			io.Copy(io.Discard, r.Body) // it is all in the buffer
		}
		return incoming{refusal: c.server.callers.TooBusy(c.request(r, nil)), last: r.Close || awaits}
	}
	if awaits {
		if resp := c.server.callers.Early(c.request(r, nil)); resp != nil {
			return incoming{refusal: resp, last: true}
		}
	}
	if expects {
		c.goOn()
	}
	due = boottime.Now().Add(limits.IdleTimeout)
	c.conn.SetReadDeadline(boottime.Runtime(due))
	body, err := io.ReadAll(io.LimitReader(r.Body, limits.BodyBytes+1))
	if err != nil {
		return c.unreadable(err, due)
	}
	if int64(len(body)) > limits.BodyBytes {
		return refused(http.StatusRequestEntityTooLarge)
	}
	return incoming{request: c.request(r, body), last: r.Close}
}

// awaits says whether a part of the request's body has yet to come.
func (c *serverConn) awaits(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > int64(c.read.Buffered())
}

func refused(status int) incoming { return incoming{status: status, last: true} }

// unreadable says what becomes of a request that could not be read whole until it
// was due. The parser hides the end of the time behind errors of its own.
func (c *serverConn) unreadable(err error, due time.Time) incoming {
	var network net.Error
	switch {
	case c.limit.left <= 0:
		return refused(http.StatusRequestHeaderFieldsTooLarge)
	case !boottime.Now().Before(due):
		return refused(http.StatusRequestTimeout)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return incoming{ended: true}
	}
	return refused(http.StatusBadRequest)
}

// goOn tells a caller that waits for it to send its body, if no answer is due.
func (c *serverConn) goOn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
}

func (c *serverConn) request(in *http.Request, body []byte) *Request {
	path := in.URL.Path
	if u, err := url.ParseRequestURI(in.RequestURI); err == nil {
		path = u.Path
	}
	r := &Request{
		Method: in.Method, URI: in.RequestURI, Path: path, Host: in.Host,
		Header: in.Header, Body: body, At: boottime.Now(), Conn: c.id,
	}
	strip(r.Header)
	return r
}

// maxUnlimited lets a limitedConn read on as good as for ever.
const maxUnlimited = 1 << 62

// limitedConn bounds how much is read; used to bound a header.
type limitedConn struct {
	conn net.Conn
	left int64
}

func (l *limitedConn) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, io.ErrShortBuffer
	}
	if int64(len(b)) > l.left {
		b = b[:l.left]
	}
	n, err := l.conn.Read(b)
	l.left -= int64(n)
	return n, err
}
