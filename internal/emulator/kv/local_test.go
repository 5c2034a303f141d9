package kv

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/firlever/firlever/internal/platform"
)

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults    Faults // deadlines are set to a second on
		after     time.Duration
		uncertain bool // the swap's answer never came
		down      bool // the swap was refused
		landed    bool
	}{
		"none":                {landed: true},
		"outage":              {faults: Faults{Outage: start}, down: true},
		"outage over":         {faults: Faults{Outage: start}, after: time.Second, landed: true},
		"hanging outage":      {faults: Faults{Outage: start, Hang: true}, uncertain: true},
		"slow":                {faults: Faults{Slow: start, Delay: time.Second / 4}, landed: true},
		"slower than timeout": {faults: Faults{Slow: start, Delay: time.Second}, uncertain: true, landed: true},
		"lost":                {faults: Faults{LoseNext: 1}, uncertain: true, landed: true},
		"lost by chance":      {faults: Faults{LoseShare: 1}, uncertain: true, landed: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := NewLocal(newService(t), time.Now)
				if !tt.faults.Outage.IsZero() {
					tt.faults.Outage = time.Now().Add(time.Second)
				}
				if !tt.faults.Slow.IsZero() {
					tt.faults.Slow = time.Now().Add(time.Second)
				}
				l.SetFaults(tt.faults)
				time.Sleep(tt.after)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second/2)
				defer cancel()
				_, err := l.Swap(ctx, "/a", 0, nil)
				var lost *platform.UncertainError
				var down *platform.UnavailableError
				if errors.As(err, &lost) != tt.uncertain || errors.As(err, &down) != tt.down {
					t.Errorf("got %v, want uncertain %v, down %v", err, tt.uncertain, tt.down)
				}
				l.SetFaults(Faults{})
				if _, err := l.Get(t.Context(), "/a"); (err == nil) != tt.landed {
					t.Errorf("got %v, want landed %v", err, tt.landed)
				}
			})
		})
	}
}

func TestWatch(t *testing.T) {
	const wait = time.Minute
	tests := map[string]struct {
		event func(l *Local) // a second into the wait
		want  int            // entries
		took  time.Duration
		fails bool
	}{
		"nothing":      {func(*Local) {}, 0, wait, false},
		"other prefix": {func(l *Local) { _, _ = l.Swap(context.Background(), "/b", 0, nil) }, 0, wait, false},
		"write":        {func(l *Local) { _, _ = l.Swap(context.Background(), "/a/x", 0, nil) }, 1, time.Second, false},
		"delete":       {func(l *Local) { _, _ = l.Delete(context.Background(), "/a/old", 1) }, 1, time.Second, false},
		"outage":       {func(l *Local) { l.SetFaults(Faults{Outage: time.Now().Add(1)}) }, 0, time.Second, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := NewLocal(newService(t), time.Now)
				old, _ := l.Swap(t.Context(), "/a/old", 0, nil)
				begun := time.Now()
				time.AfterFunc(time.Second, func() { tt.event(l) })
				got, next, err := l.Watch(t.Context(), "/a/", old.Revision, wait)
				if len(got) != tt.want || (err != nil) != tt.fails {
					t.Errorf("got %d entries, %v, want %d", len(got), err, tt.want)
				}
				if took := time.Since(begun); took != tt.took {
					t.Errorf("got an answer after %v, want %v", took, tt.took)
				}
				if next < old.Revision {
					t.Errorf("got revision %d, want %d or more", next, old.Revision)
				}
				if got := l.Counts()[Watch].Calls; got != 1 {
					t.Errorf("got %d calls counted, want 1", got)
				}
			})
		})
	}
}

// impatient is a Local whose watches don't wait.
type impatient struct{ *Local }

func (l impatient) Watch(ctx context.Context, prefix string, after uint64, _ time.Duration) ([]platform.Entry, uint64, error) {
	return l.Local.Watch(ctx, prefix, after, 0)
}

func FuzzServer(f *testing.F) {
	f.Add("PUT", platform.RouteEntry, "path=/a&version=0", "value")
	f.Add("GET", platform.RouteWatch, "prefix=/&after=0&wait=0", "")
	f.Add("PUT", platform.RouteLease, "path=/l&holder=a&ttl=1000", "")
	f.Add("PUT", platform.RouteInstance, "", `{"id":"a","incarnation":1}`)
	f.Add("DELETE", platform.RouteEntry, "path=/a&version=18446744073709551616", "")
	f.Fuzz(func(t *testing.T, method, route, query, body string) {
		r, err := http.NewRequest(method, "http://kv", strings.NewReader(body))
		if err != nil {
			return
		}
		r.URL.Path, r.URL.RawQuery = route, query
		w := httptest.NewRecorder()
		local := NewLocal(newService(t), func() time.Time { return start })
		NewServer(impatient{local}).ServeHTTP(w, r)
		if w.Code >= http.StatusInternalServerError {
			t.Errorf("got status %d: %s", w.Code, w.Body)
		}
	})
}
