//go:build linux

package soak

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/rush"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/platform"
)

// newLoad returns a generator of requests to the instance, which sends at a given rate.
func (e *edge) newLoad() *rush.Callers {
	return rush.New(e.address(callerPort), routeTimeout, func(id string) string {
		return fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, routeTimeout.Milliseconds())
	})
}

// An instance on one processor receives 1.5 times its capacity. It must still answer at least half of
// its capacity, and right afterwards at least 90 percent of a normal load. The test runs only with
// FIRLEVER_SOAK, because it needs the machine for itself.
func TestSoakOverload(t *testing.T) {
	if os.Getenv(envSoak) == "" {
		t.Skip("set " + envSoak)
	}
	e := startSingleCoreEdge(t)
	got, err := rush.Overload(e.cmd.Process.Pid, 2000, e.newLoad)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(got)
	if want := got.Capacity / 2; got.AnswerRate < want {
		t.Errorf("got %.0f answers per second, want at least %.0f", got.AnswerRate, want)
	}
	if got, want := got.NormalCallers.Answered(), got.NormalCallers.Completed()*9/10; got < want {
		t.Errorf("got %d answers after the overload, want at least %d", got, want)
	}
}

// startSingleCoreEdge starts an instance on one processor, with targets that have spare capacity.
func startSingleCoreEdge(t *testing.T) *edge {
	emulator := store.New()
	server := httptest.NewServer(emulator)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		emulator.Close()
	})
	const route = `{"resource_kind":"routes","metadata":{"name":"get"},"spec":{"host":"h","prefix":"/get/","route_type":"idempotent","timeout":"%dms","target_latency":"100ms","max_attempts":%d,"service":"s"}}`
	emulator.Put(platform.ConfigKey, fmt.Appendf(nil, `{"version":1,"resources":[%s]}`, fmt.Sprintf(route, routeTimeout.Milliseconds(), maxAttempts)))
	for i := range 4 {
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(5 * time.Millisecond)
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Response-Signature", "sig")
			io.WriteString(w, "answer")
		}))
		t.Cleanup(func() {
			target.CloseClientConnections()
			target.Close()
		})
		emulator.Put(fmt.Sprint(platform.TargetPrefix, "t", i), fmt.Appendf(nil,
			`{"address":%q,"info":{"service":"s","version":"v1","zone":"n1","capacity":1000},"status":{"state":"ready","sequence":1,"warmup_left":"0ms"}}`,
			target.Listener.Addr().String()))
	}
	t.Setenv("GOMAXPROCS", "1")
	e := newEdge(t, 0, "n1", server.Listener.Addr().String(), []string{"127.0.0.1:1", "127.0.0.1:1"})
	e.start()
	t.Cleanup(func() { e.stop(false) })
	for end := time.Now().Add(recoverTime); !e.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("instance not ready in time")
		}
	}
	return e
}
