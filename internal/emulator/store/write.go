package store

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
)

type txnBody struct {
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

// txn applies a whole transaction or nothing of it.
func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	conflict := false
	for _, e := range body.Expected {
		it := s.items[e.Key]
		it.Key = e.Key
		items = append(items, it)
		conflict = conflict || it.Revision != e.Revision
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string][]item{"items": items})
		return
	}
	for _, put := range body.Writes {
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, put := range body.Writes {
		s.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL string `json:"ttl_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil || ttl <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.startLease(s.revision, ttl)
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_time": body.TTL})
}

func (s *Store) renewLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := leaseID(r)
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.run(l.ttl)
	reply(w, http.StatusOK, map[string]string{"ttl_time": l.ttl.String()})
}

func (s *Store) revokeLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := leaseID(r)
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}

func leaseID(r *http.Request) uint64 {
	id, err := strconv.ParseUint(chi.URLParam(r, "id"), 10, 64)
	if err != nil {
		return 0 // no lease has this ID
	}
	return id
}

// lease is a lease that has not ended.
type lease struct {
	ttl   time.Duration
	end   time.Time
	timer *time.Timer // ends it

	left time.Duration // when it was last paused
}

// run lets the lease end after a time.
func (l *lease) run(left time.Duration) {
	l.end = time.Now().Add(left)
	l.timer.Reset(left)
}

// startLease adds a lease and starts its timer. s.mu is held.
func (s *Store) startLease(id uint64, ttl time.Duration) {
	l := &lease{ttl: ttl, end: time.Now().Add(ttl)}
	l.timer = time.AfterFunc(ttl, func() { s.expireLease(id, l) })
	s.leases[id] = l
}

// endLease ends a lease and removes its keys. s.mu is held.
func (s *Store) endLease(id uint64) {
	if l, ok := s.leases[id]; ok {
		l.timer.Stop()
	}
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// expireLease ends a lease whose TTL is over, unless its ID has been assigned to another lease
// after a restore.
func (s *Store) expireLease(id uint64, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == l {
		s.endLease(id)
	}
}

// pauseLeases stops all leases, or lets them run with the time that they had left. s.mu is held.
func (s *Store) pauseLeases(pause bool) {
	now := time.Now()
	for _, l := range s.leases {
		if pause {
			l.timer.Stop()
			l.left = l.end.Sub(now)
		} else {
			l.run(l.left)
		}
	}
}

// RevokeLeases ends all leases at once and removes their keys.
func (s *Store) RevokeLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}
