package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// call makes a call, and decodes its answer into out if that is not nil.
func call(t *testing.T, s *Store, method, target, body string, out any) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, "http://store"+target, strings.NewReader(body)))
	if out != nil {
		if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
			t.Fatalf("%s %s: %v", method, target, err)
		}
	}
	return w
}

// createLeasedKey creates a lease of 5 s and writes a key under it. It returns the lease's ID.
func createLeasedKey(t *testing.T, s *Store, key string) uint64 {
	t.Helper()
	var l struct{ Lease uint64 }
	call(t, s, "POST", "/kv-lease", `{"ttl_time":"5s"}`, &l)
	body := fmt.Sprintf(`{"writes":[{"key":%q,"value":"","lease":%d}]}`, key, l.Lease)
	if w := call(t, s, "POST", "/kv-txn", body, nil); w.Code != http.StatusOK {
		t.Fatalf("got status %d of a write", w.Code)
	}
	return l.Lease
}

// A restored store has the content of the snapshot, with its revision and its leases, and
// external writes that the restore lost can be made again.
func TestRestoreSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		defer s.Close()
		s.Put("kept", []byte("1"))
		s.Put("removed", []byte("1"))
		keptLease := createLeasedKey(t, s, "old")
		snapshot := s.TakeSnapshot()
		revision := s.revision
		s.Put("kept", []byte("2"))
		s.Put("kept", []byte("3"))
		s.Remove("removed")
		lostLease := createLeasedKey(t, s, "new")
		s.RestoreSnapshot(snapshot)
		if s.revision != revision || string(s.Get("kept")) != "1" || s.Get("removed") == nil {
			t.Errorf("got %q and %q at revision %d, want the snapshot's at %d", s.Get("kept"), s.Get("removed"), s.revision, revision)
		}
		for lease, want := range map[uint64]int{keptLease: http.StatusOK, lostLease: http.StatusNotFound} {
			if w := call(t, s, "POST", fmt.Sprint("/kv-keep/", lease), "", nil); w.Code != want {
				t.Errorf("got status %d of a renewal, want %d", w.Code, want)
			}
		}
		if w := call(t, s, "GET", fmt.Sprintf("/kv-watch?prefix=&after=%d&wait_ms=0", revision+1), "", nil); w.Code != http.StatusGone {
			t.Errorf("got status %d of a watch from a lost revision, want 410", w.Code)
		}
		if again := createLeasedKey(t, s, "another"); again > lostLease {
			t.Errorf("got lease %d after %d was lost, want the same ID again or an earlier one", again, lostLease)
		}
		time.Sleep(6 * time.Second)
		if w := call(t, s, "GET", "/kv-key?key=old", "", nil); w.Code != http.StatusNotFound {
			t.Errorf("got status %d of a key whose lease has expired, want 404", w.Code)
		}
		s.RedoExternalWrites()
		if string(s.Get("kept")) != "3" || s.Get("removed") != nil {
			t.Errorf("got %q and %q, want the last external writes", s.Get("kept"), s.Get("removed"))
		}
	})
}

// External writes can be made again after two restores, also if they were made again between
// the two.
func TestRestoreTwice(t *testing.T) {
	tests := map[string]func(s *Store, snapshot *Snapshot){
		"at once":                   func(s *Store, c *Snapshot) { s.RestoreSnapshot(c); s.RestoreSnapshot(c) },
		"to a copy without it":      func(s *Store, c *Snapshot) { s.RestoreSnapshot(c); s.RestoreSnapshot(s.TakeSnapshot()) },
		"after it is written again": func(s *Store, c *Snapshot) { s.RestoreSnapshot(c); s.RedoExternalWrites(); s.RestoreSnapshot(c) },
	}
	for name, restore := range tests {
		t.Run(name, func(t *testing.T) {
			s := New()
			defer s.Close()
			c := s.TakeSnapshot()
			s.Put("a", []byte("1"))
			restore(s, c)
			s.RedoExternalWrites()
			if got := string(s.Get("a")); got != "1" || s.Era() != 3 {
				t.Errorf("got %q in era %d, want 1 in era 3", got, s.Era())
			}
		})
	}
}

// Each answer carries the era, also a refusal.
func TestEra(t *testing.T) {
	tests := map[string]struct {
		faults Faults
		target string
	}{
		"list":    {Faults{}, "/kv-range?prefix="},
		"missing": {Faults{}, "/kv-key?key=a"},
		"watch":   {Faults{}, "/kv-watch?prefix=&after=0&wait_ms=0"},
		"gone":    {Faults{}, "/kv-watch?prefix=&after=9&wait_ms=0"},
		"refused": {Faults{Refuse: true}, "/kv-range?prefix="},
		"delayed": {Faults{Delay: time.Millisecond}, "/kv-range?prefix="},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := New()
			defer s.Close()
			s.RestoreSnapshot(s.TakeSnapshot())
			s.SetFaults(tt.faults)
			if got := call(t, s, "GET", tt.target, "", nil).Header().Get("Store-Era"); got != "2" {
				t.Errorf("got era %q, want 2", got)
			}
		})
	}
}
