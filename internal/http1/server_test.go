package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

var testLimits = Limits{
	HeaderBytes: 8 << 10, BodyBytes: 1 << 10, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 300 * time.Millisecond,
}

// newTestCallers returns the functions of a server whose requests are answered by handle.
func newTestCallers(handle func(context.Context, *Request) *Response) Handlers {
	return Handlers{
		Handle: handle, RefuseEarly: func(*Request) *Response { return nil }, Busy: func() bool { return false }, Limits: func() Limits { return testLimits },
		ErrorAnswer: func(status int) *Response { return &Response{Status: status, Header: http.Header{}} },
	}
}

// serve starts a server and returns it with a function that connects to it.
func serve(t *testing.T, handle func(context.Context, *Request) *Response) (*Server, func() net.Conn) {
	t.Helper()
	return serveCallers(t, newTestCallers(handle))
}

func serveCallers(t *testing.T, callers Handlers) (*Server, func() net.Conn) {
	t.Helper()
	s := NewServer(callers)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(ln)
	t.Cleanup(func() { ln.Close() })
	return s, func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(10 * time.Second))
		t.Cleanup(func() { c.Close() })
		return c
	}
}

func echo(_ context.Context, r *Request) *Response {
	return &Response{Status: 200, Header: http.Header{"X": {"y"}}, Body: []byte(r.Method + " " + r.URI + " " + string(r.Body))}
}

// readAnswers reads n answers and returns their status and body.
func readAnswers(t *testing.T, c net.Conn, n int) []string {
	t.Helper()
	r := bufio.NewReader(c)
	var list []string
	for range n {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("after %q: %v", list, err)
		}
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, fmt.Sprintf("%d %s", resp.StatusCode, b))
	}
	return list
}

func TestServerAnswers(t *testing.T) {
	tests := map[string]struct {
		send string
		want []string // answers
		ends bool     // the connection is closed after them
	}{
		"length":   {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz", []string{"200 POST /a xyz"}, false},
		"chunks":   {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n", []string{"200 POST /a xyz"}, false},
		"raw path": {"GET /a%2Fb?c=d%20e HTTP/1.1\r\nHost: h\r\n\r\n", []string{"200 GET /a%2Fb?c=d%20e "}, false},
		"pipelined": {
			"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n",
			[]string{"200 GET /1 ", "200 GET /2 ", "200 GET /3 "},
			false,
		},
		"close": {
			"GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
			[]string{"200 GET /1 "},
			true,
		},
		"HTTP/1.0":     {"GET /1 HTTP/1.0\r\nHost: h\r\n\r\n", []string{"200 GET /1 "}, true},
		"not HTTP":     {"hello\r\n\r\n", []string{"400 "}, true},
		"bad length":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nxyz", []string{"400 "}, true},
		"long header":  {"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", []string{"431 "}, true},
		"long body":    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4096\r\n\r\n", []string{"413 "}, true},
		"slow header":  {"GET / HTTP/1.1\r\nHo", []string{"408 "}, true},
		"idle":         {"", nil, true},
		"after a good": {"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nhello\r\n\r\n", []string{"200 GET /1 ", "400 "}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, dial := serve(t, echo)
			c := dial()
			io.WriteString(c, tt.send)
			got := readAnswers(t, c, len(tt.want))
			if fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if tt.ends {
				if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
					t.Errorf("got %d bytes, %v, want the connection closed", n, err)
				}
			}
		})
	}
}

// Later requests of a connection are handled while the first one waits, and their
// answers follow its answer in order.
func TestServerPipelining(t *testing.T) {
	release := make(chan struct{})
	handled := make(chan string, 3)
	_, dial := serve(t, func(_ context.Context, r *Request) *Response {
		handled <- r.URI
		if r.URI == "/1" {
			<-release
		}
		return echo(nil, r)
	})
	c := dial()
	for i := 1; i <= 3; i++ {
		fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
	}
	for range 3 {
		<-handled
	}
	close(release)
	got := readAnswers(t, c, 3)
	want := []string{"200 GET /1 ", "200 GET /2 ", "200 GET /3 "}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// The handling of a request is cancelled when its caller disconnects, also if the request
// had Connection: close.
func TestCallerLeaves(t *testing.T) {
	tests := map[string]string{
		"kept connection": "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"last request":    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			started, cancelled := make(chan struct{}), make(chan struct{})
			_, dial := serve(t, func(ctx context.Context, r *Request) *Response {
				close(started)
				<-ctx.Done()
				close(cancelled)
				return echo(ctx, r)
			})
			c := dial()
			io.WriteString(c, send)
			<-started
			c.Close()
			select {
			case <-cancelled:
			case <-time.After(5 * time.Second):
				t.Error("got a request still handled after its caller disconnected, want it cancelled")
			}
		})
	}
}

// A draining server answers the requests that it has read, announces the close in the
// last answer, and closes all connections.
func TestDrain(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{}, 1)
	s, dial := serve(t, func(ctx context.Context, r *Request) *Response {
		started <- struct{}{}
		<-release
		return echo(ctx, r)
	})
	idle, busy := dial(), dial()
	io.WriteString(busy, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	s.Drain()
	s.CloseIdle()
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil {
		t.Fatal(err)
	}
	if !resp.Close || resp.StatusCode != 200 {
		t.Errorf("got status %d, close %t, want 200 and Connection: close", resp.StatusCode, resp.Close)
	}
	resp.Body.Close()
	busy.Close()
	if n, err := idle.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("got %d bytes, %v on an idle connection, want it closed", n, err)
	}
	idle.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := s.Wait(ctx); err != nil {
		t.Errorf("got %v, want all connections closed", err)
	}
}

