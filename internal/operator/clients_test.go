package operator

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener is a listener of in-memory connections made by dial, for use with virtual
// time.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	p <- server
	return client
}

// closeDelay is longer than net/http keeps a connection open after rejecting its request.
const closeDelay = time.Second

// TestBadClients sends incomplete, slow or malformed requests, and checks that the server
// closes the connection in time and stays healthy.
func TestBadClients(t *testing.T) {
	const put = "PUT /v1/documents/places/hob-a HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer system-write\r\n" +
		"If-Match: \"1\"\r\nContent-Length: 100\r\n\r\nregion"
	tests := map[string]struct {
		sent   string
		status int // 0 if closed without a response
		within time.Duration
	}{
		"nothing":      {"", 0, headerTimeout},
		"half a head":  {"GET /health HTTP/1.1\r\nHos", http.StatusBadRequest, headerTimeout},
		"slow body":    {put, http.StatusBadRequest, readTimeout},
		"garbage":      {"\x16\x03\x01\x00\xff\r\n\r\n", http.StatusBadRequest, 0},
		"large header": {"GET /health HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maxHeader) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge, time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFilledFixture(t)
				ln := make(pipeListener)
				go func() { _ = b.server.Serve(ln) }()
				conn := ln.dial()
				start := time.Now()
				go func() { _, _ = io.WriteString(conn, tt.sent) }()
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				got := 0
				if err == nil {
					got = resp.StatusCode
				}
				if elapsed := time.Since(start); got != tt.status || elapsed > tt.within {
					t.Errorf("got status %d after %v, want %d within %v", got, elapsed, tt.status, tt.within)
				}
				_ = conn.Close()
				if got := b.do("GET", "/health", "", "").Code; got != http.StatusOK {
					t.Errorf("got status %d of /health, want 200", got)
				}
				close(ln)
				_ = b.server.HTTP().Close()
				time.Sleep(closeDelay)
			})
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFilledFixture(t)
		ln := make(pipeListener)
		go func() { _ = b.server.Serve(ln) }()
		var conns []net.Conn
		for range maxConns {
			conns = append(conns, ln.dial())
		}
		excess := ln.dial()
		start := time.Now()
		if _, err := excess.Read(make([]byte, 1)); err == nil || time.Since(start) > 0 {
			t.Errorf("got %v after %v, want the connection closed at once", err, time.Since(start))
		}
		for _, c := range conns {
			_ = c.Close()
		}
		synctest.Wait()
		if got := b.server.conns.Load(); got != 0 {
			t.Errorf("got %d connections counted, want 0", got)
		}
		close(ln)
		_ = b.server.HTTP().Close()
	})
}
