package http1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/tcp"
)

// Guard takes from a budget what the requests of an http.Server hold, and counts its connections. It closes connections whose heads don't fit, and refuses requests that don't.
type Guard struct {
	Budget *Budget
	Port   *tcp.Port        // nil admits all connections
	Refuse http.HandlerFunc // answers a request that doesn't fit, with a status that promises that it has not run
	// Copies is how often the head of a request is held at most.
	Copies int
	// HeldBody is how many bytes of a body are held at most, the rest being passed on as it comes; 0 if
	// handlers hold the whole body as bytes and decoded.
	HeldBody int64
	// WriteTimeout is how long a caller may take to receive its answer, from when its request was read. Handlers
	// may set a deadline of their own.
	WriteTimeout time.Duration
	// OnFull is called when a head or body doesn't fit; it may be nil.
	OnFull func(error)
}

// guardKey is the key of a request's *guardConn in its context.
type guardKey struct{}

// Protect makes the server accept connections of Listen.
func (g *Guard) Protect(s *http.Server) {
	next, connState := s.Handler, s.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(next, w, r) })
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, guardKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if gc, ok := c.(*guardConn); ok && state == http.StateIdle {
			gc.beginHead()
		}
		if connState != nil {
			connState(c, state)
		}
	}
}

// Listen returns a listener that admits connections of another one.
func (g *Guard) Listen(ln net.Listener) net.Listener { return &guardListener{Listener: ln, guard: g} }

type guardListener struct {
	net.Listener
	guard *Guard
}

// Accept waits for the next connection that is admitted.
func (l *guardListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if slot, ok := l.guard.Port.Admit(c); ok {
			gc := &guardConn{Conn: c, guard: l.guard, slot: slot}
			gc.beginHead()
			return gc, nil
		}
	}
}

// serve handles a request that fits into the budget.
func (g *Guard) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(guardKey{}).(*guardConn)
	if !ok {
		next.ServeHTTP(w, r)
		return
	}
	if !c.slot.Begin() {
		panic(http.ErrAbortHandler) // closed for another connection; the request has not run
	}
	defer c.slot.End()
	defer c.endRequest()
	if err := c.keepHead(int64(g.Copies)*headBytes(len(r.RequestURI), r.Header) + queryBytes(r.URL.RawQuery)); err != nil {
		g.full(err)
		w.Header().Set("Connection", "close")
		g.Refuse(w, r)
		return
	}
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = &guardBody{ReadCloser: r.Body, conn: c, held: g.HeldBody}
	}
	// Connections with requests in progress stay open, so a caller that doesn't read would keep its own for good.
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.WriteTimeout)); err != nil {
		panic(http.ErrAbortHandler) // the connection is closed
	}
	next.ServeHTTP(w, r)
}

// HoldBodies returns a handler that holds whole bodies of requests, on a port whose other handlers pass them on.
// decoded returns how many bytes a body holds once it is decoded.
func HoldBodies(next http.Handler, decoded func(r *http.Request, body []byte) int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		guarded, ok := r.Body.(*guardBody)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		guarded.held = 0
		body, err := io.ReadAll(r.Body)
		c := guarded.conn
		if err == nil {
			err = c.hold(decoded(r, body), c.guard.Budget.take)
		}
		if err != nil {
			c.guard.full(err)
			w.Header().Set("Connection", "close")
			c.guard.Refuse(w, r)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// HoldAnswer takes from the budget what the head of an answer holds, to a request whose context is ctx, until
// that request ends. It returns a *NoMemoryError if there is no room.
func HoldAnswer(ctx context.Context, resp *http.Response) error {
	c, ok := ctx.Value(guardKey{}).(*guardConn)
	size := answerCopies*headBytes(len(resp.Status), resp.Header) - ordinaryHead
	if !ok || size <= 0 {
		return nil
	}
	return c.hold(size, c.guard.Budget.takeReserved)
}

func (g *Guard) full(err error) {
	if g.OnFull != nil {
		g.OnFull(err)
	}
}

// queryBytes returns how many bytes the parsed form of a query holds.
func queryBytes(query string) int64 {
	if query == "" {
		return 0
	}
	return int64(len(query) + lineBytes*(1+strings.Count(query, "&")))
}

// guardConn is a connection of a guarded server. While no request is handled, all that is received counts
// as a head.
type guardConn struct {
	net.Conn
	guard *Guard
	slot  *tcp.Slot

	mu     sync.Mutex
	head   headMeter // of the request that is read; guarded by mu
	taken  int64     // bytes of the budget for the request that is handled; guarded by mu
	closed bool      // guarded by mu
}

// CloseWrite closes the writing side.
func (c *guardConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Read reads from the connection. Its error ends the connection if a head doesn't fit into the budget.
func (c *guardConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	fits := c.head.add(b[:n])
	size := c.head.size
	c.mu.Unlock()
	if !fits {
		full := &NoMemoryError{Bytes: size}
		c.guard.full(full)
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: full}
	}
	return n, err
}

// Close closes the connection and gives back what it holds.
func (c *guardConn) Close() error {
	c.slot.Release()
	c.mu.Lock()
	c.closed = true
	c.guard.Budget.release(c.head.end() + c.taken)
	c.head, c.taken = headMeter{}, 0
	c.mu.Unlock()
	return c.Conn.Close()
}

// beginHead expects the head of a request.
func (c *guardConn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.Budget.release(c.head.end())
	c.head = headMeter{}
	if !c.closed {
		c.head.begin(c.guard.Budget.take, nil)
	}
}

// keepHead takes from the budget what the head of a request holds that was read.
func (c *guardConn) keepHead(size int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.head.end()
	c.head = headMeter{}
	needed := max(0, size-ordinaryHead)
	if c.closed {
		return nil
	}
	if !c.guard.Budget.take(needed - taken) {
		c.taken += taken
		return &NoMemoryError{Bytes: size}
	}
	c.taken += needed
	return nil
}

// hold takes bytes from the budget until the request ends.
func (c *guardConn) hold(n int64, take func(n int64) bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if !take(n) {
		return &NoMemoryError{Bytes: n}
	}
	c.taken += n
	return nil
}

// endRequest gives back what the request holds.
func (c *guardConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.Budget.release(c.taken)
	c.taken = 0
}

// guardBody is a body that takes from the budget as it is read.
type guardBody struct {
	io.ReadCloser
	conn *guardConn
	held int64 // bytes that are held at most; 0 if all are, and decoded
	read int64 // bytes that count so far
}

// Read reads from the body. It returns a *NoMemoryError if what is read doesn't fit into the budget.
func (b *guardBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if size := b.sizeOf(p[:n]); size > 0 {
		if full := b.conn.hold(size, b.conn.guard.Budget.take); full != nil {
			b.conn.guard.full(full)
			return 0, full
		}
	}
	return n, err
}

// sizeOf counts bytes that were read, and returns how many bytes of memory they hold.
func (b *guardBody) sizeOf(part []byte) int64 {
	if b.held == 0 {
		return messageBytes(part)
	}
	n := min(int64(len(part)), b.held-b.read)
	b.read += n
	return n
}
