package store

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// headerEra carries the store's era in each answer: one plus the number of restores.
const headerEra = "Store-Era"

// maxExternalWrites bounds the writes of operators and targets that are kept to be made again
// after a restore.
const maxExternalWrites = 10_000

// externalWrite is a write or removal by an operator or a target. They make it again if a
// restore of the store lost it.
type externalWrite struct {
	key     string
	value   []byte
	removed bool
}

// Snapshot is a snapshot of the store's content.
type Snapshot struct {
	revision       uint64
	oldest         uint64
	items          map[string]item
	history        []item
	leases         map[uint64]time.Duration // TTL by ID
	externalWrites int                      // number made before the snapshot
}

// TakeSnapshot takes a snapshot from which the store can be restored later.
func (s *Store) TakeSnapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Snapshot{
		revision: s.revision, oldest: s.oldest, items: maps.Clone(s.items), history: slices.Clone(s.history),
		leases: make(map[uint64]time.Duration, len(s.leases)), externalWrites: s.droppedExternalWrites + len(s.externalWrites),
	}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// RestoreSnapshot restores the store from a snapshot of its own: later writes are lost, and revisions
// and lease IDs are assigned again. Leases of the snapshot start their TTL anew. The lost
// writes of operators and targets are kept, to be made again later.
func (s *Store) RestoreSnapshot(c *Snapshot) {
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

// RedoExternalWrites makes the lost external writes again, only the last one of each key. It stands for
// the operators and targets, which repeat their writes after a restore.
func (s *Store) RedoExternalWrites() {
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

// Era returns one plus the number of restores.
func (s *Store) Era() uint64 { return s.era.Load() }

// write applies an external write and records it. It replaces lost writes of the same key,
// which aren't made again after a newer one. s.mu is held.
func (s *Store) write(w externalWrite) {
	s.lostWrites = slices.DeleteFunc(s.lostWrites, func(o externalWrite) bool { return o.key == w.key })
	s.externalWrites = append(s.externalWrites, w)
	if over := len(s.externalWrites) - maxExternalWrites; over > 0 {
		s.droppedExternalWrites += over
		s.externalWrites = slices.Clone(s.externalWrites[over:])
	}
	if w.removed {
		s.remove(w.key)
		return
	}
	s.put(w.key, w.value, 0)
}

// eraWriter adds the era to an answer, unless the handler has set it.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

// WriteHeader writes the status and headers, with the era.
func (w eraWriter) WriteHeader(status int) {
	if w.Header().Get(headerEra) == "" {
		setEra(w, w.store.Era())
	}
	w.ResponseWriter.WriteHeader(status)
}

func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set(headerEra, strconv.FormatUint(era, 10))
}
