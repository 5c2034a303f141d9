package tcp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestListener(t *testing.T) {
	const (
		headerTimeout, idleTimeout = 50 * time.Millisecond, 400 * time.Millisecond
		request                    = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	)
	tests := map[string]struct {
		silent time.Duration // before anything is sent
		sent   string
		served bool
		from   time.Duration // minimum time from silent to the end of the connection
	}{
		"request at once":       {0, request, true, 0},
		"request after a while": {3 * headerTimeout, request, true, 0},
		"half a head":           {3 * headerTimeout, request[:10], false, headerTimeout},
		"nothing":               {0, "", false, idleTimeout},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go srv.Serve(NewListener(ln, headerTimeout, idleTimeout, nil))
	defer srv.Close()
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			started := time.Now()
			time.Sleep(tt.silent)
			if _, err := io.WriteString(c, tt.sent); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				resp.Body.Close()
			}
			if got, want := err == nil && resp.StatusCode == http.StatusOK, tt.served; got != want {
				t.Errorf("got served %t, want %t: %v", got, want, err)
			}
			if got, want := time.Since(started), tt.silent+tt.from; got < want {
				t.Errorf("got the end after %s, want at least %s", got, want)
			}
		})
	}
}
