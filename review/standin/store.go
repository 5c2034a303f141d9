package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or an event of a watch.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Changed uint64 `json:"revision"`
	Created uint64 `json:"create_revision,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string
	record  *record
	handler http.Handler

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	oldest   uint64 // history up to here is gone
	down     bool   // no call is answered
	silent   bool   // watches hear nothing
	cuts     int    // times that all watches were cut
	changed  chan struct{}
	onWrite  func(key string, value []byte) // called before a write is seen; with mu held; may be nil
	writer   string                         // caller that last wrote under a condition
	writers  map[string]string              // caller that last wrote a key
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_revision"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

// startStore serves a store at an address.
func startStore(address string, r *record) (*store, error) {
	s := &store{
		address: address, record: r, revision: 100, items: make(map[string]item),
		leases: make(map[uint64]*lease), changed: make(chan struct{}), writers: make(map[string]string),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
	return s, s.listen(address)
}

// listen serves at one more address. Each instance has one of its own, which tells who has written.
func (s *store) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err == nil {
		go http.Serve(ln, s.handler)
	}
	return err
}

// caller returns the address of the store at which a call has come.
func caller(r *http.Request) string {
	return r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// outage has the store answer nothing for a time. Leases and the entries of upstreams run out meanwhile.
func (s *store) outage(d time.Duration) {
	s.mu.Lock()
	s.down = true
	for id, l := range s.leases {
		l.timer.Stop()
		delete(s.leases, id)
	}
	for key, it := range s.items {
		if it.Lease != 0 || strings.HasPrefix(key, "servers/") {
			s.remove(key)
		}
	}
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	s.down = false
	s.cuts++
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

// put writes a key as the operator or an upstream does.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, b, 0)
}

// delete removes a key as the operator or an upstream does.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// keys returns the keys under a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, key)
		}
	}
	return list
}

// write writes a key. s.mu is held.
func (s *store) write(key string, value []byte, leaseID uint64) {
	if s.onWrite != nil {
		s.onWrite(key, value)
	}
	s.revision++
	it := item{Key: key, Value: value, Changed: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.event(it)
}

// remove removes a key. s.mu is held.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.event(item{Key: key, Changed: s.revision, Removed: true})
}

// event adds to the history and wakes the watches. s.mu is held.
func (s *store) event(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact has watches hear nothing for a time. Then the history is dropped and they are cut. s.mu is held.
func (s *store) compact(silence time.Duration) {
	s.silent = true
	time.AfterFunc(silence, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.silent, s.oldest, s.history = false, s.revision, nil
		s.cuts++
		close(s.changed)
		s.changed = make(chan struct{})
	})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, it)
}

const pageSize = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "has_more": more, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	cuts := -1
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Changed > after && strings.HasPrefix(it.Key, q.Get("prefix")) && !s.silent && !s.down {
				events = append(events, it)
			}
		}
		revision, changed, gone := s.revision, s.changed, after < s.oldest
		if cuts < 0 {
			cuts = s.cuts
		}
		cut := cuts != s.cuts
		if s.silent || s.down {
			revision = after
		}
		s.mu.Unlock()
		if cut {
			panic(http.ErrAbortHandler)
		}
		if gone {
			reply(w, http.StatusGone, struct{}{})
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := s.apply(&t)
	if status == http.StatusOK {
		s.wrote(caller(r), &t)
	}
	reply(w, status, body)
}

// wrote records who has written.
func (s *store) wrote(from string, t *txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(t.Expected) > 0 {
		s.writer = from
	}
	for _, put := range t.Writes {
		s.writers[put.Key] = from
	}
}

// lastWriter returns the caller that last wrote under a condition.
func (s *store) lastWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer
}

// read returns a key and the caller that last wrote it.
func (s *store) read(key string) (item, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key], s.writers[key]
}

// apply executes a transaction.
func (s *store) apply(t *txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, conflict := []item{}, false
	for _, e := range t.Expected {
		it := s.items[e.Key]
		it.Key = e.Key
		items = append(items, it)
		conflict = conflict || it.Changed != e.Revision
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"items": items}
	}
	for _, put := range t.Writes {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, put := range t.Writes {
		s.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]uint64{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL string `json:"ttl_time"`
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	ttl, fault := time.ParseDuration(body.TTL)
	if err != nil || fault != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	l := &lease{ttl: ttl}
	l.timer = time.AfterFunc(ttl, func() { s.endLease(id) })
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_time": body.TTL})
}

func (s *store) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.record.add("store: lease %d ended, %s removed", id, key)
			s.remove(key)
		}
	}
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, http.StatusOK, map[string]string{"ttl_time": fmt.Sprintf("%dms", l.ttl.Milliseconds())})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}
