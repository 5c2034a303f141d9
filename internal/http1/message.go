package http1

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Request is a caller's request.
type Request struct {
	Method     string
	URI        string // as in the request line
	Path       string // of URI, decoded
	Host       string
	Header     http.Header // without hop-by-hop headers
	Body       []byte      // complete, or the beginning if Rest is set
	Rest       *Upload     // rest of a long body; nil if Body is complete
	ReceivedAt time.Time   // when it was read, or its head if the body was not
	ConnID     uint64      // number of the connection, for log lines
}

// Response is an answer to a caller or from a target.
type Response struct {
	Status     int
	Header     http.Header   // without hop-by-hop headers
	Body       []byte        // complete, or the beginning if Rest is set
	Rest       io.ReadCloser // rest of a long body; nil if Body is complete
	BodyLength int64         // of the whole body if Rest is set; -1 if unknown

	connOpenedAt time.Time     // when its connection to the target was opened; zero for answers of this process
	dialTook     time.Duration // how long that took; 0 if the connection was reused

	budget *Budget
	taken  int64 // bytes of budget that Body takes; 0 after Discard
}

// ConnOpenedAt returns when the connection to the target was opened on which the answer came.
func (r *Response) ConnOpenedAt() time.Time { return r.connOpenedAt }

// DialTook returns how long it took to open that connection, about one round trip; 0 if it was
// opened for an earlier request.
func (r *Response) DialTook() time.Duration { return r.dialTook }

// Discard drops the body of an answer that is not passed on, or that was. It may be called twice, by
// one goroutine.
func (r *Response) Discard() {
	if r.Rest != nil {
		r.Rest.Close()
	}
	r.budget.release(r.taken)
	r.taken = 0
}

// connectionHeaders are hop-by-hop headers, which are not forwarded, and the length,
// which is written anew for each hop.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// removeConnectionHeaders removes the hop-by-hop headers and those that Connection
// lists.
func removeConnectionHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}

// appendHeader writes header fields sorted by name.
func appendHeader(b *bytes.Buffer, h http.Header) {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range h[name] {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
}

// appendRequestHead writes the head of a request. The request target is unchanged from the caller's
// request.
func appendRequestHead(b *bytes.Buffer, r *Request, h http.Header) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	appendHeader(b, h)
	length := int64(len(r.Body))
	if r.Rest != nil {
		length = r.Rest.length
	}
	switch {
	case length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case length > 0 || expectsBody(r.Method):
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.FormatInt(length, 10))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
}

// expectsBody reports whether a request of a method is expected to have a body, so that
// an empty one needs a Content-Length.
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// appendStatus writes the status line and header of an answer. A negative length
// means that the body is chunked.
func appendStatus(b *bytes.Buffer, resp *Response, length int64, closing bool) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(resp.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(resp.Status))
	b.WriteString("\r\n")
	appendHeader(b, resp.Header)
	switch {
	case !bodyAllowed(resp.Status):
	case length >= 0:
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.FormatInt(length, 10))
		b.WriteString("\r\n")
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if closing {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
