package store

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// headerEra counts in each answer how often the store has come back from a copy.
const headerEra = "Store-Era"

// maxExternalWrites bounds the writes of operators and targets that are kept to be written again.
const maxExternalWrites = 10_000

// externalWrite is a write or a removal by an operator or a target, who makes it again when the
// store has lost it.
type externalWrite struct {
	key     string
	value   []byte
	deleted bool
}

// Copy is what the store held at one moment.
type Copy struct {
	revision       uint64
	oldest         uint64
	items          map[string]item
	history        []item
	leases         map[uint64]time.Duration // how long each lasts, by its ID
	externalWrites int                      // writes from outside until then
}

// Copy takes a copy, to come back from it later.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{
		revision: s.revision, oldest: s.oldest, items: maps.Clone(s.items), history: slices.Clone(s.history),
		leases: make(map[uint64]time.Duration, len(s.leases)), externalWrites: s.droppedExternalWrites + len(s.externalWrites),
	}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// GoBack lets the store come back from a copy of its own: what was written since is gone,
// and revisions and IDs of leases are given out again. Leases of the copy last their time
// from now on. What operators and targets wrote since is written again by Rewrite.
func (s *Store) GoBack(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.era.Add(1)
	s.revision, s.oldest = c.revision, c.oldest
	s.items, s.staleItems, s.staleQueue = maps.Clone(c.items), maps.Clone(c.items), nil
	s.history = slices.Clone(c.history)
	s.leases = make(map[uint64]*lease, len(c.leases))
	for id, ttl := range c.leases {
		s.startLease(id, ttl)
	}
	s.lostWrites = append(s.lostWrites, s.externalWrites[max(0, c.externalWrites-s.droppedExternalWrites):]...)
	s.notifyWatches()
}

// Rewrite writes again what operators and targets wrote and the store has lost, the last of
// each key.
func (s *Store) Rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.lostWrites
	s.lostWrites = nil
	lastIndex := make(map[string]int, len(lost))
	for i, w := range lost {
		lastIndex[w.key] = i
	}
	for i, w := range lost {
		if lastIndex[w.key] == i {
			s.write(w)
		}
	}
}

// Era returns how often the store has come back from a copy, and one.
func (s *Store) Era() uint64 { return s.era.Load() }

// write makes a write from outside. Whoever writes a key anew writes nothing older of it
// again. s.mu is held.
func (s *Store) write(w externalWrite) {
	s.lostWrites = slices.DeleteFunc(s.lostWrites, func(o externalWrite) bool { return o.key == w.key })
	s.externalWrites = append(s.externalWrites, w)
	if over := len(s.externalWrites) - maxExternalWrites; over > 0 {
		s.droppedExternalWrites += over
		s.externalWrites = slices.Clone(s.externalWrites[over:])
	}
	if w.deleted {
		s.remove(w.key)
		return
	}
	s.put(w.key, w.value, 0)
}

// eraWriter names the era in an answer, unless the handler has.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

// WriteHeader begins the answer.
func (w eraWriter) WriteHeader(status int) {
	if w.Header().Get(headerEra) == "" {
		setEra(w, w.store.Era())
	}
	w.ResponseWriter.WriteHeader(status)
}

func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set(headerEra, strconv.FormatUint(era, 10))
}