// A request that is received in part when idle connections are closed gets an answer, as
// its caller can't assume that it was not read. The server once read it, gave no answer
// and left the connection open.
func TestCloseIdleMeetsRequest(t *testing.T) {
	s, dial := serve(t, echo)
	c := dial()
	fmt.Fprint(c, "GET /a HT")
	for s.ConnCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // until the server reads it
	s.Drain()
	s.CloseIdle()
	fmt.Fprint(c, "TP/1.1\r\nHost: h\r\n\r\n")
	c.SetDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Fatalf("got %+v, %v, want 200 and Connection: close", resp, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := s.Wait(ctx); err != nil {
		t.Errorf("got %v, want the connection closed", err)
	}
}

// An answer whose rest is truncated must not appear complete to the caller.
func TestTruncatedRest(t *testing.T) {
	for name, length := range map[string]int64{"length": 100, "no length": -1} {
		t.Run(name, func(t *testing.T) {
			_, dial := serve(t, func(context.Context, *Request) *Response {
				rest := io.NopCloser(io.MultiReader(strings.NewReader("rest"), &failingReader{}))
				return &Response{Status: 200, Header: http.Header{}, Body: []byte("begin"), Rest: rest, BodyLength: length}
			})
			c := dial()
			io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if b, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("got %q as a complete body, want an error", b)
			}
		})
	}
}

// A request that is not allowed is refused before its body is received, and the
// connection closes with the answer. A request whose body has been received with its head
// is not checked at this point.
func TestEarlyRefusal(t *testing.T) {
	tests := map[string]struct {
		send      string
		want      string
		staysOpen bool // the connection stays open after the answer
	}{
		"body to come":           {send: "POST /no HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n", want: "401 "},
		"chunks to come":         {send: "POST /no HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", want: "401 "},
		"waits for a go-ahead":   {send: "POST /no HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n", want: "401 "},
		"body is there":          {send: "POST /no HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", want: "200 POST /no hi", staysOpen: true},
		"no body":                {send: "GET /no HTTP/1.1\r\nHost: h\r\n\r\n", want: "200 GET /no ", staysOpen: true},
		"allowed, body in parts": {send: "POST /yes HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n|hi", want: "200 POST /yes hi", staysOpen: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			callers := newTestCallers(echo)
			callers.RefuseEarly = func(r *Request) *Response {
				if r.Path == "/no" {
					return &Response{Status: http.StatusUnauthorized, Header: http.Header{}}
				}
				return nil
			}
			_, dial := serveCallers(t, callers)
			c := dial()
			for i, part := range strings.Split(tt.send, "|") {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond) // the parts arrive separately
				io.WriteString(c, part)
			}
			if got := readAnswers(t, c, 1)[0]; got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			_, err := c.Read(make([]byte, 1))
			if open := err != io.EOF; open != tt.staysOpen {
				t.Errorf("got the connection open: %t, want %t", open, tt.staysOpen)
			}
		})
	}
}

// A busy server refuses a request after reading its head, in order with other answers, and
// keeps the connection open unless part of the body has not been received.
func TestBusyRefusal(t *testing.T) {
	const get, busy = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", "GET /busy HTTP/1.1\r\nHost: h\r\n\r\n"
	const post = "POST /busy HTTP/1.1\r\nHost: h\r\n"
	tests := map[string]struct {
		send      string
		busy      []bool // result of Busy for each request
		want      []string
		staysOpen bool // the connection stays open after the answers
	}{
		"no body":              {busy, []bool{true}, []string{"503 /busy"}, true},
		"body is there":        {post + "Content-Length: 2\r\n\r\nhi" + get, []bool{true, false}, []string{"503 /busy", "200 GET /1 "}, true},
		"chunks there":         {post + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", []bool{true}, []string{"503 /busy"}, false},
		"body to come":         {post + "Content-Length: 900\r\n\r\n", []bool{true}, []string{"503 /busy"}, false},
		"behind others":        {get + busy + get, []bool{false, true, false}, []string{"200 GET /1 ", "503 /busy", "200 GET /1 "}, true},
		"before others":        {busy + busy + get, []bool{true, true, false}, []string{"503 /busy", "503 /busy", "200 GET /1 "}, true},
		"asked to close":       {"GET /busy HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", []bool{true}, []string{"503 /busy"}, false},
		"not so busy":          {get, []bool{false}, []string{"200 GET /1 "}, true},
		"waits for a go-ahead": {post + "Expect: 100-continue\r\nContent-Length: 9\r\n\r\n", []bool{true}, []string{"503 /busy"}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			callers := newTestCallers(echo)
			next := 0
			callers.Busy = func() bool {
				next++
				return tt.busy[next-1]
			}
			callers.BusyAnswer = func(r *Request) *Response {
				return &Response{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: []byte(r.Path)}
			}
			_, dial := serveCallers(t, callers)
			c := dial()
			io.WriteString(c, tt.send)
			if got := readAnswers(t, c, len(tt.want)); fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			_, err := c.Read(make([]byte, 1))
			if open := err != io.EOF; open != tt.staysOpen {
				t.Errorf("got the connection open: %t, want %t", open, tt.staysOpen)
			}
		})
	}
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func FuzzServer(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, send string) {
		var seen []string
		s := NewServer(newTestCallers(func(_ context.Context, r *Request) *Response {
			seen = append(seen, r.URI)
			if strings.ContainsAny(r.URI, " \r\n") || strings.ContainsAny(r.Host, "\r\n") {
				t.Errorf("got request %q of host %q", r.URI, r.Host)
			}
			return &Response{Status: 204, Header: http.Header{}}
		}))
		near, far := net.Pipe()
		go io.Copy(io.Discard, far)
		go func() {
			io.WriteString(far, send)
			far.Close()
		}()
		newServerConn(s, near, nil, 1).run()
	})
}
