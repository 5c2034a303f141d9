package http1

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// newUploadServer starts a server for long bodies, whose requests are answered by handle.
func newUploadServer(t *testing.T, budget *Budget, handle func(context.Context, *Request) *Response) func() net.Conn {
	t.Helper()
	callers := newTestCallers(handle)
	callers.Budget = budget
	callers.NoMemory = func(*Request) *Response { return &Response{Status: 503, Header: http.Header{"Why": {"memory"}}} }
	callers.Limits = func() Limits {
		l := testLimits
		l.BodyBytes = 4 << 20
		return l
	}
	_, dial := serveCallers(t, callers)
	return dial
}

// digest reads the whole body of a request and answers with its length and hash.
func digest(_ context.Context, r *Request) *Response {
	h := sha256.New()
	n, err := h.Write(r.Body)
	length := int64(n)
	if r.Rest != nil {
		rest, openErr := r.Rest.open()
		if openErr != nil {
			return &Response{Status: 500, Header: http.Header{}, Body: []byte(openErr.Error())}
		}
		more, copyErr := io.Copy(h, rest)
		length, err = length+more, copyErr
	}
	text := fmt.Sprintf("%d %x", length, h.Sum(nil)[:4])
	if err != nil {
		text = "broken: " + err.Error()
	}
	return &Response{Status: 200, Header: http.Header{}, Body: []byte(text)}
}

func digestOf(b []byte) string {
	h := sha256.Sum256(b)
	return fmt.Sprintf("200 %d %x", len(b), h[:4])
}

func bodyOf(size int) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(i*7 + i>>8)
	}
	return b
}

// chunked returns a body in the chunked transfer coding.
func chunked(body []byte) string {
	var b bytes.Buffer
	w := newChunkWriter(&b)
	for part := range slices.Chunk(body, 50_000) {
		w.Write(part)
	}
	w.Close()
	return b.String()
}

// Bodies of all lengths are received whole, whatever their coding, and the connection serves the
// next request after them.
func TestUploads(t *testing.T) {
	dial := newUploadServer(t, nil, digest)
	for _, size := range []int{0, 1, 60_000, maxWholeBody - 1, maxWholeBody, maxWholeBody + 1, 1 << 20} {
		body := bodyOf(size)
		for name, send := range map[string]string{
			"length": fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, body),
			"chunks": "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body),
		} {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				c := dial()
				go io.WriteString(c, send+"GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
				got := readAnswers(t, c, 2)
				if got[0] != digestOf(body) || got[1] != digestOf(nil) {
					t.Errorf("got %q, want %q and the next request's answer", got, digestOf(body))
				}
			})
		}
	}
}

// Uploads that go wrong: the caller gets an answer or its connection ends, and nothing is taken for
// another request.
func TestBrokenUploads(t *testing.T) {
	long := bodyOf(1 << 20)
	early := func(context.Context, *Request) *Response {
		return &Response{Status: 503, Header: http.Header{}, Body: []byte("early")}
	}
	tests := map[string]struct {
		handle func(context.Context, *Request) *Response
		send   string
		want   string // first answer
	}{
		"answer before the body's end": {early, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2<<20, long), "503 early"},
		"more than announced":          {digest, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%sxyz\r\n\r\n", len(long), long), digestOf(long)},
		"caller stalls":                {digest, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2<<20, long), "200 broken: http1: body of the request: "},
		"too long in chunks":           {digest, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(bodyOf(5<<20)), "200 broken: http1: body of the request: longer"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newUploadServer(t, nil, tt.handle)()
			go io.WriteString(c, tt.send)
			if got := readAnswers(t, c, 1)[0]; !strings.HasPrefix(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			c.SetReadDeadline(time.Now().Add(5 * time.Second))
			rest, err := io.ReadAll(c)
			var network net.Error
			if errors.As(err, &network) && network.Timeout() {
				t.Errorf("got the connection open, want it closed")
			}
			if text := string(rest); strings.Contains(text, "200") {
				t.Errorf("got %q after the first answer", text)
			}
		})
	}
}

// A body that doesn't fit into the budget is refused before it is received, and what was held is
// free again afterwards.
func TestBudgetOfBodies(t *testing.T) {
	budget := NewBudget(100_000)
	release := make(chan struct{})
	dial := newUploadServer(t, budget, func(ctx context.Context, r *Request) *Response {
		<-release
		return digest(ctx, r)
	})
	first, second := dial(), dial()
	body := bodyOf(60_000)
	request := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	go io.WriteString(first, request)
	for deadline := time.Now().Add(5 * time.Second); budget.Held() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	go io.WriteString(second, request)
	if got := readAnswers(t, second, 1)[0]; got != "503 " {
		t.Errorf("got %q, want it refused", got)
	}
	close(release)
	if got := readAnswers(t, first, 1)[0]; got != digestOf(body) {
		t.Errorf("got %q, want %q", got, digestOf(body))
	}
	for deadline := time.Now().Add(5 * time.Second); budget.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %d bytes held after the answers, want none", budget.Held())
		}
	}
}

