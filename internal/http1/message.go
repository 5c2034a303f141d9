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

// Request is a caller's request, read whole.
type Request struct {
	Method string
	URI    string // as it stood in the request line
	Path   string // of URI, decoded
	Host   string
	Header http.Header // without those that concern one connection only
	Body   []byte
	At     time.Time // when it was read
	Conn   uint64    // number of the connection, for log lines
}

// Response is an answer to a caller or from a target.
type Response struct {
	Status int
	Header http.Header // without those that concern one connection only
	Body   []byte      // the whole body, or its beginning if Rest is set
	Rest   io.ReadCloser
	Length int64 // of the whole body if Rest is set; -1 if not known
}

// connectionHeaders concern one connection and are never passed on. The length is
// written anew.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// removeConnectionHeaders removes the headers that concern one connection.
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

// appendHeader writes headers in the order of their names.
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

// appendRequest writes a request with its whole body. Its target and body are as
// the caller sent them.
func appendRequest(b *bytes.Buffer, r *Request, h http.Header) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	appendHeader(b, h)
	if len(r.Body) > 0 || expectsBody(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
}

// expectsBody says whether a request of a method is expected to have a body, so that
// an empty one has to be said.
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// appendStatus writes the status line and headers of an answer.
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
