package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/firlever/firlever/internal/core"
)

// singleConnListener is a listener that returns a single connection.
type singleConnListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l singleConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l singleConnListener) Close() error { close(l.done); return nil }

func (singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestSlowSenders checks that a caller that sends the start of a body and no more is refused after
// bodyTimeout, and at once if its headers are invalid. It runs in virtual time.
func TestSlowSenders(t *testing.T) {
	tests := map[string]struct {
		header string
		want   time.Duration // until the refusal
	}{
		"declared": {"Content-Length: 9\r\n", bodyTimeout},
		"chunked":  {"Transfer-Encoding: chunked\r\n", bodyTimeout},
		"refused":  {"Content-Length: 9\r\nFirlever-Timeout: x\r\n", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := makeRig(t, "i1", rigSettings(t, []string{"127.0.0.1:1"}))
				ln := singleConnListener{make(chan net.Conn, 1), make(chan struct{})}
				s := &http.Server{Handler: g.server.Callers()}
				go s.Serve(ln)
				defer s.Close()
				near, far := net.Pipe()
				ln.conns <- far
				defer near.Close()
				began := time.Now()
				io.WriteString(near, "PUT /call/shop/orders/ HTTP/1.1\r\nHost: a\r\n"+tt.header+"\r\n3\r\n")
				resp, err := http.ReadResponse(bufio.NewReader(near), nil)
				if err != nil {
					t.Fatal(err)
				}
				if got, want := outcome(resp), OutcomeNotRun+" "+string(core.ReasonBadRequest); got != want {
					t.Errorf("got %q, want %q", got, want)
				}
				if got := time.Since(began); got != tt.want {
					t.Errorf("got the refusal after %v, want %v", got, tt.want)
				}
			})
		})
	}
}
