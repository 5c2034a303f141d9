package callers

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/endless"
)

// A target sends bytes without end in place of an answer. The caller is told in time that there is none, or
// sees that the answer is cut off, and what is read is bounded.
func TestEndlessAnswer(t *testing.T) {
	const (
		timeout       = 1500 * time.Millisecond
		socketBuffers = 8 << 20 // of both sides of a connection, filled by the target beyond what is read
		attempts      = 4
	)
	tests := map[string]struct {
		begin, part string
		streams     bool // the answer's body is passed on while it comes
	}{
		"status line":          {"HTTP/1.1 200 ", "O", false},
		"no protocol":          {"", "\x00\xff", false},
		"header field":         {"HTTP/1.1 200 OK\r\nX: ", "x", false},
		"header fields":        {"HTTP/1.1 200 OK\r\n", "X: y\r\n", false},
		"interim answers":      {"", "HTTP/1.1 100 Continue\r\n\r\n", false},
		"body without an end":  {"HTTP/1.1 200 OK\r\n\r\n", "x", false},
		"extension of a chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", false},
		"chunks":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + string(make([]byte, 0x400)) + "\r\n", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target, err := endless.New(tt.begin, tt.part)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(target.Close)
			g := newRig(t, "i1", target.Addr())
			began := time.Now()
			resp, err := g.do(context.Background(), "GET", "/call/shop/orders/", nil, HeaderTimeout, "1500")
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if took := time.Since(began); took > timeout+time.Second {
				t.Errorf("got the end after %s, want it by %s", took, timeout)
			}
			if tt.streams != (err != nil) || !tt.streams && resp.StatusCode < 500 {
				t.Errorf("got status %d, error %v of the body, want an answer that is cut off: %t", resp.StatusCode, err, tt.streams)
			}
			if got, limit := target.Sent(), int64(attempts*socketBuffers); got > limit && !tt.streams {
				t.Errorf("got %d bytes read, want %d at most", got, limit)
			}
			for end := time.Now().Add(testTimeout); target.Open() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("got a connection that stays open, want it closed")
				}
			}
		})
	}
}
