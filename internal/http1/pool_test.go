package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/tcp"
)

// newScriptedTarget starts a target that answers each request with the next text. "close"
// closes the connection, "reset" resets it, and "wait" gives no answer.
func newScriptedTarget(t *testing.T, texts ...string) (address string, conns <-chan int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	opened := make(chan int, 100)
	next := make(chan string, len(texts))
	for _, text := range texts {
		next <- text
	}
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			opened <- n
			go runScript(c, next)
		}
	}()
	return ln.Addr().String(), opened
}

func runScript(c net.Conn, next <-chan string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		in, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, in.Body)
		switch text := <-next; text {
		case "close":
			return
		case "reset":
			c.(*net.TCPConn).SetLinger(0)
			return
		case "wait":
			r.Peek(1)
			return
		default:
			io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
			if strings.Contains(text, "Connection: close") {
				return
			}
		}
	}
}

func newExchange(address string) *Exchange {
	return &Exchange{
		Request: &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}}, Header: http.Header{"Id": {"mine"}},
		Target: "t", Address: address, Deadline: time.Now().Add(5 * time.Second),
		IsAnswer: func(_ int, h http.Header) bool { return h.Get("Id") == "mine" },
		KeepConn: func(*Response) bool { return true },
	}
}

const (
	goodAnswer  = "HTTP/1.1 200 OK\nId: mine\nContent-Length: 2\n\nok"
	strayAnswer = "HTTP/1.1 200 OK\nId: other\nContent-Length: 3\n\nbad"
)

func TestExchange(t *testing.T) {
	tests := map[string]struct {
		answers []string
		want    string // body; "" if no complete answer is expected
		conns   int    // opened for two exchanges, of which the second gets a good answer
	}{
		"kept":             {[]string{goodAnswer, goodAnswer}, "ok", 1},
		"closed":           {[]string{"HTTP/1.1 200 OK\nId: mine\nContent-Length: 2\nConnection: close\n\nok", goodAnswer}, "ok", 2},
		"ends with itself": {[]string{"HTTP/1.1 200 OK\nId: mine\nConnection: close\n\nok", goodAnswer}, "ok", 2},
		"chunks":           {[]string{"HTTP/1.1 200 OK\nId: mine\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n", goodAnswer}, "ok", 1},
		"interim":          {[]string{"HTTP/1.1 103 Early\n\n" + goodAnswer, goodAnswer}, "ok", 1},
		"late before it":   {[]string{strayAnswer + goodAnswer, goodAnswer}, "ok", 2},
		"extra after it":   {[]string{goodAnswer + strayAnswer, goodAnswer}, "ok", 2},
		"cut short":        {[]string{"HTTP/1.1 200 OK\nId: mine\nContent-Length: 20\nConnection: close\n\nok", goodAnswer}, "", 2},
		"cut chunk":        {[]string{"HTTP/1.1 200 OK\nId: mine\nTransfer-Encoding: chunked\nConnection: close\n\n5\nok", goodAnswer}, "", 2},
		"not HTTP":         {[]string{"hello there\n\n", goodAnswer}, "", 2},
		"only strays":      {[]string{strings.Repeat(strayAnswer, maxStray+1), goodAnswer}, "", 2},
		"no answer":        {[]string{"close", goodAnswer}, "", 2},
		"reset":            {[]string{"reset", goodAnswer}, "", 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, conns := newScriptedTarget(t, tt.answers...)
			p := NewPool(tcp.NewDialer("").DialContext, nil)
			defer p.Close()
			resp, err := p.Do(context.Background(), newExchange(address))
			var lost *NoAnswerError
			switch {
			case tt.want == "" && !errors.As(err, &lost):
				t.Errorf("got %v, want the error for no complete answer", err)
			case tt.want != "" && err != nil:
				t.Errorf("got %v, want no error", err)
			case tt.want != "" && string(resp.Body) != tt.want:
				t.Errorf("got %q, want %q", resp.Body, tt.want)
			}
			time.Sleep(10 * time.Millisecond) // late bytes have arrived by now
			if _, err := p.Do(context.Background(), newExchange(address)); err != nil {
				t.Errorf("second exchange: got %v, want no error", err)
			}
			if got := len(conns); got != tt.conns {
				t.Errorf("got %d connections, want %d", got, tt.conns)
			}
		})
	}
}

// A failed connect is reported as NotSentError, as only a request of which nothing was
// sent may be retried.
func TestNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	p := NewPool(tcp.NewDialer("").DialContext, nil)
	defer p.Close()
	_, err = p.Do(context.Background(), newExchange(address))
	var unsent *NotSentError
	if !errors.As(err, &unsent) {
		t.Errorf("got %v, want a *NotSentError", err)
	}
}

// A request that is no longer wanted when the connection is established is not sent.
func TestUnwanted(t *testing.T) {
	address, _ := newScriptedTarget(t, "close")
	p := NewPool(tcp.NewDialer("").DialContext, nil)
	defer p.Close()
	e := newExchange(address)
	asked := 0
	e.ShouldSend = func() bool {
		asked++
		return false
	}
	_, err := p.Do(context.Background(), e)
	var unsent *NotSentError
	var unwanted *UnwantedError
	if !errors.As(err, &unsent) || !errors.As(err, &unwanted) || asked != 1 {
		t.Errorf("got %v, asked %d times, want a *NotSentError for an *UnwantedError, and once", err, asked)
	}
}

