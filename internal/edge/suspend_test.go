package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/platform"
)

const suspension = 10 * time.Second

// After a suspension of the machine its steady clock has missed time that passed for callers,
// targets and the store: cached state is older than it seems, timers are due, and connections and
// the lease may be gone. No subtest is parallel, as the clock belongs to the process.
func TestSuspended(t *testing.T) {
	t.Run("keys", suspendedKeys)
	t.Run("request that may be repeated", func(t *testing.T) { suspendedRequest(t, "GET") })
	t.Run("request that may not", func(t *testing.T) { suspendedRequest(t, "POST") })
	t.Run("connections", suspendedConnections)
	t.Run("lease", suspendedLease)
}

// Keys from before the suspension are not trusted longer than the platform allows.
func suspendedKeys(t *testing.T) {
	r := newRig(t)
	r.configureWorkspaces(1, workspaceJSON("w", `"k1"`, ""))
	r.register("a", r.target("good").address, "n1", "ready")
	r.start()
	b := *r.node.bounds.Load()
	b.KeysExpire, b.KeyLifetime = true, 5*time.Second
	r.node.bounds.Store(&b)
	const key = "Authorization: Bearer k1\r\n"
	r.eventually("it is served", func() bool { return r.sendWith(key, "GET", "/get/x").status == http.StatusOK })
	r.store.SetFaults(store.Faults{Silent: true})
	boottime.Suspend(suspension)
	if got := r.sendWith(key, "GET", "/get/x"); got.status != http.StatusServiceUnavailable {
		t.Errorf("got %+v by keys of %s ago, want 503", got, suspension)
	}
	r.store.SetFaults(store.Faults{})
	r.eventually("it is served again", func() bool { return r.sendWith(key, "GET", "/get/x").status == http.StatusOK })
}

// A request whose deadline passed during the suspension is answered at once.
func suspendedRequest(t *testing.T, method string) {
	r := newRig(t)
	const route = `{"resource_kind":"routes","metadata":{"name":"%s"},"spec":{"host":"h","prefix":"/%s/","route_type":"%s","timeout":"4s","target_latency":"3s","max_attempts":2,"service":"s"}}`
	r.store.Put(platform.ConfigKey, fmt.Appendf(nil, `{"version":1,"resources":[%s,%s]}`,
		fmt.Sprintf(route, "GET", "GET", "idempotent"), fmt.Sprintf(route, "POST", "POST", "non_idempotent")))
	r.register("a", r.target("hang").address, "n1", "ready")
	r.start()
	r.waitUsable(1)
	time.AfterFunc(100*time.Millisecond, func() { boottime.Suspend(suspension) })
	got := r.send(method, "/"+method+"/x")
	if got.status != http.StatusGatewayTimeout || got.took > time.Second {
		t.Errorf("got %+v, want 504 within 1s", got)
	}
}

// A request that must not run twice is not sent on a connection from before the suspension.
func suspendedConnections(t *testing.T) {
	r := newRig(t)
	r.configure(1, "s")
	var mu sync.Mutex
	var from []string // address of each request's connection
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		from = append(from, q.RemoteAddr)
		mu.Unlock()
		w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "sig")
	}))
	t.Cleanup(server.Close)
	r.register("a", server.Listener.Addr().String(), "n1", "ready")
	r.start()
	r.waitUsable(1)
	r.send("POST", "/do/x")
	r.send("POST", "/do/x")
	boottime.Suspend(suspension)
	r.send("POST", "/do/x")
	if len(from) != 3 || from[0] != from[1] || from[1] == from[2] {
		t.Errorf("got requests from %v, want the third from another connection", from)
	}
}

// The lease may have expired: it is renewed at once.
func suspendedLease(t *testing.T) {
	r := newRig(t)
	r.configure(1, "s")
	r.start()
	r.eventually("it is registered", func() bool { return r.store.Get(instancePrefix+"e1") != nil })
	r.store.RevokeLeases()
	boottime.Suspend(suspension)
	begin := time.Now()
	r.eventually("it is registered again", func() bool { return r.store.Get(instancePrefix+"e1") != nil })
	if took := time.Since(begin); took > time.Second {
		t.Errorf("got the lease renewed after %s, want within 1s", took)
	}
	if got := string(r.store.Get(instancePrefix + "e1")); !strings.Contains(got, `"leaving":false`) {
		t.Errorf("got %s, want a record that is not leaving", got)
	}
}
