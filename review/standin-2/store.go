//go:build review

package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageSize    = 50
	leaseTick   = 10 * time.Millisecond
	historyTime = 20 * time.Second
)

// store is a stand-in of the platform's metadata store. While it is down it answers nothing, and its
// leases pause.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	dropped  uint64 // history begins after this revision
	leases   map[uint64]*lease
	changed  chan struct{}    // closed and replaced at each change
	downAt   time.Time        // zero while it is up
	away     map[string]bool  // by machine
	onRenew  func(key string) // called with the key of a lease that is renewed; may be nil
}

type item struct {
	Key            string    `json:"key"`
	Value          []byte    `json:"value,omitempty"`
	Revision       uint64    `json:"revision"`
	CreateRevision uint64    `json:"create_revision,omitempty"`
	Lease          uint64    `json:"lease"`
	Removed        bool      `json:"removed,omitempty"`
	at             time.Time // of the change
}

type lease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *store {
	s := &store{revision: 1, items: make(map[string]item), leases: make(map[uint64]*lease), changed: make(chan struct{}), away: make(map[string]bool)}
	go s.expire()
	return s
}

// serve serves the store to a machine at a free port of an address, and returns where.
func (s *store) serve(ip, machine string) string {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		unable("store: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, machine) })
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown(machine) {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return ln.Addr().String()
}

// isDown reports whether the store answers nothing to a machine.
func (s *store) isDown(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.downAt.IsZero() || s.away[machine]
}

// setDown takes the store down or brings it back.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !down && !s.downAt.IsZero() {
		for _, l := range s.leases {
			l.end = l.end.Add(now.Sub(s.downAt))
		}
	}
	s.downAt = time.Time{}
	if down {
		s.downAt = now
	}
	s.wake()
}

// turnAway has the store answer nothing to some machines, or answer them again.
func (s *store) turnAway(away bool, machines ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range machines {
		s.away[m] = away
	}
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended.
func (s *store) expire() {
	for now := range time.Tick(leaseTick) {
		s.mu.Lock()
		if s.downAt.IsZero() {
			for id, l := range s.leases {
				if now.After(l.end) {
					s.removeLease(id)
				}
			}
		}
		for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
			s.dropped = s.history[0].Revision
			s.history = s.history[1:]
		}
		s.mu.Unlock()
	}
}

// removeLease ends a lease. s.mu is held, as in the functions below.
func (s *store) removeLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.removeKey(key)
		}
	}
}

func (s *store) removeKey(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) putKey(key string, value []byte, lease uint64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.CreateRevision = old.CreateRevision
	}
	s.items[key] = it
	s.record(it)
}

func (s *store) record(it item) {
	it.at = time.Now()
	s.history = append(s.history, it)
	s.wake()
}

// put writes a key as the operator and upstreams do.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		unable("store: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putKey(key, b, 0)
}

// keysWith returns the keys that begin with a prefix.
func (s *store) keysWith(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
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

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			list = append(list, it)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(list) > pageSize
	reply(w, http.StatusOK, map[string]any{"items": list[:min(len(list), pageSize)], "has_more": more, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, machine string) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for waiting := true; ; {
		if s.isDown(machine) {
			<-r.Context().Done()
			return
		}
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		gone, at, changed := after < s.dropped, s.revision, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || !waiting:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []item   `json:"expected_revision"`
		Writes   []item   `json:"writes"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range t.Expected {
		it := s.items[e.Key]
		it.Key = e.Key
		current = append(current, it)
		holds = holds && it.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Writes {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Writes {
		s.putKey(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.removeKey(key)
	}
	reply(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var l struct {
		TTL string `json:"ttl_time"`
	}
	err := json.NewDecoder(r.Body).Decode(&l)
	ttl, fault := time.ParseDuration(l.TTL)
	if err != nil || fault != nil || ttl < time.Second || ttl > 10*time.Minute {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_time": l.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l == nil {
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	onRenew := s.onRenew
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]string{"ttl_time": fmt.Sprintf("%dms", l.ttl.Milliseconds())})
	for _, key := range keys {
		if onRenew != nil {
			onRenew(key)
		}
	}
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.removeLease(id)
	reply(w, http.StatusOK, map[string]any{})
}

// watchRenewals has f called with the key of each lease that is renewed.
func (s *store) watchRenewals(f func(key string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRenew = f
}
