// Package store is a stand-in of the platform's metadata store, for tests: keys
// with revisions, ranges in pages, watches with a bounded history, transactions,
// leases, and the faults that the real one has. It keeps everything in memory.
package store

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const (
	pageItems = 50 // of a range, as the platform's pages have
	// historyLen is how many changes are kept for watches.
	historyLen = 1000
	leaseTick  = 20 * time.Millisecond // how often ended leases are looked for
)

// Faults are what goes wrong. The zero value is a store without faults.
type Faults struct {
	Refuse bool // every call is answered 503
	Silent bool // no call is answered
	Deaf   bool // watches hear nothing of changes
}

// Store is the stand-in. It is an http.Handler and safe for concurrent use.
type Store struct {
	router http.Handler
	stop   chan struct{}

	mu       sync.Mutex
	revision uint64           // of the last change; guarded by mu
	items    map[string]item  // guarded by mu
	history  []item           // changes by revision, at most historyLen; guarded by mu
	oldest   uint64           // changes up to here are forgotten; guarded by mu
	leases   map[uint64]lease // guarded by mu
	faults   Faults           // guarded by mu
	changed  chan struct{}    // closed at each change; guarded by mu
	calls    map[string]int   // by path; guarded by mu
}

type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          uint64 `json:"lease,omitempty"`
	Removed        bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// New makes an empty store. Close ends it.
func New() *Store {
	s := &Store{
		items: make(map[string]item), leases: make(map[uint64]lease), calls: make(map[string]int),
		changed: make(chan struct{}), stop: make(chan struct{}),
	}
	r := chi.NewRouter()
	r.Get("/kv-key", s.key)
	r.Get("/kv-range", s.list)
	r.Get("/kv-watch", s.watch)
	r.Post("/kv-txn", s.txn)
	r.Post("/kv-lease", s.grant)
	r.Post("/kv-keep/{id}", s.keep)
	r.Delete("/kv-lease-end/{id}", s.end)
	s.router = r
	go s.expire()
	return s
}

// Close stops the store.
func (s *Store) Close() { close(s.stop) }

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Put writes a key as the operator or a target does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Get returns the value of a key, or nil.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Forget drops the history: watches from before get 410.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
	s.wake()
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// ServeHTTP answers a call, or fails it as the faults say.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	f := s.faults
	s.mu.Unlock()
	switch {
	case f.Silent:
		s.ignore(r)
	case f.Refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		s.router.ServeHTTP(w, r)
	}
}

// ignore gives no answer until the caller has left. It reads the body, as the end
// of the connection is noticed only then.
func (s *Store) ignore(r *http.Request) {
	io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-s.stop:
	}
}

// put writes a key. s.mu is held, here and below.
func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreateRevision
	}
	it := item{Key: key, Value: value, Revision: s.revision, CreateRevision: created, Lease: lease}
	s.items[key] = it
	s.record(it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) record(change item) {
	s.history = append(s.history, change)
	if len(s.history) > historyLen {
		s.oldest = s.history[0].Revision
		s.history = s.history[1:]
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]uint64{"as_of": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{it, s.revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	reply(w, http.StatusOK, struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		AsOf    uint64 `json:"as_of"`
	}{items[:min(len(items), pageItems)], more, s.revision})
}

// watch waits until there are changes, until the time is over, or until the
// history that it asks for is dropped.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	over := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		events, gone := s.since(q.Get("prefix"), after)
		revision, changed, deaf := s.revision, s.changed, s.faults.Deaf
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 && !deaf:
			reply(w, http.StatusOK, watchAnswer{events, revision})
			return
		}
		select {
		case <-changed:
		case <-over:
			reply(w, http.StatusOK, watchAnswer{[]item{}, after})
			return
		case <-r.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
}

type watchAnswer struct {
	Events []item `json:"events"`
	AsOf   uint64 `json:"as_of"`
}

func (s *Store) since(prefix string, after uint64) (events []item, gone bool) {
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, after < s.oldest
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) // an answer that can't be written has no reader left
}
