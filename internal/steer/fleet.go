package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/retry"
	"github.com/firlever/firlever/internal/routes"
)

// Fleet holds the targets of all services and decides who gets a request.
type Fleet struct {
	cfg          Config
	region       string // of this instance
	targets      map[string]*target
	byHash       map[uint64]*target // the same, by the hashes of their IDs
	services     map[string]*service
	constraints  map[runKey]*constraints // of runs that have said any, known or gone not long ago
	evacuated    map[string]bool         // by failure domain
	peers        []string                // instances that bounds are divided among, this one among them; sorted
	peerHashes   []uint64                // hashes of peers
	expiredPeers map[string]time.Time    // those of peers whose records are gone: they count until then
	peersVersion int                     // counts the changes of peers
}

// service is what is known of a service as a whole.
type service struct {
	limits        routes.Service
	targets       []*target                // sorted by ID
	meanLatency   time.Duration            // smoothed time of one request's work at any target; 0 before the first
	domainLatency map[string]time.Duration // the same at the targets of a failure domain
	budget        *retry.Window            // additional attempts of this instance
	typicalLoad   float64                  // requests of other instances for each slot of a target, smoothed over reports; 0 or more
	retriesUntil  time.Time                // refused callers were told to come back until then
}

// New makes an empty fleet. It returns a *ConfigError.
func New(cfg Config) (*Fleet, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "steer.New")
	}
	return &Fleet{
		cfg:          cfg,
		region:       cfg.Regions[cfg.Domain],
		targets:      make(map[string]*target),
		byHash:       make(map[uint64]*target),
		services:     make(map[string]*service),
		constraints:  make(map[runKey]*constraints),
		evacuated:    make(map[string]bool),
		expiredPeers: make(map[string]time.Time),
	}, nil
}

// Change is what Put made of a report.
type Change string

// The changes.
const (
	Added     Change = "added"
	Updated   Change = "updated"
	Restarted Change = "restarted" // the target runs anew: all that was known of it is forgotten
	Outdated  Change = "outdated"  // a later report is known: nothing is changed
)

// Put adds a target, or changes what is known of one by its ID. Reports may come late
// and out of their order.
func (f *Fleet) Put(now time.Time, t Target) Change {
	change := Added
	if old, ok := f.targets[t.ID]; ok {
		switch {
		case t.olderThan(&old.Target):
			return Outdated
		case old.Service == t.Service && old.Started.Equal(t.Started):
			old.Target = t
			return Updated
		}
		change = Restarted
		f.Remove(t.ID)
	}
	s := f.service(now, t.Service)
	n := newTarget(now, t, s, f.cfg.Regions[t.Domain])
	n.constraints = f.constraints[runKeyOf(&t)]
	f.targets[t.ID], f.byHash[n.idHash] = n, n
	i, _ := slices.BinarySearchFunc(s.targets, t.ID, compareID)
	s.targets = slices.Insert(s.targets, i, n)
	return change
}

// Remove forgets a target that is gone.
func (f *Fleet) Remove(id string) {
	t, ok := f.targets[id]
	if !ok {
		return
	}
	delete(f.targets, id)
	delete(f.byHash, t.idHash)
	s := f.services[t.Service]
	if i, found := slices.BinarySearchFunc(s.targets, id, compareID); found {
		s.targets = slices.Delete(s.targets, i, i+1)
	}
}

// Target returns what is known of a target: what it has registered, and whether it leaves by
// its answers.
func (f *Fleet) Target(id string) (Target, bool) {
	t, ok := f.targets[id]
	if !ok {
		return Target{}, false
	}
	registered := t.Target
	registered.Leaving = t.isLeaving()
	return registered, true
}

// Limit sets what the configuration says of the services.
func (f *Fleet) Limit(now time.Time, services map[string]routes.Service) {
	for name, limits := range services {
		f.service(now, name).limits = limits
	}
}

// Evacuate takes the failure domains whose targets get nothing. Targets of one
// that is taken back may have gone cold unseen: they count as cold for a while.
func (f *Fleet) Evacuate(now time.Time, domains []string) {
	next := make(map[string]bool, len(domains))
	for _, d := range domains {
		next[d] = true
	}
	for _, t := range f.targets {
		if f.evacuated[t.Domain] && !next[t.Domain] {
			t.WarmAt = later(t.WarmAt, now.Add(f.services[t.Service].limits.Warmup))
		}
	}
	f.evacuated = next
}

// Evacuated says whether targets of a failure domain get nothing.
func (f *Fleet) Evacuated(domain string) bool { return f.evacuated[domain] }

// Bound takes new bounds. It returns a *ConfigError, and then changes nothing.
func (f *Fleet) Bound(now time.Time, b Bounds) error {
	b.Defaults()
	if faults := b.faults(); faults != nil {
		return errors.Trace(&ConfigError{Faults: faults})
	}
	if b == f.cfg.Bounds {
		return nil
	}
	f.cfg.Bounds = b
	for _, s := range f.services {
		s.budget = f.newBudget(now)
	}
	return nil
}

// Targets returns how many targets a service has, and how many of them may get
// requests now.
func (f *Fleet) Targets(now time.Time, name string) (all, usable int) {
	s, ok := f.services[name]
	if !ok {
		return 0, 0
	}
	for _, t := range s.targets {
		if f.available(t) && !t.ejected(now) && !t.backingOff(now) {
			usable++
		}
	}
	return len(s.targets), usable
}

// service returns a service, made when it is first heard of.
func (f *Fleet) service(now time.Time, name string) *service {
	s, ok := f.services[name]
	if !ok {
		s = &service{
			limits: routes.Service{Name: name}, budget: f.newBudget(now),
			domainLatency: make(map[string]time.Duration),
		}
		f.services[name] = s
	}
	return s
}

// available says whether a target may get requests at all.
func (f *Fleet) available(t *target) bool { return !t.isLeaving() && !f.evacuated[t.Domain] }

func compareID(t *target, id string) int { return cmp.Compare(t.ID, id) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hash spreads a key over 64 bits.
func hash(key string) uint64 { return xxhash.Sum64String(key) }

// mix is the rendezvous weight of a key at a target or instance, by their hashes.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15) // odd multiplier of the golden ratio; the rest is the finalizer of splitmix64
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
