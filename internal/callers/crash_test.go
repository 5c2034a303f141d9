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

// TestSendCrashes checks that an instance refuses a poison request that another one reported, and
// still serves the same request of another caller and other requests.
func TestSendCrashes(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
	}))
	defer target.Close()
	sender := newTestInstance(t, "east", target.Listener.Addr().String())
	receiver := newTestInstance(t, "west", target.Listener.Addr().String())
	front := httptest.NewServer(receiver.server.Callers())
	defer front.Close()
	poison := crash.Request{Method: "GET", Host: "shop/orders", URI: "/x?", Caller: "Bearer k1"}.Fingerprint()
	update := core.CrashUpdate{Place: "west"}
	for i := range 3 {
		update.Reports = append(update.Reports, core.CrashReport{
			Key: fmt.Sprint("k", i), Report: crash.Report{Target: fmt.Sprint("t", i), Fingerprints: []crash.Fingerprint{poison}},
		})
	}
	peer := core.Peer{ID: "west", Address: receiver.peers.Listener.Addr().String()}
	sender.server.SendCrashes(t.Context(), core.SendCrashes{Peers: []core.Peer{peer}, Update: update})
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
	resp, err := http.Post(receiver.peers.URL+PathCrashes, "application/json", strings.NewReader("no news"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest {
		t.Errorf("got %d for an invalid update, want 400", resp.StatusCode)
	}
}
