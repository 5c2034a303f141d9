package docstore_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/platform"
)

func TestFaults(t *testing.T) {
	second := func(f store.Faults) store.Faults {
		f.Until = time.Now().Add(time.Second)
		return f
	}
	tests := map[string]struct {
		faults    store.Faults // Until is set to a second on
		after     time.Duration
		uncertain bool // the write's answer never came
		down      bool // nothing was written
		landed    bool
	}{
		"none":             {landed: true},
		"outage":           {faults: store.Faults{Refuse: true}, down: true},
		"outage over":      {faults: store.Faults{Refuse: true}, after: time.Second, landed: true},
		"silent outage":    {faults: store.Faults{Silent: true}, down: true},
		"slow":             {faults: store.Faults{Delay: time.Second / 8}, landed: true},
		"lost":             {faults: store.Faults{LoseNext: 1}, uncertain: true, landed: true},
		"lost by chance":   {faults: store.Faults{LoseShare: 1}, uncertain: true, landed: true},
		"late by chance":   {faults: store.Faults{LateShare: 1, Delay: time.Second / 16}, uncertain: true, landed: true},
		"slower than that": {faults: store.Faults{Delay: time.Second}, down: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLocal(t)
				l.SetFaults(second(tt.faults))
				time.Sleep(tt.after)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second/2)
				defer cancel()
				_, err := l.Swap(ctx, "/a", 0, nil)
				var lost *docstore.UncertainError
				var down *docstore.UnavailableError
				if errors.As(err, &lost) != tt.uncertain || errors.As(err, &down) != tt.down {
					t.Errorf("got %v, want uncertain %v, down %v", err, tt.uncertain, tt.down)
				}
				l.SetFaults(store.Faults{})
				if _, err := l.Get(t.Context(), "/a"); (err == nil) != tt.landed {
					t.Errorf("got %v, want landed %v", err, tt.landed)
				}
			})
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
	cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	tests := map[string]struct {
		handler   http.HandlerFunc // of writes; nil: nothing listens
		uncertain bool
	}{
		"connection refused":   {nil, false},
		"outage":               {reply(503, ``), false},
		"busy":                 {reply(429, ``), false},
		"conflict, unreadable": {reply(412, `{"items":`), true},
		"conflict, other key":  {reply(412, `{"items":[{"key":"x","revision":3}]}`), true},
		"garbled answer":       {reply(200, `{"revision":`), true},
		"cut":                  {cut, true},
		"cut body": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"revision":1}`))
		}, true},
		"no answer in time": {func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body) // the end of the connection is noticed only then
			<-r.Context().Done()
		}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet { // the version is read first
					reply(404, `{}`)(w, r)
					return
				}
				tt.handler(w, r)
			}))
			defer server.Close()
			if tt.handler == nil {
				server.Close()
			}
			client := docstore.NewClient(platform.NewStore(server.Listener.Addr().String()))
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second/4)
			defer cancel()
			var lost *docstore.UncertainError
			if _, err := client.Swap(ctx, "/a", 0, nil); err == nil || errors.As(err, &lost) != tt.uncertain {
				t.Errorf("got %v, want uncertain %v", err, tt.uncertain)
			}
		})
	}
}

// Reads are never uncertain.
func TestReadFails(t *testing.T) {
	for _, status := range []int{200, 429, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			defer server.Close()
			client := docstore.NewClient(platform.NewStore(server.Listener.Addr().String()))
			defer client.Close()
			var lost *docstore.UncertainError
			if _, err := client.Get(t.Context(), "/a"); err == nil || errors.As(err, &lost) {
				t.Errorf("got %v from a read, want a certain error", err)
			}
			if _, _, err := client.Instances(t.Context()); err == nil || errors.As(err, &lost) {
				t.Errorf("got %v from the list, want a certain error", err)
			}
		})
	}
}