// gatedConn is a connection whose writes beyond the head of a request wait, and succeed although the
// connection was closed meanwhile.
type gatedConn struct {
	net.Conn
	writes int
	gate   chan struct{}
}

func (c *gatedConn) Write(b []byte) (int, error) {
	c.writes++
	if c.writes == 1 {
		return c.Conn.Write(b)
	}
	<-c.gate
	return len(b), nil
}

// signallingReader tells of each read.
type signallingReader struct {
	io.Reader
	reads chan struct{}
}

func (r *signallingReader) Read(b []byte) (int, error) {
	r.reads <- struct{}{}
	return r.Reader.Read(b)
}

// newTestUpload returns the rest of a body, which has a number of bytes.
func newTestUpload(rest io.Reader, size int) *Upload {
	caller, _ := net.Pipe()
	return &Upload{length: maxWholeBody + int64(size), idle: time.Minute, conn: caller, done: make(chan struct{}), body: rest, left: 1 << 20}
}

// newUploadExchange returns an exchange whose request has a rest.
func newUploadExchange(address string, rest *Upload) *Exchange {
	e := newExchange(address)
	e.Request.Method, e.Request.Body, e.Request.Rest = "POST", make([]byte, maxWholeBody), rest
	return e
}

// A long body lost bytes if its first target answered before it had read the body: the exchange that had
// ended read some of the rest while the next one did.
func TestUploadLostBetweenTargets(t *testing.T) {
	const rest = "the rest"
	body := &signallingReader{Reader: strings.NewReader(rest), reads: make(chan struct{}, 8)}
	upload := newTestUpload(body, len(rest))
	target, gate := make(chan net.Conn, 1), make(chan struct{})
	p := NewPool(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		target <- far
		return &gatedConn{Conn: near, gate: gate}, nil
	}, nil)
	t.Cleanup(p.Close)
	go func() {
		c := <-target
		defer c.Close()
		http.ReadRequest(bufio.NewReader(c))
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nId: mine\r\nContent-Length: 0\r\n\r\n")
	}()
	e := newUploadExchange("unused", upload)
	if resp, err := p.Do(t.Context(), e); err != nil || resp.Status != http.StatusServiceUnavailable {
		t.Fatalf("got %+v, %v, want an early answer", resp, err)
	}
	close(gate)
	select {
	case <-body.reads:
		t.Error("got a read by the exchange that had ended, want none")
	case <-time.After(100 * time.Millisecond):
	}
	if upload.Used() {
		t.Error("got the rest used, want it left for another target")
	}
	reader, err := upload.open()
	if err != nil {
		t.Fatalf("got %v for another target, want the rest", err)
	}
	if got, err := io.ReadAll(reader); string(got) != rest || err != nil {
		t.Errorf("got %q, %v for another target, want %q", got, err, rest)
	}
}

// What an exchange had left of a body was sent as if it were all: a body of which a part is gone is not sent.
func TestPartialBodyIsNotSent(t *testing.T) {
	dials := 0
	p := NewPool(func(context.Context, string, string) (net.Conn, error) {
		dials++
		return nil, io.ErrClosedPipe
	}, nil)
	t.Cleanup(p.Close)
	upload := newTestUpload(strings.NewReader("the rest"), len("the rest"))
	first, err := upload.open()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := first.Read(make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	_, err = p.Do(t.Context(), newUploadExchange("unused", upload))
	var unsent *NotSentError
	var partial *PartialBodyError
	if !errors.As(err, &unsent) || !errors.As(err, &partial) || dials != 0 {
		t.Errorf("got %v after %d connects, want a *PartialBodyError in a *NotSentError after none", err, dials)
	}
}

// Of two exchanges with one body, the one before reads nothing once the next one has begun.
func TestUploadHasOneReader(t *testing.T) {
	upload := newTestUpload(strings.NewReader("the rest"), len("the rest"))
	first, _ := upload.open()
	second, err := upload.open()
	if err != nil {
		t.Fatal(err)
	}
	if n, err := first.Read(make([]byte, 3)); n != 0 || !errors.Is(err, errExchangeEnded) {
		t.Errorf("got %d bytes, %v, want none and %v", n, err, errExchangeEnded)
	}
	if got, err := io.ReadAll(second); string(got) != "the rest" || err != nil {
		t.Errorf("got %q, %v, want all of the rest", got, err)
	}
}
