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

func (s *Store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.visibleItems(r)[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]uint64{"as_of": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{it, s.revision})
}

// visibleItems returns the items for a read: the current ones, or those of Config.Lag ago for
// a stale read. s.mu is held.
func (s *Store) visibleItems(r *http.Request) map[string]item {
	if !isStaleRead(r) {
		return s.items
	}
	s.advanceStale(time.Now())
	return s.staleItems
}

func isStaleRead(r *http.Request) bool { return r.URL.Query().Get("stale_ok") == "1" }

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	items := []item{}
	for key, it := range s.visibleItems(r) {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	reply(w, http.StatusOK, struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		AsOf    uint64 `json:"as_of"`
	}{items[:min(len(items), pageSize)], more, s.revision})
}

// watch answers when there are changes, when its wait time is over, when the requested history
// has been dropped, or when a fault begins.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events, gone := s.changesSince(q.Get("prefix"), after)
		revision, changed, f, era := s.revision, s.changed, s.activeFaults(time.Now()), s.Era()
		s.mu.Unlock()
		setEra(w, era)
		switch {
		case f.Silent:
			s.withholdAnswer(r)
			return
		case f.Refuse:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 && !f.SuppressEvents:
			reply(w, http.StatusOK, watchAnswer{events, revision})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
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

func (s *Store) changesSince(prefix string, after uint64) (events []item, gone bool) {
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
	json.NewEncoder(w).Encode(body) // a write fails only if the caller has left
}
