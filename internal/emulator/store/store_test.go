package store

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestConfigFaults(t *testing.T) {
	tests := map[string]struct {
		change func(*Config)
		want   string
	}{
		"no writes":    {func(c *Config) { c.Writes = 0 }, "writes must be at least 1"},
		"no reads":     {func(c *Config) { c.Reads = 0.5 }, "reads must be at least 1"},
		"negative lag": {func(c *Config) { c.Lag = -1 }, "lag must not be negative"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := Defaults()
			tt.change(&cfg)
			_, err := NewStore(cfg)
			var got *ConfigError
			if !errors.As(err, &got) || !strings.Contains(got.Error(), tt.want) {
				t.Errorf("got %v, want a *ConfigError with %q", err, tt.want)
			}
		})
	}
}

// callStatus makes a call and returns its status.
func callStatus(t *testing.T, s *Store, method, target, body string) int {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, "http://store"+target, strings.NewReader(body)))
	return w.Code
}

// Calls over the rate limit are answered 429. A renewal takes a tenth of a read's tokens, and a
// stale read none.
func TestRate(t *testing.T) {
	const empty = `{"expected_revision":[],"writes":[],"remove":[]}`
	tests := map[string]struct {
		method, target, body string
		asks                 int
		every                time.Duration
		want                 int // calls accepted
	}{
		"burst of writes":      {"POST", "/kv-txn", empty, 1000, 0, 400},
		"writes over the rate": {"POST", "/kv-lease", `{"ttl_time":"9s"}`, 1000, time.Millisecond, 400 + 399},
		"writes at the rate":   {"POST", "/kv-txn", empty, 1000, time.Second / 400, 1000},
		"burst of reads":       {"GET", "/kv-key?key=a", "", 3000, 0, 2000},
		"watches are reads":    {"GET", "/kv-watch?prefix=a&after=0&wait_ms=0", "", 3000, 0, 2000},
		"renewals are cheap":   {"POST", "/kv-keep/1", "", 21_000, 0, 20_000},
		"stale reads are free": {"GET", "/kv-range?prefix=a&stale_ok=1", "", 3000, 0, 3000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, err := NewStore(Defaults())
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				got := 0
				for range tt.asks {
					if callStatus(t, s, tt.method, tt.target, tt.body) != http.StatusTooManyRequests {
						got++
					}
					time.Sleep(tt.every)
				}
				if got != tt.want {
					t.Errorf("got %d calls accepted, want %d", got, tt.want)
				}
			})
		})
	}
}

// A stale read returns the state of Config.Lag ago.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, err := NewStore(Defaults())
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		s.Put("a", []byte("1"))
		time.Sleep(Defaults().Lag)
		s.Remove("a")
		s.Put("b", nil)
		for at, want := range []int{http.StatusOK, http.StatusNotFound} {
			if got := callStatus(t, s, "GET", "/kv-key?key=a&stale_ok=1", ""); got != want {
				t.Errorf("%d: got status %d of a stale read, want %d", at, got, want)
			}
			if got := callStatus(t, s, "GET", "/kv-key?key=a", ""); got != http.StatusNotFound {
				t.Errorf("%d: got status %d, want 404", at, got)
			}
			time.Sleep(Defaults().Lag)
		}
	})
}

// A caller whose address is rate-limited is answered 429, while others are served.
func TestRateLimitedAddress(t *testing.T) {
	s := New()
	defer s.Close()
	s.SetFaults(Faults{RateLimited: []string{"192.0.2.1"}}) // the address of httptest's requests
	if got := callStatus(t, s, "GET", "/kv-range?prefix=a", ""); got != http.StatusTooManyRequests {
		t.Errorf("got status %d, want 429", got)
	}
	s.SetFaults(Faults{RateLimited: []string{"192.0.2.2"}})
	if got := callStatus(t, s, "GET", "/kv-range?prefix=a", ""); got != http.StatusOK {
		t.Errorf("got status %d, want 200", got)
	}
}

// A waiting watch is answered 503 when the store begins to refuse calls.
func TestWatchInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		defer s.Close()
		begun := time.Now()
		time.AfterFunc(time.Second, func() { s.SetFaults(Faults{Refuse: true}) })
		got := callStatus(t, s, "GET", "/kv-watch?prefix=a&after=0&wait_ms=30000", "")
		if took := time.Since(begun); got != http.StatusServiceUnavailable || took != time.Second {
			t.Errorf("got status %d after %s, want 503 after 1s", got, took)
		}
	})
}

func FuzzServe(f *testing.F) {
	f.Add("GET", "/kv-watch", "prefix=/&after=0&wait_ms=0", "")
	f.Add("POST", "/kv-txn", "", `{"expected_revision":[{"key":"a","revision":0}],"writes":[{"key":"a","value":"eA=="}],"remove":["b"]}`)
	f.Add("POST", "/kv-lease", "", `{"ttl_time":"1s"}`)
	f.Add("DELETE", "/kv-lease-end/18446744073709551616", "", "")
	f.Fuzz(func(t *testing.T, method, path, query, body string) {
		r, err := http.NewRequest(method, "http://store", strings.NewReader(body))
		if err != nil {
			return
		}
		r.URL.Path, r.URL.RawQuery = path, query
		if r.URL.Query().Get("wait_ms") != "" {
			r.URL.RawQuery = "prefix=a&wait_ms=0"
		}
		s := New()
		defer s.Close()
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Code >= http.StatusInternalServerError {
			t.Errorf("got status %d: %s", w.Code, w.Body)
		}
		io.Copy(io.Discard, w.Body)
	})
}
