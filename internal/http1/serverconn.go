package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/tcp"
)

const (
	readBufferSize = 4 << 10 // of a caller's connection; most requests without a body fit
	// lingerTime is how long a connection is still read after its last answer, as
	// closing it with unread data would reset it and lose that answer. The caller
	// reads the answer within a round trip.
	lingerTime = 500 * time.Millisecond
	// writeTimeout bounds the time to write one answer to a caller that doesn't read.
	writeTimeout = 20 * time.Second
	headerSlack  = 4 << 10 // bytes that the parser may read beyond the end of a header
)

// serverConn is one connection of a caller. One goroutine reads requests. Each request
// is handled in a goroutine of its own, which writes the answer after the earlier ones
// are written.
type serverConn struct {
	server   *Server
	conn     net.Conn
	id       uint64
	slot     *tcp.Slot
	limited  *limitedConn
	reader   *bufio.Reader
	slots    chan struct{} // semaphore: one element for each request being handled
	ctx      context.Context
	cancel   context.CancelFunc
	handlers sync.WaitGroup // requests being handled

	mu         sync.Mutex
	pending    int  // requests that were read but not answered; guarded by mu
	closing    bool // no further requests are accepted; guarded by mu
	reading    bool // part of the next request was received; guarded by mu
	closedIdle bool // closing, but not announced in an answer: a partly received request is still accepted; guarded by mu
}

func newServerConn(s *Server, c net.Conn, slot *tcp.Slot, id uint64) *serverConn {
	ctx, cancel := context.WithCancel(context.Background())
	limit := &limitedConn{conn: c, remaining: unlimited}
	return &serverConn{
		server: s, conn: c, id: id, slot: slot, limited: limit, reader: bufio.NewReaderSize(limit, readBufferSize),
		slots: make(chan struct{}, maxPipelined), ctx: ctx, cancel: cancel,
	}
}

// run serves the connection until it is closed and all its requests are answered.
func (c *serverConn) run() {
	defer c.slot.Release()
	defer c.conn.Close()
	defer c.cancel()
	previous := make(chan struct{})
	close(previous)
	for {
		in := c.readNext(previous)
		if in.closed || !c.admit(in.last) {
			c.server.callers.Budget.release(in.taken + in.overhead)
			break
		}
		mine := make(chan struct{})
		c.handlers.Add(1)
		c.slots <- struct{}{}
		if in.refusal != nil && isClosed(previous) {
			c.handle(in, previous, mine) // saves an overloaded process the goroutine
		} else {
			go c.handle(in, previous, mine)
		}
		previous = mine
		if !in.awaitUpload() || in.last {
			break
		}
	}
	c.awaitClose()
	c.handlers.Wait()
}

// awaitUpload waits until the rest of a long body is no longer read, and reports whether the
// connection can be read on.
func (in *incoming) awaitUpload() bool {
	if in.request == nil || in.request.Rest == nil {
		return true
	}
	<-in.request.Rest.done
	return in.request.Rest.whole()
}

// isClosed reports whether a channel is closed on which nothing is sent.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// admit counts a request that was read. It returns false if the connection is closing and
// accepts none. last marks the last request of the connection.
func (c *serverConn) admit(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && !c.closedIdle || !c.slot.Begin() {
		return false
	}
	c.closedIdle, c.reading = false, false
	c.pending++
	if last {
		c.closing = true
		c.conn.SetReadDeadline(time.Time{})
	}
	return true
}

// awaitClose waits, on a closing connection, until the caller has closed it or its read
// deadline ends. If requests are still pending then, it cancels them.
func (c *serverConn) awaitClose() {
	if c.isClosing() {
		io.Copy(io.Discard, c.conn)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 {
		c.cancel()
	}
}

func (c *serverConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// handle answers one request. It writes the answer after previous is closed, and closes
// mine when done.
func (c *serverConn) handle(in incoming, previous, mine chan struct{}) {
	defer c.handlers.Done()
	defer close(mine)
	defer func() { <-c.slots }()
	defer c.slot.End()
	defer c.server.callers.Budget.release(in.overhead)
	resp := c.respond(in)
	defer resp.Discard()
	if in.request != nil && in.request.Rest != nil {
		c.endUpload(in.request.Rest)
	}
	head := in.request != nil && in.request.Method == http.MethodHead
	in.request = nil // it is no longer held
	c.server.callers.Budget.release(in.taken)
	<-previous
	closing := c.decideClose()
	if err := c.write(resp, head, closing); err != nil {
		c.cancel()
		c.conn.Close()
		return
	}
	c.answerWritten(closing)
}

func (c *serverConn) respond(in incoming) *Response {
	switch {
	case in.refusal != nil:
		return in.refusal
	case in.request == nil:
		return c.server.callers.ErrorAnswer(in.status)
	}
	return c.server.callers.Handle(c.ctx, in.request)
}

// endUpload ends the rest of a long body. Unless it was received whole, the connection is closed
// after the answer, as the caller may still be sending.
func (c *serverConn) endUpload(u *Upload) {
	if !u.whole() {
		u.stop()
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
	}
	u.release()
}

// decideClose decides whether the connection closes with the answer that is written next,
// and returns the result. While the server drains, it closes with the last pending one.
func (c *serverConn) decideClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.pending == 1
	if last && c.server.draining.Load() {
		c.closing = true
	}
	return last && c.closing
}

// answerWritten counts an answer that was written, and sets the read deadline for what
// follows: lingerTime on a closing connection, or the idle timeout.
func (c *serverConn) answerWritten(closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	switch {
	case closing:
		if t, ok := c.conn.(*net.TCPConn); ok {
			t.CloseWrite()
		}
		c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	case c.pending == 0:
		c.conn.SetReadDeadline(time.Now().Add(c.server.callers.Limits().IdleTimeout))
	}
}

// setIdleDeadline sets the read deadline for the first byte of the next request: now if the
// connection is closing, the idle timeout if no request is pending, none otherwise.
func (c *serverConn) setIdleDeadline(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
		c.conn.SetReadDeadline(time.Now())
	case c.pending == 0:
		c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	default:
		c.conn.SetReadDeadline(time.Time{})
	}
}

// closeIdle closes the connection if no request is pending. A request that was received in
// part is still answered.
func (c *serverConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.closing {
		c.closing, c.closedIdle = true, true
		if !c.reading {
			c.conn.SetReadDeadline(time.Now())
		}
	}
}

// setReading records that a request has been received in part, and the deadline for the
// rest of its header.
func (c *serverConn) setReading(due time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.conn.SetReadDeadline(boottime.ToRuntime(due))
}

func (c *serverConn) write(resp *Response, head, closing bool) error {
	length := int64(len(resp.Body))
	if resp.Rest != nil {
		length = resp.BodyLength
	}
	b := bytes.NewBuffer(make([]byte, 0, 512))
	appendStatus(b, resp, length, closing)
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if head || !bodyAllowed(resp.Status) {
		_, err := c.conn.Write(b.Bytes())
		return err
	}
	if resp.Rest == nil {
		buffers := net.Buffers{b.Bytes(), resp.Body}
		_, err := buffers.WriteTo(c.conn)
		return err
	}
	return c.stream(b, resp, length)
}

// stream writes an answer whose body is still being read. If the body is truncated, it
// returns an error and the connection is closed, so that the answer can't appear
// complete.
func (c *serverConn) stream(b *bytes.Buffer, resp *Response, length int64) error {
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return err
	}
	return copyBody(c.conn, io.MultiReader(bytes.NewReader(resp.Body), resp.Rest), length)
}
