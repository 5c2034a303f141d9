package http1

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/firlever/firlever/internal/tcp"
)

// Limits holds the limits on the size and duration of requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // of a connection without requests
}

// Handlers holds the functions by which a Server handles requests.
type Handlers struct {
	// Handle answers a request. It is called in a goroutine of its own for each request.
	// ctx is cancelled when the caller disconnects.
	Handle func(ctx context.Context, r *Request) *Response
	// RefuseEarly may refuse a request before its body is received. It returns nil to accept
	// the body.
	RefuseEarly func(r *Request) *Response
	// Busy reports whether this process is too busy for a request whose head was read.
	Busy func() bool
	// BusyAnswer returns the answer to such a request. It is called by the goroutine that
	// reads the connection.
	BusyAnswer func(r *Request) *Response
	// Budget is what requests take from.
	Budget *Budget
	// Port admits connections; nil admits all.
	Port *tcp.Port
	// NoMemory returns the answer to a request that doesn't fit into the budget. If its head doesn't, only
	// the number of its connection is known.
	NoMemory func(r *Request) *Response
	// Limits returns the limits in force. It is called for each request.
	Limits func() Limits
	// AcceptFailed is called with each error of the listener; it may be nil.
	AcceptFailed func(error)
	// ErrorAnswer returns the answer, with the given status, to a request that can't be
	// read.
	ErrorAnswer func(status int) *Response
}

// maxPipelined is the number of requests of one connection that are handled
// concurrently. Further requests are not read until one is answered.
const maxPipelined = 64

// Server serves HTTP/1.1 to callers. It is safe for concurrent use.
type Server struct {
	callers Handlers

	lastConnID atomic.Uint64 // number of the last connection
	draining   atomic.Bool   // each connection closes after its next answer

	mu        sync.Mutex
	conns     map[*serverConn]struct{} // guarded by mu
	connsOpen sync.WaitGroup           // counts open connections
}

// NewServer returns a server that handles requests with callers.
func NewServer(callers Handlers) *Server {
	return &Server{callers: callers, conns: make(map[*serverConn]struct{})}
}

// Serve accepts connections until the listener is closed, and returns its error.
func (s *Server) Serve(ln net.Listener) error {
	ln = tcp.NewRetryListener(ln, s.callers.AcceptFailed)
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		if slot, ok := s.callers.Port.Admit(c); ok {
			s.start(c, slot)
		}
	}
}

func (s *Server) start(c net.Conn, slot *tcp.Slot) {
	sc := newServerConn(s, c, slot, s.lastConnID.Add(1))
	s.mu.Lock()
	s.conns[sc] = struct{}{}
	s.mu.Unlock()
	s.connsOpen.Add(1)
	go func() {
		defer s.connsOpen.Done()
		sc.run()
		s.mu.Lock()
		delete(s.conns, sc)
		s.mu.Unlock()
	}()
}

// Drain closes each connection after its next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections without pending requests. It is to be called after
// Drain.
func (s *Server) CloseIdle() {
	for _, c := range s.openConns() {
		c.closeIdle()
	}
}

// Wait blocks until all connections are closed or ctx ends. In the second case it
// returns the error of ctx.
func (s *Server) Wait(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		s.connsOpen.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int { return len(s.openConns()) }

func (s *Server) openConns() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}
