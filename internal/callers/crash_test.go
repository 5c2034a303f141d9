package callers

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/crash"
)

// What one instance tells of a request that ends targets, another one refuses it by; the same
// request of another caller, and another request, are served.
func TestSendCrashes(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
	}))
	defer target.Close()
	teller := newTestInstance(t, "east", target.Listener.Addr().String())
	told := newTestInstance(t, "west", target.Listener.Addr().String())
	front := httptest.NewServer(told.server.Callers())
	defer front.Close()
	fatal := crash.Request{Method: "GET", Host: "shop/orders", URI: "/x?", Caller: "Bearer k1"}.Print()
	news := core.CrashNews{Place: "west"}
	for i := range 3 {
		news.Reports = append(news.Reports, core.CrashReport{
			Key: fmt.Sprint("k", i), Report: crash.Report{Target: fmt.Sprint("t", i), Prints: []crash.Print{fatal}},
		})
	}
	peer := core.Peer{ID: "west", Address: told.peers.Listener.Addr().String()}
	teller.server.TellCrashes(t.Context(), core.TellCrashes{Peers: []core.Peer{peer}, News: news})
	tests := map[string]struct {
		path, key, reason string
		status            int
	}{
		"the request":    {"/x", "Bearer k1", "ends-targets", http.StatusServiceUnavailable},
		"another caller": {"/x", "Bearer k2", "", http.StatusOK},
		"another path":   {"/y", "Bearer k1", "", http.StatusOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, front.URL+PrefixCall+"shop/orders"+tt.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Authorization", tt.key)
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != tt.status || resp.Header.Get(HeaderReason) != tt.reason {
				t.Errorf("got %d, reason %q, want %d, %q", resp.StatusCode, resp.Header.Get(HeaderReason), tt.status, tt.reason)
			}
			if refused := tt.status != http.StatusOK; refused != (resp.Header.Get("Retry-After") != "") {
				t.Errorf("got Retry-After %q", resp.Header.Get("Retry-After"))
			}
		})
	}
	resp, err := http.Post(told.peers.URL+PathCrashes, "application/json", strings.NewReader("no news"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest {
		t.Errorf("got %d for what can't be read, want 400", resp.StatusCode)
	}
}
