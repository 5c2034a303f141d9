// Package store emulates the platform's metadata store for tests and trials: keys with
// revisions, paginated ranges, watches with a bounded history, transactions, leases, rate
// limits, and the faults of the real store. It keeps everything in memory.
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
	// historyLen is the number of changes that are kept for watches.
	historyLen = 1000
)

// Store is an emulated metadata store. It is an http.Handler and an http.RoundTripper, and
// safe for concurrent use.
type Store struct {
	cfg    Config
	router http.Handler
	writes *rate.Limiter // nil: no limit
	reads  *rate.Limiter // nil: no limit; a read takes readCost tokens
	stop   chan struct{}

	era atomic.Uint64 // one plus the number of restores; written with mu held

	mu         sync.Mutex
	rng        *rand.Rand        // guarded by mu
	revision   uint64            // of the last change; guarded by mu
	items      map[string]item   // guarded by mu
	history    []item            // changes by revision, at most historyLen; guarded by mu
	oldest     uint64            // revision up to which changes have been dropped from history; guarded by mu
	staleItems map[string]item   // content that stale reads return; guarded by mu
	staleQueue []change          // changes not yet in staleItems, oldest first; guarded by mu
	leases     map[uint64]*lease // guarded by mu
	faults     Faults            // guarded by mu
	changed    chan struct{}     // closed and replaced at each change; guarded by mu
	calls      map[string]int    // number by path; guarded by mu

	externalWrites        []externalWrite // latest writes of operators and targets, at most maxExternalWrites; guarded by mu
	droppedExternalWrites int             // number of earlier ones that are no longer kept; guarded by mu
	lostWrites            []externalWrite // external writes lost by restores and not made again; guarded by mu
}

type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          uint64 `json:"lease,omitempty"`
	Removed        bool   `json:"removed,omitempty"`
}

// change is the write or removal of an item, with its time.
type change struct {
	item
	at time.Time
}

// New returns an empty store without rate limits or lag, to be closed with Close.
func New() *Store {
	s, err := NewStore(Config{Writes: math.Inf(1), Reads: math.Inf(1)})
	if err != nil {
		panic(err) // this Config is valid
	}
	return s
}

// NewStore returns an empty store, to be closed with Close. It returns a *ConfigError if cfg is
// invalid.
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

// Close stops the lease timers and ends the watches that are waiting.
func (s *Store) Close() {
	close(s.stop)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}

// Put writes a key as an operator or target does: an external write.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(externalWrite{key: key, value: value})
}

// Remove removes a key as an operator or target does: an external write.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(externalWrite{key: key, removed: true})
}

// Get returns the value of a key, or nil.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// DropHistory drops the history: watches from an earlier revision are answered 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
	s.notifyWatches()
}

// Calls returns the number of calls of a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// put writes a key. s.mu is held, as in the functions below.
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

// advanceStale applies the changes to staleItems that are at least Config.Lag old.
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
