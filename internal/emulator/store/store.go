// Package store is a stand-in of the platform's metadata store, for tests and
// trials: keys with revisions, ranges in pages, watches with a bounded history,
// transactions, leases, rates, and the faults that the real one has. It keeps
// everything in memory.
package store

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"
)

const (
	pageSize = 50 // of a range, as the platform's pages have
	// historyLen is how many changes are kept for watches.
	historyLen = 1000
)

// Store is the stand-in. It is an http.Handler and an http.RoundTripper, and safe
// for concurrent use.
type Store struct {
	cfg    Config
	router http.Handler
	writes *rate.Limiter // nil: any number
	reads  *rate.Limiter // nil: any number; in readPrice
	stop   chan struct{}

	era atomic.Uint64 // one, and how often the store has come back from a copy; written with mu held

	mu         sync.Mutex
	rng        *rand.Rand        // guarded by mu
	revision   uint64            // of the last change; guarded by mu
	items      map[string]item   // guarded by mu
	history    []item            // changes by revision, at most historyLen; guarded by mu
	oldest     uint64            // changes up to here are forgotten; guarded by mu
	staleItems map[string]item   // what stale reads see; guarded by mu
	staleQueue []change          // that stale reads don't see yet, in their order; guarded by mu
	leases     map[uint64]*lease // guarded by mu
	faults     Faults            // guarded by mu
	changed    chan struct{}     // closed at each change; guarded by mu
	calls      map[string]int    // by path; guarded by mu

	externalWrites        []externalWrite // the last writes from outside, at most maxOutside; guarded by mu
	droppedExternalWrites int             // of those, that are not kept any more; guarded by mu
	lostWrites            []externalWrite // writes from outside that the store has lost; guarded by mu
}

type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          uint64 `json:"lease,omitempty"`
	Removed        bool   `json:"removed,omitempty"`
}

// change is an item that was written or removed at a time.
type change struct {
	item
	at time.Time
}

// New makes an empty store without rates or lag. Close ends it.
func New() *Store {
	s, err := NewStore(Config{Writes: math.Inf(1), Reads: math.Inf(1)})
	if err != nil {
		panic(err) // this Config is valid
	}
	return s
}

// NewStore makes an empty store. Close ends it. It returns a *ConfigError.
func NewStore(cfg Config) (*Store, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	s := &Store{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), stop: make(chan struct{}),
		items: make(map[string]item), staleItems: make(map[string]item), leases: make(map[uint64]*lease),
		calls: make(map[string]int), changed: make(chan struct{}),
		writes: newLimiter(cfg.Writes), reads: newLimiter(readCost * cfg.Reads),
	}
	s.era.Store(1)
	r := chi.NewRouter()
	r.Get("/kv-key", s.getKey)
	r.Get("/kv-range", s.list)
	r.Get("/kv-watch", s.watch)
	r.Post("/kv-txn", s.txn)
	r.Post("/kv-lease", s.grantLease)
	r.Post("/kv-keep/{id}", s.renewLease)
	r.Delete("/kv-lease-end/{id}", s.revokeLease)
	s.router = r
	return s, nil
}

// Close stops the store.
func (s *Store) Close() {
	close(s.stop)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}

// Put writes a key as the operator or a target does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(externalWrite{key: key, value: value})
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(externalWrite{key: key, deleted: true})
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
	s.notifyWatches()
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
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

func (s *Store) record(it item) {
	s.history = append(s.history, it)
	if len(s.history) > historyLen {
		s.oldest = s.history[0].Revision
		s.history = s.history[1:]
	}
	s.advanceStale(time.Now())
	s.staleQueue = append(s.staleQueue, change{item: it, at: time.Now()})
	s.notifyWatches()
}

// advanceStale lets stale reads see what is as old as their lag.
func (s *Store) advanceStale(now time.Time) {
	for len(s.staleQueue) > 0 && !now.Before(s.staleQueue[0].at.Add(s.cfg.Lag)) {
		it := s.staleQueue[0].item
		if it.Removed {
			delete(s.staleItems, it.Key)
		} else {
			s.staleItems[it.Key] = it
		}
		s.staleQueue = s.staleQueue[1:]
	}
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
