package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/abrupt"
	"github.com/firlever/firlever/internal/tcp"
)

// malformedFields are header lines that no caller may get as an answer, nor a target as a request.
var malformedFields = map[string]string{
	"blank in a name":                    "X A: 1\r\n",
	"blank after a name":                 "X-A : 1\r\n",
	"blank after a length's name":        "Content-Length : 2\r\n",
	"blank after a transfer coding":      "Transfer-Encoding : chunked\r\n",
	"tab in a name":                      "X\tA: 1\r\n",
	"control byte in a name":             "X\x01A: 1\r\n",
	"byte beyond ASCII in a name":        "X\x80A: 1\r\n",
	"control byte in a value":            "X-A: 1\x002\r\n",
	"carriage return in a value":         "X-A: 1\rY: 2\r\n",
	"name of a separator":                "X(A): 1\r\n",
	"no name":                            ": 1\r\n",
	"no name behind proper ones":         "X-A: 1\r\n: 2\r\n",
	"blank before the first field":       " X-A: 1\r\n",
	"blank in a name behind proper ones": "X-A: 1\r\nX-B: 2\r\nX C: 3\r\n",
}

// doOnce sends a request to a target through a pool, and returns the result.
func doOnce(t *testing.T, answer abrupt.Answer) (*Response, error) {
	t.Helper()
	target := httptest.NewServer(answer)
	defer target.Close()
	p := NewPool(tcp.NewDialer("").DialContext, nil)
	defer p.Close()
	return p.Do(context.Background(), &Exchange{
		Request: &Request{Method: http.MethodGet, URI: "/u", Host: "h"}, Header: http.Header{},
		Target: "t", Address: target.Listener.Addr().String(), Deadline: time.Now().Add(10 * time.Second),
		IsAnswer: func(int, http.Header) bool { return true }, KeepConn: func(*Response) bool { return false },
	})
}

// requireNoAnswer fails the test if a pool takes a target's bytes for an answer.
func requireNoAnswer(t *testing.T, text string) {
	t.Helper()
	resp, err := doOnce(t, abrupt.Answer{Text: text})
	var none *NoAnswerError
	if !errors.As(err, &none) {
		t.Errorf("got %+v, %v, want a *NoAnswerError", resp, err)
	}
}

// requireNoAnswerOfTransport does the same for a Transport.
func requireNoAnswerOfTransport(t *testing.T, text string) {
	t.Helper()
	target := httptest.NewServer(abrupt.Answer{Text: text})
	defer target.Close()
	client := http.Client{Transport: NewTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	if resp, err := client.Get(target.URL); err == nil {
		resp.Body.Close()
		t.Errorf("got %+v from the transport, want an error", resp)
	}
}

// An answer of a target in trouble, in whose head the name of a field held a blank, was passed on: with that line, or
// with a body that was not the target's, as net/http ignores a length whose name ends with a blank.
func TestAnswerWithMalformedFieldIsNoAnswer(t *testing.T) {
	for name, line := range malformedFields {
		for kind, text := range map[string]string{
			"final":   "HTTP/1.1 200 OK\r\n" + line + "Response-Signature: s\r\n\r\nok",
			"interim": "HTTP/1.1 103 Early Hints\r\n" + line + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				requireNoAnswer(t, text)
				if kind != "interim" { // net/http's transport drops them
					requireNoAnswerOfTransport(t, text)
				}
			})
		}
	}
}

// An answer of a target in trouble whose status was none was passed on, or skipped as an interim one, so that the
// next head passed as the answer.
func TestAnswerWithoutStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "101", "+20", "-10", "600", "999", "2x0", "20"} {
		for kind, text := range map[string]string{
			"body":       "HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok",
			"empty body": "HTTP/1.1 " + status + " OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		} {
			t.Run(status+", "+kind, func(t *testing.T) {
				requireNoAnswer(t, text)
				if status != "101" { // whoever uses the transport looks for it
					requireNoAnswerOfTransport(t, text)
				}
			})
		}
	}
}

// An answer of HTTP/1.0 with a transfer coding passed with the chunks as its body, as net/http ignores the coding there and
// drops the line.
func TestCodedAnswerOfOldVersionIsNoAnswer(t *testing.T) {
	for _, line := range []string{"Transfer-Encoding: chunked", "transfer-ENCODING:chunked", "X: 1\r\nTransfer-Encoding: chunked"} {
		requireNoAnswer(t, "HTTP/1.0 200 OK\r\n"+line+"\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		requireNoAnswer(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\n"+line+"\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	}
	resp, err := doOnce(t, abrupt.Answer{Text: "HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\n\r\nTransfer-Encoding: chunked\r\n"})
	if err != nil || string(resp.Body) != "Transfer-Encoding: chunked\r\n" {
		t.Errorf("got %v, %v for a proper answer whose body looks like a field, want it", resp, err)
	}
}

// A request with such a name means one thing here and may mean another at the target, which may take its body for
// a request.
func TestRequestWithMalformedFieldIsRefused(t *testing.T) {
	for name, line := range malformedFields {
		t.Run(name, func(t *testing.T) {
			_, connect := serve(t, func(context.Context, *Request) *Response {
				t.Error("got the request handled")
				return &Response{Status: http.StatusOK}
			})
			c := connect()
			c.SetDeadline(time.Now().Add(10 * time.Second))
			io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n"+line+"\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != http.StatusBadRequest {
				t.Errorf("got %v, %v, want 400", resp, err)
			}
		})
	}
}

// A blank in the target or the host of a request separates other parts for other readers.
func TestRequestWithBlankIsRefused(t *testing.T) {
	for name, head := range map[string]string{
		"in the URI":            "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
		"in the host":           "GET /a HTTP/1.1\r\nHost: h x\r\n\r\n",
		"in a continued host":   "GET /a HTTP/1.1\r\nHost: h\r\n X-A: 1\r\n\r\n",
		"control byte in a URI": "GET /a\x01 HTTP/1.1\r\nHost: h\r\n\r\n",
		"other version":         "GET /a HTTP/2.0\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
			if err == nil {
				err = checkRequest(r)
			}
			if err == nil {
				t.Error("got a request, want an error")
			}
		})
	}
}

