package http1

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/endless"
)

// A target that sent bytes without end in place of an answer's head filled the memory until the deadline.
func TestEndlessAnswer(t *testing.T) {
	const (
		socketBuffers = 8 << 20 // of both sides, filled by the target beyond what is read
		mine          = "HTTP/1.1 200 OK\r\nId: mine\r\n"
	)
	tests := map[string]struct {
		begin, part string
		whole       bool // the answer is complete, and the bytes follow it
		streams     bool // the answer's body is passed on while it comes
	}{
		"status line":             {"HTTP/1.1 200 ", "O", false, false},
		"no protocol":             {"", "\x00\xff", false, false},
		"header field":            {mine + "X: ", "x", false, false},
		"header fields":           {mine, "X: y\r\n", false, false},
		"interim answers":         {"", "HTTP/1.1 100 Continue\r\n\r\n", false, false},
		"another's body":          {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x", false, false},
		"another's chunks":        {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", false, false},
		"others' answers":         {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx", false, false},
		"length of a chunk":       {mine + "Transfer-Encoding: chunked\r\n\r\n", "0", false, false},
		"extension of a chunk":    {mine + "Transfer-Encoding: chunked\r\n\r\n1;", "x", false, false},
		"trailer":                 {mine + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", false, false},
		"bytes behind the answer": {mine + "Content-Length: 2\r\n\r\nok", "x", true, false},
		"body":                    {mine + "\r\n", "x", false, true},
		"chunks":                  {mine + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target, err := endless.New(tt.begin, tt.part)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(target.Close)
			p := NewPool((&net.Dialer{}).DialContext, nil)
			t.Cleanup(p.Close)
			e := newExchange(target.Addr())
			e.Deadline = time.Now().Add(3 * time.Second)
			resp, err := p.Do(t.Context(), e)
			if !time.Now().Before(e.Deadline) {
				t.Error("got nothing before the deadline")
			}
			var failed *NoAnswerError
			switch {
			case tt.streams:
				if err != nil || resp.Rest == nil || len(resp.Body) > maxBuffered {
					t.Fatalf("got %+v, %v, want the begin of an answer", resp, err)
				}
				if _, err := io.Copy(io.Discard, resp.Rest); err == nil || time.Now().After(e.Deadline.Add(time.Second)) {
					t.Errorf("got the end of the body, error %v, want it cut at the deadline", err)
				}
				resp.Discard()
			case tt.whole:
				if err != nil || string(resp.Body) != "ok" {
					t.Fatalf("got %+v, %v, want the answer", resp, err)
				}
				for target.Sent() <= int64(len(tt.begin)) {
					time.Sleep(time.Millisecond) // until bytes behind the answer have come
				}
				c, err := p.get(t.Context(), e)
				if err != nil || c.reused {
					t.Fatalf("got a connection that is used again, or error %v, want a new one", err)
				}
				c.conn.Close()
			case !errors.As(err, &failed):
				t.Errorf("got %+v, %v, want a %T", resp, err, failed)
			}
			for end := time.Now().Add(time.Second); target.Open() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("got a connection that stays open, want it closed")
				}
			}
			if got, limit := target.Sent(), int64(maxBuffered+maxStrayBody+socketBuffers); got > limit && !tt.streams {
				t.Errorf("got %d bytes read, want %d at most", got, limit)
			}
		})
	}
}
