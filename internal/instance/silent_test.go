package instance

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestRequestLostWithSilentConnection guards against closing a connection that has been
// silent since it was opened: callers open connections ahead of use, and a first request on
// such a connection was lost with it. A connection that is slow with its headers is still
// closed.
func TestRequestLostWithSilentConnection(t *testing.T) {
	const silent, slack = time.Minute, time.Second
	listeners := map[string]func(in *Instance) string{
		"callers": (*Instance).Callers, "peers": (*Instance).Peers, "operators": (*Instance).Operators,
	}
	for name, address := range listeners {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 1, 1, 1, func(w *simulation) {
				w.start(w.all())
				in := w.running[w.all()[0].id]
				dial := func() net.Conn {
					c, err := w.net.dialer("10.0.0.99")(context.Background(), "tcp", address(in))
					if err != nil {
						w.t.Fatal(err)
					}
					return c
				}

				late, half, never := dial(), dial(), dial()
				defer late.Close()
				time.Sleep(silent)
				if _, err := io.WriteString(late, "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
					w.t.Fatal(err)
				}
				if resp, err := http.ReadResponse(bufio.NewReader(late), nil); err != nil {
					w.t.Errorf("got %v instead of an answer after %s of silence", err, silent)
				} else {
					resp.Body.Close()
				}

				if _, err := io.WriteString(half, "GET /nothing HTTP/1.1\r\n"); err != nil {
					w.t.Fatal(err)
				}
				for what, c := range map[string]struct {
					net.Conn
					most time.Duration
				}{"incomplete headers": {half, headerTimeout}, "no request": {never, idleTimeout}} {
					begun := time.Now()
					_, err := io.Copy(io.Discard, c)
					if got := time.Since(begun); err != nil || got > c.most+slack {
						w.t.Errorf("got the end after %s with %s, %v; want at most %s", got, what, err, c.most)
					}
				}
			})
		})
	}
}
