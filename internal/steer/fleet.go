package steer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/admission"
	"github.com/firlever/firlever/internal/placement"
	"github.com/firlever/firlever/internal/reservation"
	"github.com/firlever/firlever/internal/retry"
	"github.com/firlever/firlever/internal/routes"
	"github.com/firlever/firlever/internal/workingset"
)

// Fleet holds the targets of all services and selects one for each request.
type Fleet struct {
	cfg          Config
	region       string            // of this instance
	regionNames  []string          // of all regions; sorted
	counts       *placement.Counts // requests for objects that others have not been told of
	moves        placement.Budget  // of objects between regions
	targets      map[string]*target
	byHash       map[uint64]*target // same targets by the hashes of their IDs
	services     map[string]*service
	reporting    []*target               // targets that reported their load to this instance since its last reports
	oftenUntil   time.Time               // reports are exchanged more often until then
	nextSlowdown time.Time               // when the rate limit allows the next slowdown to be told; may be in the past
	constraints  map[runKey]*constraints // of runs that sent any; kept for noticeTTL after the run is removed
	evacuated    map[string]bool         // by failure domain
	paths        map[string]*path        // by failure domain
	peers        []string                // instances that bounds are divided among, including this one; sorted
	peerHashes   []uint64                // hashes of peers
	expiredPeers map[string]time.Time    // peers whose records were removed, with the time until which they count
	peersVersion int                     // incremented with each change of peers
	sharesFrom   time.Time               // this instance has no share of the slack and of bounds on cold targets before; zero until it is known
	countedUntil time.Time               // the others count this instance until then
	part         float64                 // of bounds that is divided among instances like this one: dividedShare or uncountedShare
	probeRounds  uint64                  // calls of ProbeTargets
	keptRound    int                     // calls of KeptReports
}

// service is the state of one service.
type service struct {
	limits        routes.Service
	targets       []*target                // sorted by the hashes of their IDs
	meanLatency   time.Duration            // running mean of the latency of one request over all targets; 0 before the first sample
	domainLatency map[string]time.Duration // meanLatency by failure domain of the targets
	meanRoundTrip time.Duration            // running mean of the round-trip time to the targets of the same samples; 0 if not known
	budget        *retry.Window            // additional attempts allowed to this instance
	retries       *retry.Demand            // divides budget among the requests
	returns       *reservation.Schedule    // of callers that were refused for lack of capacity
	served        reservation.Meter        // requests of this instance that were answered
	reportsLoad   bool                     // some target has reported its load to this instance
	typicalLoad   float64                  // running mean of other instances' requests per slot of a target, from load reports; 0 or more
	slowdowns     *slowdownStats           // nil until a target of the service reports a slowdown
	split         *versionSplit            // nil if no rollout was ordered
	nameHash      uint64                   // hash of the name
	warmLatency   time.Duration            // estimated duration of warm work; 0 before the first sample
	objectLatency time.Duration            // running mean of the latency of requests for objects that found a free slot
	plan          *placement.Plan          // of the objects' homes
	level         admission.Level          // of requests that are admitted
	reportedAt    time.Time                // when a target last reported its load to this instance; zero before the first
	lowLatency    time.Duration            // low quantile of the latency of one request; 0 before the first sample
	retriesUntil  time.Time                // latest time at which a refused caller was asked to retry

	learner         *workingset.Learner // nil until a request names an object
	sampledOutdated bool                // the learner doesn't know the targets
	fit             workingset.Plan     // how many homes objects may have, from what targets keep
}

// New returns an empty fleet, or a *ConfigError if cfg is invalid.
func New(cfg Config) (*Fleet, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "steer.New")
	}
	f := &Fleet{
		cfg:          cfg,
		region:       cfg.Regions[cfg.Domain],
		targets:      make(map[string]*target),
		byHash:       make(map[uint64]*target),
		services:     make(map[string]*service),
		constraints:  make(map[runKey]*constraints),
		counts:       placement.NewCounts(),
		evacuated:    make(map[string]bool),
		paths:        make(map[string]*path),
		expiredPeers: make(map[string]time.Time),
	}
	f.regionNames = slices.Compact(slices.Sorted(maps.Values(cfg.Regions)))
	f.updatePart(cfg.Started)
	return f, nil
}

// PutResult is the effect of Put.
type PutResult string

// Effects of Put.
const (
	Added     PutResult = "added"
	Updated   PutResult = "updated"
	Restarted PutResult = "restarted" // the target runs anew; the state of its previous run was dropped
	Outdated  PutResult = "outdated"  // a later registration is stored; nothing was changed
)

// Put adds a target, or updates the one with the same ID. Registrations may arrive late and out
// of order.
func (f *Fleet) Put(now time.Time, t Target) PutResult {
	change := Added
	if old, ok := f.targets[t.ID]; ok {
		switch {
		case t.olderThan(&old.Target):
			return Outdated
		case old.Service == t.Service && old.Started.Equal(t.Started):
			old.Target = t
			old.service.markOutdated()
			return Updated
		}
		change = Restarted
		f.Remove(t.ID)
	}
	s := f.service(now, t.Service)
	n := newTarget(now, t, s, f.cfg.Regions[t.Domain])
	n.path = f.pathTo(t.Domain)
	n.constraints = f.constraints[runKeyOf(&t)]
	f.targets[t.ID], f.byHash[n.idHash] = n, n
	i, _ := slices.BinarySearchFunc(s.targets, n, compareHash)
	s.targets = slices.Insert(s.targets, i, n)
	s.markOutdated()
	return change
}

