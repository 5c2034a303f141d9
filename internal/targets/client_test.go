package targets

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// closingTarget is a target that answers the first request of each connection, and closes
// the connection when it has read the second.
type closingTarget struct {
	ln  net.Listener
	got atomic.Int32 // requests read
}

func newClosingTarget(t *testing.T) *closingTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &closingTarget{ln: ln}
	go s.accept()
	return s
}

func (s *closingTarget) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *closingTarget) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if s.got.Add(1)%2 == 1 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func newRequest(t *testing.T, method, address, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+address+"/", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", "k")
	return r
}

// TestNoTransportRetry closes a kept connection after the request was read: the transport's
// own retry must not reach the target.
func TestNoTransportRetry(t *testing.T) {
	tests := map[string]struct{ method, body string }{
		"get":              {http.MethodGet, ""},
		"keyed empty post": {http.MethodPost, ""},
		"post":             {http.MethodPost, "work"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := newClosingTarget(t), New(nil)
			defer c.Close()
			address := s.ln.Addr().String()
			resp, err := c.Send(context.Background(), newRequest(t, tt.method, address, tt.body), nil)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			_, err = c.Send(context.Background(), newRequest(t, tt.method, address, tt.body), nil)
			var lost *NoAnswerError
			if !errors.As(err, &lost) {
				t.Errorf("got %v, want a *LostError", err)
			}
			if got := s.got.Load(); got != 2 {
				t.Errorf("got %d requests at the target, want 2", got)
			}
		})
	}
}

// failingConn fails to write, before or after one byte has been sent.
type failingConn struct {
	net.Conn
	after bool
}

func (c failingConn) Write(b []byte) (int, error) {
	if c.after {
		c.Conn.Write(b[:1])
	}
	return 0, io.ErrClosedPipe
}

func TestProofOfNotSent(t *testing.T) {
	pipe := func(after bool) Dial {
		return func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go io.Copy(io.Discard, far)
			return failingConn{near, after}, nil
		}
	}
	refuse := func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: io.ErrClosedPipe}
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	tests := map[string]struct {
		ctx  context.Context
		dial Dial
		want bool
	}{
		"refused":           {context.Background(), refuse, true},
		"cancelled before":  {cancelled, pipe(true), true},
		"failed on a write": {context.Background(), pipe(true), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := New(tt.dial).Send(tt.ctx, newRequest(t, http.MethodPost, "10.0.0.1:80", "work"), nil)
			var notSent *NotSentError
			if got := errors.As(err, &notSent); got != tt.want {
				t.Errorf("got proof %v of %v, want %v", got, err, tt.want)
			}
		})
	}
}

func TestSealedConnProvesNotSent(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{Conn: near}
	c.assign(nil)
	if got := c.seal(); !got {
		t.Error("got no proof, want one: nothing was written")
	}
	if _, err := c.Write([]byte("late")); err == nil {
		t.Error("got a write after the proof, want none")
	}
}

// TestEndOfBrokenAttempt checks that the end of an aborted attempt is reported when the
// target has closed its connection, and not before.
func TestEndOfBrokenAttempt(t *testing.T) {
	tests := map[string]struct {
		end  func(c *net.TCPConn) // what the target does when the caller has closed its side
		want ConnEnd
	}{
		"ends too": {func(c *net.TCPConn) { c.Close() }, ClosedByTarget},
		"answers first": {func(c *net.TCPConn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			c.Close()
		}, ClosedByTarget},
		"resets": {func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		}, Reset},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			callerClosed, proceed := make(chan struct{}), make(chan struct{})
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				io.Copy(io.Discard, c) // until the caller has closed its side
				close(callerClosed)
				<-proceed
				tt.end(c.(*net.TCPConn))
			}()
			client := New(nil)
			defer client.Close()
			ended := make(chan ConnEnd, 2)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			_, err = client.Send(ctx, newRequest(t, http.MethodGet, ln.Addr().String(), ""), func(end ConnEnd) { ended <- end })
			var lost *NoAnswerError
			if !errors.As(err, &lost) {
				t.Fatalf("got %v, want a *LostError", err)
			}
			<-callerClosed
			select {
			case end := <-ended:
				t.Fatalf("got end %d before the target closed its connection", end)
			case <-time.After(20 * time.Millisecond):
			}
			close(proceed)
			if got := <-ended; got != tt.want {
				t.Errorf("got end %d, want %d", got, tt.want)
			}
		})
	}
}

// TestDialIsBounded checks that a dial to an address that does not answer times out before
// the request does, and counts as proof that nothing was sent.
func TestDialIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		defer c.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		_, err := c.Send(ctx, newRequest(t, http.MethodGet, "192.0.2.1:1", ""), nil)
		var notSent *NotSentError
		if !errors.As(err, &notSent) {
			t.Errorf("got %v, want proof that nothing was sent", err)
		}
		if got := time.Since(began); got != dialTimeout {
			t.Errorf("got %s until the end, want %s", got, dialTimeout)
		}
	})
}
