// Package abrupt emulates targets in trouble, which answer with bytes of their own and end the connection.
package abrupt

import (
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is what a target sends in place of a proper answer. It reads no body of the request.
type Answer struct {
	Text  string
	After time.Duration // until the connection ends
	Reset bool          // the connection is reset, rather than closed
}

// Part is a part of an answer without a length, which ends with its connection.
const Part = "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nRequest-Id: r\r\n\r\npart"

// ServeHTTP sends the answer.
func (a Answer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := h.Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	io.WriteString(c, a.Text)
	time.Sleep(a.After)
	if t, ok := c.(*net.TCPConn); ok && a.Reset {
		t.SetLinger(0)
		return
	}
	c.(interface{ CloseWrite() error }).CloseWrite()
	io.Copy(io.Discard, c)
}
