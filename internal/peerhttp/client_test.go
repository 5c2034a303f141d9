package peerhttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"
)

func TestPost(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		switch {
		case r.URL.Path == "/refuse":
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.URL.Path == "/wait":
			<-r.Context().Done()
		default:
			io.WriteString(w, r.Method+" "+r.URL.RawQuery+" "+string(b))
		}
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	tests := map[string]struct {
		address, path string
		want          string
		status        int // of the error; -1 for none
	}{
		"answered":     {address, "/ask", "POST a=b body", -1},
		"refused":      {address, "/refuse", "", http.StatusServiceUnavailable},
		"no answer":    {address, "/wait", "", 0},
		"nobody there": {"127.0.0.1:1", "/ask", "", 0},
		"no address":   {"a b", "/ask", "", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			got, err := New("", 1, 100).Post(ctx, tt.address, tt.path, url.Values{"a": {"b"}}, []byte("body"))
			var failed *Error
			if errors.As(err, &failed) != (tt.status >= 0) || string(got) != tt.want {
				t.Fatalf("got %q, %v, want %q", got, err, tt.want)
			}
			if failed != nil && (failed.Status != tt.status || !strings.Contains(failed.Error(), tt.address)) {
				t.Errorf("got %v, want status %d", failed, tt.status)
			}
		})
	}
}
