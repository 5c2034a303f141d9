package store

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.seen(r)[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]uint64{"as_of": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{it, s.revision})
}

// seen is what a read sees: all, or what is old enough for a stale one. s.mu is held.
func (s *Store) seen(r *http.Request) map[string]item {
	if !stale(r) {
		return s.items
	}
	s.settle(time.Now())
	return s.stale
}

func stale(r *http.Request) bool { return r.URL.Query().Get("stale_ok") == "1" }

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	items := []item{}
	for key, it := range s.seen(r) {
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
// history that it asks for is dropped or the store fails.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	over := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer over.Stop()
	for {
		s.mu.Lock()
		events, gone := s.since(q.Get("prefix"), after)
		revision, changed, f, era := s.revision, s.changed, s.failing(time.Now()), s.Era()
		s.mu.Unlock()
		setEra(w, era)
		switch {
		case f.Silent:
			s.ignore(r)
			return
		case f.Refuse:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 && !f.Deaf:
			reply(w, http.StatusOK, watchAnswer{events, revision})
			return
		}
		select {
		case <-changed:
		case <-over.C:
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
	return events, after < s.oldest || after > s.revision
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) // an answer that can't be written has no reader left
}
