package platform_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/kv"
	"github.com/firlever/firlever/internal/platform"
)

func newLocal(t testing.TB) *kv.Local {
	t.Helper()
	s, err := kv.New(kv.Defaults(), rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	return kv.NewLocal(s, time.Now)
}

// serve returns a client of a server over a fresh store.
func serve(t *testing.T) (*kv.Local, *platform.Client) {
	t.Helper()
	local := newLocal(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := kv.NewServer(local)
	go func() { _ = server.Serve(ln) }()
	client := platform.NewClient(ln.Addr().String())
	t.Cleanup(func() {
		client.Close()
		_ = server.Close()
	})
	return local, client
}

// TestClientIsLikeLocal makes the same calls of a store over HTTP and of one in
// process, and wants the same answers and errors.
func TestClientIsLikeLocal(t *testing.T) {
	ctx := t.Context()
	type answer struct {
		v   any
		err error
	}
	pair := func(v any, err error) answer { return answer{v, err} }
	tests := map[string]func(s platform.Store) answer{
		"get":           func(s platform.Store) answer { return pair(s.Get(ctx, "/a")) },
		"get missing":   func(s platform.Store) answer { return pair(s.Get(ctx, "/none")) },
		"get bad path":  func(s platform.Store) answer { return pair(s.Get(ctx, "none")) },
		"swap":          func(s platform.Store) answer { return pair(s.Swap(ctx, "/a", 1, []byte("new"))) },
		"swap loses":    func(s platform.Store) answer { return pair(s.Swap(ctx, "/a", 0, nil)) },
		"swap largest":  func(s platform.Store) answer { return pair(s.Swap(ctx, "/b", 0, make([]byte, platform.MaxValue))) },
		"swap too much": func(s platform.Store) answer { return pair(s.Swap(ctx, "/b", 0, make([]byte, platform.MaxValue+1))) },
		"delete":        func(s platform.Store) answer { return pair(s.Delete(ctx, "/a", 1)) },
		"delete loses":  func(s platform.Store) answer { return pair(s.Delete(ctx, "/a", 9)) },
		"list": func(s platform.Store) answer {
			e, n, err := s.List(ctx, "/")
			return answer{[]any{e, n}, err}
		},
		"watch": func(s platform.Store) answer {
			e, n, err := s.Watch(ctx, "/", 0, time.Second)
			return answer{[]any{e, n}, err}
		},
		"lease held": func(s platform.Store) answer { return pair(s.Acquire(ctx, "/l", "b", time.Second)) },
		"release other": func(s platform.Store) answer {
			return answer{nil, s.Release(ctx, platform.Lease{Path: "/l", Holder: "b", Epoch: 1})}
		},
		"register nothing": func(s platform.Store) answer { return answer{nil, s.Register(ctx, platform.Instance{})} },
		"instances":        func(s platform.Store) answer { return pair(s.Instances(ctx)) },
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			local, client := serve(t)
			var answers []answer
			for _, s := range []platform.Store{newLocal(t), client} {
				_, _ = s.Swap(ctx, "/a", 0, []byte("old"))
				_, _ = s.Acquire(ctx, "/l", "a", time.Minute)
				_ = s.Register(ctx, platform.Instance{ID: "x", Place: "p", Leaving: true})
				answers = append(answers, call(s))
			}
			if got, want := answers[1], answers[0]; !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
			_ = local
		})
	}
}

func TestClientLostAnswers(t *testing.T) {
	reply := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	tests := map[string]struct {
		handler   http.HandlerFunc // nil: nothing listens
		uncertain bool
	}{
		"connection refused": {nil, false},
		"outage":             {reply(503, `{"code":"unavailable"}`), false},
		"busy":               {reply(429, `{"code":"busy"}`), false},
		"unproved 503":       {reply(503, `try later`), true},
		"unknown refusal":    {reply(400, `{"code":"odd"}`), true},
		"bare conflict":      {reply(409, `{"code":"conflict"}`), true},
		"garbled answer":     {reply(200, `{"version":`), true},
		"cut":                {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true},
		"cut body": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"version":1}`))
		}, true},
		"no answer in time": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(tt.handler)
			defer server.Close()
			if tt.handler == nil {
				server.Close()
			}
			client := platform.NewClient(server.Listener.Addr().String())
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second/4)
			defer cancel()
			var lost *platform.UncertainError
			if _, err := client.Swap(ctx, "/a", 0, nil); err == nil || errors.As(err, &lost) != tt.uncertain {
				t.Errorf("got %v, want uncertain %v", err, tt.uncertain)
			}
			if _, err := client.Get(ctx, "/a"); err == nil || errors.As(err, &lost) {
				t.Errorf("got %v from a read, want a certain error", err)
			}
		})
	}
}

func TestSwapRace(t *testing.T) {
	const writers, rounds = 8, 10
	_, client := serve(t)
	var won atomic.Uint64
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for range rounds {
				e, _ := client.Get(t.Context(), "/a")
				_, err := client.Swap(t.Context(), "/a", e.Version, nil)
				var conflict *platform.ConflictError
				if err == nil {
					won.Add(1)
				} else if !errors.As(err, &conflict) {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	if e, err := client.Get(t.Context(), "/a"); err != nil || e.Version != won.Load() {
		t.Errorf("got version %d %v, want %d, one a win", e.Version, err, won.Load())
	}
}
