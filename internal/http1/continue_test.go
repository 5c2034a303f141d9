package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A body is sent only to a target that asks for it, and stays whole for another target otherwise.
func TestAwaitContinue(t *testing.T) {
	const rest = "the rest"
	const refusal = "HTTP/1.1 503 Declined\r\nId: mine\r\nContent-Length: 0\r\n\r\n"
	const proceed = "HTTP/1.1 100 Continue\r\n\r\n"
	tests := map[string]struct {
		answer string // to the head
		closes bool   // after that
		status int    // of the answer; 0 if there is none
		sent   bool
	}{
		"asks for the body":             {proceed, false, 200, true},
		"other interim answers":         {"HTTP/1.1 103 Early Hints\r\n\r\n" + proceed, false, 200, true},
		"declines":                      {refusal, false, 503, false},
		"declines after interim ones":   {"HTTP/1.1 103 Early Hints\r\n\r\n" + refusal, false, 503, false},
		"another's answer comes before": {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad" + refusal, false, 503, false},
		"is silent":                     {"", false, 0, false},
		"ends":                          {"", true, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			received := make(chan int64, 1)
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				q, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				io.WriteString(c, tt.answer)
				if tt.closes {
					return
				}
				c.SetReadDeadline(time.Now().Add(2 * continueTimeout))
				n, err := io.Copy(io.Discard, q.Body)
				received <- n
				if err == nil {
					io.WriteString(c, strings.ReplaceAll(goodAnswer, "\n", "\r\n"))
				}
			}()
			p := NewPool(new(net.Dialer).DialContext, nil)
			t.Cleanup(p.Close)
			upload := newTestUpload(strings.NewReader(rest), len(rest))
			e := newUploadExchange(ln.Addr().String(), upload)
			e.AwaitContinue = true
			began := time.Now()
			resp, err := p.Do(t.Context(), e)
			if took := time.Since(began); took > continueTimeout+time.Second {
				t.Errorf("got an answer after %s, want %s at most", took, continueTimeout)
			}
			var unsent *NotSentError
			switch {
			case tt.status == 0 && !errors.As(err, &unsent):
				t.Errorf("got %v, want a *NotSentError", err)
			case tt.status != 0 && (err != nil || resp.Status != tt.status):
				t.Errorf("got %+v, %v, want status %d", resp, err, tt.status)
			}
			if got := upload.Used(); got != tt.sent {
				t.Errorf("got the rest used: %t, want %t", got, tt.sent)
			}
			if tt.closes {
				return
			}
			if got := <-received; tt.sent && got != maxWholeBody+int64(len(rest)) || !tt.sent && got != 0 {
				t.Errorf("got %d bytes of the body at the target, want all: %t, or none", got, tt.sent)
			}
		})
	}
}

// A body that follows an answer at once was left waiting, as the server took that answer for pending.
func TestContinueAfterPipelinedAnswer(t *testing.T) {
	_, dial := serve(t, func(ctx context.Context, r *Request) *Response {
		time.Sleep(continueWait / 5)
		return digest(ctx, r)
	})
	c := dial()
	defer c.Close()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	reader := bufio.NewReader(c)
	for _, want := range []int{http.StatusOK, http.StatusContinue} {
		c.SetReadDeadline(time.Now().Add(time.Second))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("got %+v, %v, want status %d", resp, err, want)
		}
		io.Copy(io.Discard, resp.Body)
	}
}

// A body that doesn't fit into the budget is not asked for, so that its sender has it whole for another instance.
func TestNoContinueWithoutMemory(t *testing.T) {
	c := newUploadServer(t, NewBudget(maxWholeBody-1), digest)()
	defer c.Close()
	io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n")
	c.SetReadDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %+v, %v, want 503 at once", resp, err)
	}
}
