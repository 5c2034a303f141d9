package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/abrupt"
)

// newAbruptInstance starts an instance that answers look-ups properly and calls abruptly.
func newAbruptInstance(t *testing.T, answer abrupt.Answer) *Client {
	t.Helper()
	s := httptest.NewServer(nil)
	address := s.Listener.Addr().String()
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/lookup/") {
			own := answer
			fields := fmt.Sprintf("\r\n%s: answered\r\n%s: %s\r\n\r\n", headerOutcome, headerRequest, r.Header.Get(headerRequest))
			own.Text = strings.Replace(answer.Text, "\r\n\r\n", fields, 1)
			own.ServeHTTP(w, r)
			return
		}
		io.WriteString(w, `{"service":"t/s","place":"a","instances":[{"id":"i","address":"`+address+`","place":"a"}]}`)
	})
	c, err := New(Config{Entries: []string{address}, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		s.CloseClientConnections()
		s.Close()
	})
	return c
}

// A part of an answer without a length ended as a complete one when its connection was reset during an upload.
func TestPartBeforeResetIsIncomplete(t *testing.T) {
	const length = 8 << 20
	c := newAbruptInstance(t, abrupt.Answer{Text: abrupt.Part, Reset: true, After: 10 * time.Millisecond})
	upload := &Request{
		Method: http.MethodPost, Path: "/u", Length: length, Idempotent: true,
		Body: func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(make([]byte, length))), nil },
	}
	for range 10 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		if resp, err := c.Do(ctx, "t/s", upload); err == nil {
			if body, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("got %q as a whole answer, want an error", body)
			}
			resp.Body.Close()
		}
		cancel()
	}
}
