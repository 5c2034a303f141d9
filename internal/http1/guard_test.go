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

	"github.com/firlever/firlever/internal/tcp"
)

// guardLimit is the budget of a machine of 96 MB.
var guardLimit = RequestMemory(96)

// guardWriteTimeout is how long clients may take to receive answers.
const guardWriteTimeout = 2 * time.Second

// startGuarded starts a guarded server, and returns a connection to it.
func startGuarded(t *testing.T, budget *Budget, handler http.HandlerFunc) net.Conn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &Guard{
		Budget: budget, Port: tcp.NewConnLimit(4, nil).Port("test"), Copies: RequestCopies, WriteTimeout: guardWriteTimeout,
		Refuse: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	}
	s := &http.Server{Handler: handler, MaxHeaderBytes: 1 << 20}
	g.Protect(s)
	go s.Serve(g.Listen(ln))
	t.Cleanup(func() { s.Close() })
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// distinctLines returns n bytes of distinct short header lines.
func distinctLines(n int) string {
	var b strings.Builder
	for k := 0; b.Len() < n; k++ {
		fmt.Fprintf(&b, "%x:\r\n", k)
	}
	return b.String()
}

// awaitNothingHeld fails the test unless all of a budget is given back.
func awaitNothingHeld(t *testing.T, b *Budget) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); b.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d bytes held after all connections ended, want 0", b.Held())
		}
	}
}

// A single request within the limits is served, whatever its lines; what it held is given back.
func TestGuardServesOneRequestOfManyLines(t *testing.T) {
	budget := NewBudget(guardLimit)
	held := make(chan int64, 1)
	c := startGuarded(t, budget, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		held <- budget.Held()
	})
	head := "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n" + distinctLines(32<<10) + "\r\n"
	reader := bufio.NewReader(c)
	for range 2 { // on the same connection
		io.WriteString(c, head+"abc")
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v, want 200", resp, err)
		}
		if got, want := <-held, int64(len(head)); got < want {
			t.Errorf("got %d bytes held while it is handled, want %d at least", got, want)
		}
	}
	c.Close()
	awaitNothingHeld(t, budget)
}

// A request that doesn't fit gets no answer but a refusal, and its connection ends.
func TestGuardRefusesWhatDoesNotFit(t *testing.T) {
	for name, tt := range map[string]struct {
		limit   int64
		request string
		want    string // start of the answer; "" for none
	}{
		"head while it is read": {ordinaryHead, "GET /a HTTP/1.1\r\nHost: h\r\n" + distinctLines(64<<10) + "\r\n", ""},
		"copies of a head":      {48 << 10, "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 24<<10) + "\r\n\r\n", "HTTP/1.1 503 "},
		"query":                 {ordinaryHead, "GET /a?" + strings.Repeat("a&", 2<<10) + " HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 503 "},
		"body":                  {ordinaryHead, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 64<<10), "HTTP/1.1 400 "},
	} {
		t.Run(name, func(t *testing.T) {
			budget := NewBudget(tt.limit)
			c := startGuarded(t, budget, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					w.WriteHeader(http.StatusBadRequest)
				}
			})
			go io.WriteString(c, tt.request)
			line, err := bufio.NewReader(c).ReadString('\n')
			if !strings.HasPrefix(line, tt.want) || tt.want == "" && err == nil {
				t.Errorf("got %q, %v, want %q", line, err, tt.want)
			}
			c.Close()
			awaitNothingHeld(t, budget)
		})
	}
}

// A client that never reads its answer kept its connection, and its part of the limit on connections, for good.
func TestGuardClosesWhoNeverReads(t *testing.T) {
	budget := NewBudget(guardLimit)
	ended := make(chan error, 1)
	c := startGuarded(t, budget, func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				ended <- err
				return
			}
		}
	})
	io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	select {
	case <-ended:
	case <-time.After(5 * guardWriteTimeout):
		t.Error("got the answer still written, want its connection closed")
	}
}

// Heads of requests and answers take from the budget while they are held, and give all of it back.
func TestHeadsTakeFromTheBudget(t *testing.T) {
	budget := NewBudget(guardLimit)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	held := make(chan int64, 1)
	callers := newTestCallers(func(context.Context, *Request) *Response {
		held <- budget.Held()
		return &Response{Status: http.StatusOK}
	})
	callers.Budget = budget
	go NewServer(callers).Serve(ln)
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	head := "GET /a HTTP/1.1\r\nHost: h\r\n" + distinctLines(15<<10) + "\r\n"
	io.WriteString(c, head)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v, want 200", resp, err)
	}
	if got, want := <-held, int64(10*len(head)); got < want {
		t.Errorf("got %d bytes held for a head of %d bytes, want %d at least", got, len(head), want)
	}
	awaitNothingHeld(t, budget)
}