func TestExchangeAborted(t *testing.T) {
	tests := map[string]func(e *Exchange) context.Context{
		"deadline": func(e *Exchange) context.Context {
			e.Deadline = time.Now().Add(50 * time.Millisecond)
			return context.Background()
		},
		"caller left": func(*Exchange) context.Context {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(50*time.Millisecond, cancel)
			return ctx
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := newScriptedTarget(t, "wait")
			p := NewPool(tcp.NewDialer("").DialContext, nil)
			defer p.Close()
			e := newExchange(address)
			begin := time.Now()
			_, err := p.Do(prepare(e), e)
			var lost *NoAnswerError
			if !errors.As(err, &lost) {
				t.Errorf("got %v, want the error for no complete answer", err)
			}
			if took := time.Since(begin); took > 2*time.Second {
				t.Errorf("got Do to return after %s, want at most 2s", took)
			}
		})
	}
}

// A target that answers before it has read a long body gets no further request on that
// connection.
func TestEarlyAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	read := make(chan int64, 2)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			io.WriteString(c, strings.ReplaceAll(goodAnswer, "\n", "\r\n"))
			n, _ := io.Copy(io.Discard, c)
			read <- n
		}
	}()
	p := NewPool(tcp.NewDialer("").DialContext, nil)
	defer p.Close()
	e := newExchange(ln.Addr().String())
	e.Request.Method, e.Request.Body = "POST", make([]byte, 32<<20)
	if _, err := p.Do(context.Background(), e); err != nil {
		t.Fatal(err)
	}
	if got := <-read; got > 33<<20 {
		t.Errorf("got %d bytes on the connection, want only the request", got)
	}
}

// Connections that the target may be closing are not used for non-idempotent requests.
func TestOnceUsesFreshConnections(t *testing.T) {
	address, conns := newScriptedTarget(t, goodAnswer, goodAnswer, goodAnswer)
	p := NewPool(tcp.NewDialer("").DialContext, nil)
	defer p.Close()
	if _, err := p.Do(context.Background(), newExchange(address)); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	p.idle["t"][0].nonIdempotentUntil = time.Now()
	p.mu.Unlock()
	e := newExchange(address)
	e.NonIdempotent = true
	if _, err := p.Do(context.Background(), e); err != nil {
		t.Fatal(err)
	}
	if got := len(conns); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}

// After a timeout on one pooled connection, the other connections to that target are not
// used either. A caller that disconnects has no such effect.
func TestSilentConnections(t *testing.T) {
	tests := map[string]struct {
		leave bool // the caller disconnects before the deadline
		conns int  // opened in all
	}{
		"silence": {false, 3},
		"left":    {true, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, conns := newScriptedTarget(t, goodAnswer, goodAnswer, "wait", goodAnswer)
			p := NewPool(tcp.NewDialer("").DialContext, nil)
			defer p.Close()
			fillPool(t, p, address)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			e := newExchange(address)
			if tt.leave {
				time.AfterFunc(100*time.Millisecond, cancel)
			} else {
				e.Deadline = time.Now().Add(100 * time.Millisecond)
			}
			if _, err := p.Do(ctx, e); err == nil {
				t.Fatal("got an answer from a connection without one, want an error")
			}
			if _, err := p.Do(context.Background(), newExchange(address)); err != nil {
				t.Fatal(err)
			}
			if got := len(conns); got != tt.conns {
				t.Errorf("got %d connections, want %d", got, tt.conns)
			}
		})
	}
}

// fillPool adds two connections to the target of newExchange to the pool.
func fillPool(t *testing.T, p *Pool, address string) {
	t.Helper()
	var list []*poolConn
	for range 2 {
		c, err := p.get(context.Background(), newExchange(address))
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, c)
	}
	for _, c := range list {
		e := newExchange(address)
		sent := c.send(e)
		a, err := c.receive(e, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		p.release(c, sent, a, e)
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=10": 10 * time.Second, "max=5, Timeout=3": 3 * time.Second, "": 0, "timeout=x": 0,
	} {
		if got := keepAliveTimeout(http.Header{"Keep-Alive": {text}}); got != want {
			t.Errorf("%q: got %s, want %s", text, got, want)
		}
	}
}

// The rest of a long answer is read by the receiver while it arrives.
func TestLongAnswer(t *testing.T) {
	size := maxBuffered + 1000
	address, _ := newScriptedTarget(t, fmt.Sprintf("HTTP/1.1 200 OK\nId: mine\nContent-Length: %d\n\n%s", size, strings.Repeat("x", size)))
	p := NewPool(tcp.NewDialer("").DialContext, nil)
	defer p.Close()
	resp, err := p.Do(context.Background(), newExchange(address))
	if err != nil {
		t.Fatal(err)
	}
	if resp.Rest == nil || resp.BodyLength != int64(size) {
		t.Fatalf("got a rest: %t, length %d, want a rest of %d", resp.Rest != nil, resp.BodyLength, size)
	}
	n, err := io.Copy(io.Discard, resp.Rest)
	resp.Rest.Close()
	if err != nil || int(n)+len(resp.Body) != size {
		t.Errorf("got %d and %d bytes, %v, want %d", len(resp.Body), n, err, size)
	}
}