// Proper heads stay accepted.
func TestProperHeads(t *testing.T) {
	for name, line := range map[string]string{
		"no value":              "X-A:\r\n",
		"tab in a value":        "X-A: 1\t2\r\n",
		"bytes beyond ASCII":    "X-A: \xc3\xa9\r\n",
		"all bytes of a name":   "!#$%&'*+-.^_`|~09azAZ: 1\r\n",
		"blanks round a value":  "X-A: \t 1 \t\r\n",
		"name of another case":  "x-a: 1\r\n",
		"value in several ones": "X-A: 1\r\nX-A: 2\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			resp, err := doOnce(t, abrupt.Answer{Text: "HTTP/1.1 200 OK\r\n" + line + "Content-Length: 2\r\n\r\nok"})
			if err != nil || string(resp.Body) != "ok" {
				t.Errorf("got %v, %v, want the answer", resp, err)
			}
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET /a HTTP/1.1\r\nHost: h\r\n" + line + "\r\n")))
			if err != nil {
				t.Fatal(err)
			}
			if err := checkRequest(r); err != nil {
				t.Errorf("got %v for a request, want none", err)
			}
		})
	}
}

// connOf is a connection that yields bytes and then ends.
type connOf struct {
	net.Conn
	r io.Reader
}

func (c connOf) Read(b []byte) (int, error)       { return c.r.Read(b) }
func (c connOf) Write(b []byte) (int, error)      { return len(b), nil }
func (c connOf) Close() error                     { return nil }
func (c connOf) SetReadDeadline(time.Time) error  { return nil }
func (c connOf) SetWriteDeadline(time.Time) error { return nil }

// FuzzAnswerHead checks that whatever a target sends, what is accepted has a proper status and proper fields, gives
// the same head when it is written and read again, and gives its part of the budget back.
func FuzzAnswerHead(f *testing.F) {
	for _, line := range malformedFields {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + line + "Content-Length: 2\r\n\r\nok"))
	}
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 700 \r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\nX: 1\n\nbody"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		budget := NewBudget(1 << 20)
		c := newPoolConn(connOf{r: bytes.NewReader(sent)}, budget, "t", time.Now())
		in, err := readFinal(c, &http.Request{Method: http.MethodGet})
		if err == nil {
			requireProper(t, in)
			last := headOf(sent[:len(sent)-c.reader.Buffered()])
			if in.ProtoMinor == 0 && bytes.Contains(bytes.ToLower(last), []byte("\ntransfer-encoding:")) || bytes.Contains(last, []byte("\n:")) {
				t.Errorf("got %q accepted", last)
			}
		}
		c.dropHead()
		if got := budget.Held(); got != 0 {
			t.Errorf("got %d bytes held, want 0", got)
		}
	})
}

// headOf returns the last head of what was read up to the end of that head.
func headOf(read []byte) []byte {
	ends := bytes.TrimSuffix(bytes.ReplaceAll(read, []byte("\r\n"), []byte("\n")), []byte("\n\n"))
	if at := bytes.LastIndex(ends, []byte("\n\n")); at >= 0 {
		return ends[at+1:]
	}
	return ends
}

// requireProper fails the test unless an accepted head means the same to the next reader.
func requireProper(t *testing.T, in *http.Response) {
	t.Helper()
	if in.StatusCode < 200 || in.StatusCode > 599 {
		t.Errorf("got status %d accepted", in.StatusCode)
	}
	resp := &Response{Status: in.StatusCode, Header: in.Header}
	removeConnectionHeaders(resp.Header)
	var b bytes.Buffer
	appendStatus(&b, resp, 0, false)
	again, err := http.ReadResponse(bufio.NewReader(&b), nil)
	if err != nil {
		t.Fatalf("got %v for what is passed on", err)
	}
	for name, values := range resp.Header {
		if got := again.Header[name]; len(got) != len(values) {
			t.Errorf("got %q for %q when read again, want %q", got, name, values)
		}
	}
}

// FuzzRequestHead checks the same of the requests of callers: a target reads what is forwarded as this process did.
func FuzzRequestHead(f *testing.F) {
	for _, line := range malformedFields {
		f.Add([]byte("GET /a HTTP/1.1\r\nHost: h\r\n" + line + "\r\n"))
	}
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(sent)))
		if err != nil || checkRequest(r) != nil {
			return
		}
		out := &Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header}
		removeConnectionHeaders(out.Header)
		var b bytes.Buffer
		appendRequestHead(&b, out, out.Header)
		again, err := http.ReadRequest(bufio.NewReader(&b))
		if err != nil {
			t.Fatalf("got %v for what is forwarded: %q", err, b.String())
		}
		if again.Method != r.Method || again.RequestURI != r.RequestURI || len(again.Header) > len(out.Header)+1 {
			t.Errorf("got %s %s with %d fields when read again, want %s %s with %d", again.Method, again.RequestURI, len(again.Header), r.Method, r.RequestURI, len(out.Header))
		}
	})
}
