package http1

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// scarceListener has no descriptors for its first connections.
type scarceListener struct {
	net.Listener
	failures int
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A server that once had no descriptor for a connection never accepted one again.
func TestNoDescriptorsForAWhile(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go NewServer(newTestCallers(echo)).Serve(&scarceListener{Listener: ln, failures: 3})
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	c.Write([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"))
	if got, want := readAnswers(t, c, 1)[0], "200 GET /a "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