// maxWarmAtDrift is by how much the end of a target's warm-up may differ between two registrations
// that say the same: they take different times to arrive.
const maxWarmAtDrift = 500 * time.Millisecond

// Redundant reports whether a registration says nothing new. A target writes one with each heartbeat
// while it is cold, as the time that is left decreases.
func (f *Fleet) Redundant(now time.Time, t Target) bool {
	known, ok := f.targets[t.ID]
	if !ok || t.olderThan(&known.Target) {
		return false
	}
	old := known.Target
	drift := later(old.WarmAt, now).Sub(later(t.WarmAt, now)).Abs()
	old.Sequence, old.WarmAt, old.Started = t.Sequence, t.WarmAt, old.Started.UTC()
	t.Started = t.Started.UTC()
	return old == t && drift <= maxWarmAtDrift
}

// Remove drops a target that was removed or has departed.
func (f *Fleet) Remove(id string) {
	t, ok := f.targets[id]
	if !ok {
		return
	}
	delete(f.targets, id)
	delete(f.byHash, t.idHash)
	s := f.services[t.Service]
	if i, found := slices.BinarySearchFunc(s.targets, t, compareHash); found {
		s.targets = slices.Delete(s.targets, i, i+1)
	}
	s.markOutdated()
}

// Target returns the registration of a target. Leaving is also set if the target announced in its
// answers that it is leaving.
func (f *Fleet) Target(id string) (Target, bool) {
	t, ok := f.targets[id]
	if !ok {
		return Target{}, false
	}
	registered := t.Target
	registered.Leaving = t.isLeaving()
	return registered, true
}

// SetServices sets the configuration of the given services.
func (f *Fleet) SetServices(now time.Time, services map[string]routes.Service) {
	for name, limits := range services {
		f.service(now, name).limits = limits
	}
}

// Evacuate sets the failure domains whose targets get no requests. The caches of targets in a
// domain that is reinstated may have gone cold meanwhile, so those targets count as cold for the
// warm-up time.
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
	for _, s := range f.services {
		s.markOutdated()
	}
}

// Evacuated reports whether the targets of a failure domain get no requests.
func (f *Fleet) Evacuated(domain string) bool { return f.evacuated[domain] }

// SetBounds sets new bounds. If they are invalid, it returns a *ConfigError and changes nothing.
func (f *Fleet) SetBounds(now time.Time, b Bounds) error {
	b.Defaults()
	if faults := b.faults(); faults != nil {
		return errors.Trace(&ConfigError{Faults: faults})
	}
	if b == f.cfg.Bounds {
		return nil
	}
	newWindow := b.RetryWindow != f.cfg.RetryWindow
	f.cfg.Bounds = b
	if newWindow && f.sharesStarted() {
		f.sharesFrom = later(f.sharesFrom, now) // the retries that were made are forgotten, and their slack
	}
	for _, s := range f.services {
		if newWindow {
			s.budget, s.retries = f.newBudget(now), retry.NewDemand(now, f.budgetSpan())
			continue
		}
		s.budget.SetShare(f.retryShare())
	}
	f.updateSlack()
	return nil
}

// Len returns the number of targets.
func (f *Fleet) Len() int { return len(f.targets) }

// CountTargets returns the number of targets of a service, and how many of them may get requests now.
func (f *Fleet) CountTargets(now time.Time, name string) (all, usable int) {
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

// service returns the state of a service, and creates it at the first use.
func (f *Fleet) service(now time.Time, name string) *service {
	s, ok := f.services[name]
	if !ok {
		s = &service{
			limits: routes.Service{Name: name}, budget: f.newBudget(now), retries: retry.NewDemand(now, f.budgetSpan()),
			returns: reservation.NewSchedule(f.phase(name)), domainLatency: make(map[string]time.Duration),
			nameHash: hash(name), plan: placement.NewPlan(),
		}
		f.services[name] = s
	}
	return s
}

// phase returns a number from 0 to 1 that differs between instances.
func (f *Fleet) phase(service string) float64 {
	return float64(mix(hash(service), hash(f.cfg.Instance))) / math.MaxUint64
}

// available reports whether a target is neither leaving nor evacuated.
func (f *Fleet) available(t *target) bool { return !t.isLeaving() && !f.evacuated[t.Domain] }

func compareHash(a, b *target) int {
	return cmp.Or(cmp.Compare(a.idHash, b.idHash), cmp.Compare(a.ID, b.ID))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hash maps a key to 64 uniformly distributed bits.
func hash(key string) uint64 { return xxhash.Sum64String(key) }

// mix returns the rendezvous weight of a key at a target or instance from their two hashes.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15) // odd multiplier from the golden ratio; the remainder is the finalizer of splitmix64
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
