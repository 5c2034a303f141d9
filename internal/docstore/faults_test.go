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
	forOneSecond := func(f store.Faults) store.Faults {
		f.Until = time.Now().Add(time.Second)
		return f
	}
	tests := map[string]struct {
		faults      store.Faults // Until is set to one second from now
		after       time.Duration
		uncertain   bool // the write gives *UncertainError
		unavailable bool // the write gives *UnavailableError
		applied     bool
	}{
		"none":             {applied: true},
		"outage":           {faults: store.Faults{Refuse: true}, unavailable: true},
		"outage over":      {faults: store.Faults{Refuse: true}, after: time.Second, applied: true},
		"silent outage":    {faults: store.Faults{Silent: true}, unavailable: true},
		"slow":             {faults: store.Faults{Delay: time.Second / 8}, applied: true},
		"lost":             {faults: store.Faults{LoseNext: 1}, uncertain: true, applied: true},
		"lost by chance":   {faults: store.Faults{LoseShare: 1}, uncertain: true, applied: true},
		"late by chance":   {faults: store.Faults{LateShare: 1, Delay: time.Second / 16}, uncertain: true, applied: true},
		"slower than that": {faults: store.Faults{Delay: time.Second}, unavailable: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLocal(t)
				l.SetFaults(forOneSecond(tt.faults))
				time.Sleep(tt.after)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second/2)
				defer cancel()
				_, err := l.Swap(ctx, "/a", 0, nil)
				var uncertain *docstore.UncertainError
				var unavailable *docstore.UnavailableError
				if errors.As(err, &uncertain) != tt.uncertain || errors.As(err, &unavailable) != tt.unavailable {
					t.Errorf("got %v, want uncertain %v, unavailable %v", err, tt.uncertain, tt.unavailable)
				}
				l.SetFaults(store.Faults{})
				if _, err := l.Get(t.Context(), "/a"); (err == nil) != tt.applied {
					t.Errorf("got %v, want applied %v", err, tt.applied)
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
		handler   http.HandlerFunc // for writes; nil means that nothing listens
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
			io.Copy(io.Discard, r.Body) // the server detects a closed connection only after reading the body
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
			var uncertain *docstore.UncertainError
			if _, err := client.Swap(ctx, "/a", 0, nil); err == nil || errors.As(err, &uncertain) != tt.uncertain {
				t.Errorf("got %v, want uncertain %v", err, tt.uncertain)
			}
		})
	}
}

// A failed read never gives *UncertainError, as it changes nothing.
func TestReadFails(t *testing.T) {
	for _, status := range []int{200, 429, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			defer server.Close()
			client := docstore.NewClient(platform.NewStore(server.Listener.Addr().String()))
			defer client.Close()
			var uncertain *docstore.UncertainError
			if _, err := client.Get(t.Context(), "/a"); err == nil || errors.As(err, &uncertain) {
				t.Errorf("got %v from a read, want a certain error", err)
			}
			if _, _, err := client.Instances(t.Context()); err == nil || errors.As(err, &uncertain) {
				t.Errorf("got %v from the list, want a certain error", err)
			}
		})
	}
}
