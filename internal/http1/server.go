package http1

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // of a connection without requests
}

// Callers is what a Server does with the requests of callers.
type Callers struct {
	// Handle answers a request. ctx ends when the caller has left. It is called in a
	// goroutine for each request.
	Handle func(ctx context.Context, r *Request) *Response
	// Early refuses a request whose body has not come yet; nil lets it come.
	Early func(r *Request) *Response
	// Busy says whether this process has no time for a request whose head was read.
	Busy func() bool
	// TooBusy makes the answer to such a request. It is called by the goroutine that reads
	// the connection.
	TooBusy func(r *Request) *Response
	// Limits is asked for each request.
	Limits func() Limits
	// Unreadable makes the answer to a request that can't be read.
	Unreadable func(status int) *Response
}

// maxPipelined is how many requests of one connection are worked on at once. A
// caller that sends more is not read until one is answered.
const maxPipelined = 64

// Server takes connections of callers.
type Server struct {
	callers Callers

	lastConnID atomic.Uint64 // number of the last connection
	draining   atomic.Bool   // each connection ends with its next answer

	mu        sync.Mutex
	conns     map[*serverConn]struct{} // guarded by mu
	connsOpen sync.WaitGroup           // open connections
}

// NewServer makes a server.
func NewServer(callers Callers) *Server {
	return &Server{callers: callers, conns: make(map[*serverConn]struct{})}
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			if e, ok := err.(net.Error); ok && e.Timeout() {
				continue
			}
			return err
		}
		s.start(c)
	}
}

func (s *Server) start(c net.Conn) {
	sc := newServerConn(s, c, s.lastConnID.Add(1))
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

// Drain lets each connection end with its next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which no request waits for its answer. It
// goes with Drain.
func (s *Server) CloseIdle() {
	for _, c := range s.openConns() {
		c.closeIdle()
	}
}

// Wait waits until all connections have ended, or ctx has.
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

// Open returns how many connections are open.
func (s *Server) Open() int { return len(s.openConns()) }

func (s *Server) openConns() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}
