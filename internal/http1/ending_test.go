package http1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/abrupt"
	"github.com/firlever/firlever/internal/tcp"
)

// A target answered a long upload at once without a length, sent a part of the body and reset the connection while
// the upload was written: the part was passed on as a complete answer.
func TestPartBeforeResetIsNoAnswer(t *testing.T) {
	for name, tt := range map[string]struct {
		answer abrupt.Answer
		whole  bool
	}{
		"reset at once":        {abrupt.Answer{Text: abrupt.Part, Reset: true}, false},
		"reset after 5 ms":     {abrupt.Answer{Text: abrupt.Part, Reset: true, After: 5 * time.Millisecond}, false},
		"reset after 30 ms":    {abrupt.Answer{Text: abrupt.Part, Reset: true, After: 30 * time.Millisecond}, false},
		"closed after 30 ms":   {abrupt.Answer{Text: abrupt.Part, After: 30 * time.Millisecond}, true},
		"closed at once":       {abrupt.Answer{Text: abrupt.Part}, true},
		"reset after a length": {abrupt.Answer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Reset: true, After: 30 * time.Millisecond}, true},
	} {
		t.Run(name, func(t *testing.T) {
			target := httptest.NewServer(tt.answer)
			defer target.Close()
			p := NewPool(tcp.NewDialer("").DialContext, nil)
			defer p.Close()
			for range 10 {
				resp, err := p.Do(context.Background(), &Exchange{
					Request: &Request{Method: http.MethodPost, URI: "/u", Host: "h", Body: make([]byte, 8<<20)}, Header: http.Header{},
					Target: "t", Address: target.Listener.Addr().String(), Deadline: time.Now().Add(10 * time.Second),
					IsAnswer: func(int, http.Header) bool { return true }, KeepConn: func(*Response) bool { return false },
				})
				var none *NoAnswerError
				switch {
				case tt.whole && err != nil:
					t.Errorf("got %v, want the whole answer", err)
				case !tt.whole && (err == nil || !errors.As(err, &none)):
					t.Errorf("got %q as a whole answer, %v, want a *NoAnswerError", resp.Body, err)
				}
			}
		})
	}
}

// The same by net/http's transport, as serve, the store's client and pkg/caller use it.
func TestPartBeforeResetIsNoAnswerOfTransport(t *testing.T) {
	target := httptest.NewServer(abrupt.Answer{Text: abrupt.Part, Reset: true, After: 10 * time.Millisecond})
	defer target.Close()
	client := http.Client{Transport: &http.Transport{DialContext: tcp.NewDialer("").DialContext}}
	defer client.CloseIdleConnections()
	for range 20 {
		resp, err := client.Post(target.URL, "text/plain", bytes.NewReader(make([]byte, 8<<20)))
		if err != nil {
			continue
		}
		if body, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("got %q as a whole answer, want an error", body)
		}
		resp.Body.Close()
	}
}
