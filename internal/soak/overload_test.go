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

// newLoad are callers of the instance.
func (e *edge) newLoad() *rush.Rush {
	return rush.New(e.address(callerPort), routeTimeout, func(id string) string {
		return fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, routeTimeout.Milliseconds())
	})
}

// An instance on one processor that gets half as much again as that can do answers as much as
// it can, and all of a usual load right afterwards. It takes FIRLEVER_SOAK, as it needs the
// machine for itself.
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
	if want := got.Capacity / 2; got.Answers < want {
		t.Errorf("got %.0f answers a second, want %.0f", got.Answers, want)
	}
	if got, want := got.Usual.Answered(), got.Usual.All()*9/10; got < want {
		t.Errorf("got %d answers afterwards, want %d", got, want)
	}
}

// startSingleCoreEdge starts an instance on one processor, with targets that have room.
func startSingleCoreEdge(t *testing.T) *edge {
	fake := store.New()
	server := httptest.NewServer(fake)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		fake.Close()
	})
	const route = `{"resource_kind":"routes","metadata":{"name":"get"},"spec":{"host":"h","prefix":"/get/","route_type":"idempotent","timeout":"%dms","target_latency":"100ms","max_attempts":%d,"service":"s"}}`
	fake.Put(platform.ConfigKey, fmt.Appendf(nil, `{"version":1,"resources":[%s]}`, fmt.Sprintf(route, routeTimeout.Milliseconds(), maxAttempts)))
	for i := range 4 {
		tg := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(5 * time.Millisecond)
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Response-Signature", "sig")
			io.WriteString(w, "answer")
		}))
		t.Cleanup(func() {
			tg.CloseClientConnections()
			tg.Close()
		})
		fake.Put(fmt.Sprint(platform.TargetPrefix, "t", i), fmt.Appendf(nil,
			`{"address":%q,"info":{"service":"s","version":"v1","zone":"n1","capacity":1000},"status":{"state":"ready","sequence":1,"warmup_left":"0ms"}}`,
			tg.Listener.Addr().String()))
	}
	t.Setenv("GOMAXPROCS", "1")
	e := newEdge(t, 0, "n1", server.Listener.Addr().String(), []string{"127.0.0.1:1", "127.0.0.1:1"})
	e.start()
	t.Cleanup(func() { e.stop(false) })
	for end := time.Now().Add(recoverTime); !e.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the instance is not ready")
		}
	}
	return e
}
