package callers

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/overload"
)

// overload makes the server treat its process as overloaded.
func (g *rig) overload() {
	g.server.cfg.Overload = overload.NewMeter(0)
	future := time.Now().Add(time.Hour) // measurements taken meanwhile are ignored, as their times are earlier
	for range 10 {
		future = future.Add(time.Second)
		g.server.cfg.Overload.Record(future, time.Minute)
	}
}

// TestRefusedOnOverload checks that an overloaded instance refuses requests with a retry time, and
// claims not-run only for requests that have not run. A request with a key may have run before, so
// its recorded answer must still be returned.
func TestRefusedOnOverload(t *testing.T) {
	runs := 0
	g := newRig(t, "a", target(t, func(w http.ResponseWriter, _ *http.Request) {
		runs++
		io.WriteString(w, "done")
	}))
	ran, fresh := g.key(), g.key()
	if resp, _ := g.ask("POST", PrefixCall+"shop/orders/x", "", HeaderRequest, "first", HeaderKey, ran); resp.StatusCode != http.StatusOK {
		t.Fatalf("got %d before the overload, want 200", resp.StatusCode)
	}
	g.overload()
	tests := map[string]struct {
		method, key string
		status      int
		outcome     string
		body        string
	}{
		"without a key":             {method: "GET", status: 503, outcome: OutcomeNotRun},
		"with a new key":            {method: "POST", key: fresh, status: 503, outcome: OutcomeNotRun},
		"with a key that has run":   {method: "POST", key: ran, status: 200, outcome: OutcomeAnswered, body: "done"},
		"again with the key":        {method: "POST", key: ran, status: 200, outcome: OutcomeAnswered, body: "done"},
		"without one that it needs": {method: "POST", status: 503, outcome: OutcomeNotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			id := "request-" + strconv.Itoa(len(name))
			if tt.key == ran {
				id = "first"
			}
			header := []string{HeaderRequest, id}
			if tt.key != "" {
				header = append(header, HeaderKey, tt.key)
			}
			resp, body := g.ask(tt.method, PrefixCall+"shop/orders/x", "", header...)
			h := resp.Header
			if resp.StatusCode != tt.status || h.Get(HeaderOutcome) != tt.outcome || tt.body != "" && body != tt.body {
				t.Errorf("got %d %s %q, want %d %s %q", resp.StatusCode, h.Get(HeaderOutcome), body, tt.status, tt.outcome, tt.body)
			}
			if got := h.Get(HeaderRequest); got != id {
				t.Errorf("got the answer to %q, want %q", got, id)
			}
			if tt.status != http.StatusServiceUnavailable {
				return
			}
			ms, err := strconv.Atoi(h.Get(HeaderRetry))
			retryDelay := time.Duration(ms) * time.Millisecond
			if err != nil || retryDelay < minRetryDelay/2 || retryDelay > minRetryDelay+overloadRetrySpread+time.Millisecond || h.Get(HeaderReason) != "overloaded" {
				t.Errorf("got reason %s, retry after %q ms, want overloaded and %s to %s", h.Get(HeaderReason), h.Get(HeaderRetry), minRetryDelay, minRetryDelay+overloadRetrySpread)
			}
		})
	}
	if runs != 1 {
		t.Errorf("got %d runs, want 1", runs)
	}
}
