package owner

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// Spec holds the settings of one target of the place.
type Spec struct {
	Key       TargetKey
	Address   string
	Allowance int           // its part of the service's limit in the place
	Quota     int           // its part of the place's limit
	Timeout   time.Duration // longest that a request of its service may take
	Drained   bool          // takes no new request
}

// Table holds one instance's view of its place's roster, and counts the slots of
// the targets that the instance owns.
type Table struct {
	cfg    Config
	roster Roster // newest known; its version never decreases
	own    Member // own entry in roster; zero without one

	targets        map[TargetKey]*target
	sorted         []*target // all targets, sorted by key
	owned          []*target // those that this instance owns, sorted by key
	longestTimeout time.Duration
	hasSpecs       bool // specs have been set

	peers         map[string]*peer
	previous      map[process]*peer // ended incarnations that still have an entry in the roster
	ended         map[string]ending
	firstSeen     map[Member]time.Time // when a previous entry was first observed
	unlistedSince map[Member]time.Time // since when an entry has been missing from the platform's list
	epoch         uint64               // of the platform's store, as of its last list
	listValidFrom time.Time            // the list proves no end before then, as the store has lost entries of it

	platformUntil time.Time // end of the lease that the platform extends
	refreshAt     time.Time // when a reservation next changes by time alone; zero for never
	revision      uint64    // increases when usable slots of a target may have changed, the lease aside
	budget        int       // sum of usable quotas of owned targets while the lease is confirmed
	halfBudget    int       // the same while the lease is expired
	charged       int       // sum of charges of owned targets
	seq           uint64    // of the last release
	nextPick      int       // offset in owned at which Pick starts
}

// ending records that an incarnation, and all before it, had ended by a time.
type ending struct {
	incarnation uint64
	at          time.Time
	listed      bool // concluded from the platform's list alone; any sign of life refutes it
}

// New starts without a roster: the instance owns no targets before SetRoster.
// An invalid cfg gives *ConfigError.
func New(cfg Config) (*Table, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "New")
	}
	return &Table{
		cfg:           cfg,
		targets:       make(map[TargetKey]*target),
		peers:         make(map[string]*peer),
		previous:      make(map[process]*peer),
		ended:         make(map[string]ending),
		firstSeen:     make(map[Member]time.Time),
		unlistedSince: make(map[Member]time.Time),
	}, nil
}

// Roster returns the newest roster known. The caller must not change it.
func (t *Table) Roster() Roster { return t.roster }

// SetSpecs sets the place's targets from the settings. Lowered limits apply at
// once; raised limits wait until every instance has had time to lower the others
// and to finish the requests that it had in flight. The first specs apply at once.
func (t *Table) SetSpecs(now time.Time, specs []Spec) {
	t.longestTimeout = 0
	for _, s := range specs {
		t.longestTimeout = max(t.longestTimeout, s.Timeout)
	}
	raiseAt := now.Add(t.withSkew(t.cfg.Settle + t.longestTimeout))
	if !t.hasSpecs {
		raiseAt = now
	}
	t.hasSpecs = true
	removed := make(map[TargetKey]bool, len(t.targets))
	for key := range t.targets {
		removed[key] = true
	}
	for _, s := range specs {
		delete(removed, s.Key)
		t.target(s.Key).setSpec(s, raiseAt)
	}
	for key := range removed {
		t.targets[key].withdraw()
	}
	t.assign(now)
}

// target returns the state of a target, creating it if there is none.
func (t *Table) target(key TargetKey) *target {
	tgt, ok := t.targets[key]
	if !ok {
		tgt = &target{key: key}
		t.targets[key] = tgt
	}
	return tgt
}

// SetRoster takes a roster read from the platform or received from a peer. It
// ignores a roster that is not newer, and returns false.
func (t *Table) SetRoster(now time.Time, r Roster) bool {
	if r.Version <= t.roster.Version {
		return false
	}
	t.roster = r
	own, ok := r.Member(t.cfg.Self)
	if !ok || own.Incarnation != t.cfg.Incarnation {
		own = Member{}
	}
	t.own = own
	t.prunePrevious()
	t.recordPrevious(now)
	for _, m := range r.Members {
		if p, ok := t.peers[m.Instance]; ok && p.incarnation == m.Incarnation {
			p.removing = false // a write at the older version can no longer take effect
		}
		t.observeIncarnation(now, m.Instance, m.Incarnation)
	}
	t.assign(now)
	return true
}

// recordPrevious records when each previous entry was first observed.
func (t *Table) recordPrevious(now time.Time) {
	old := t.firstSeen
	t.firstSeen = make(map[Member]time.Time, len(t.roster.Previous))
	for _, f := range t.roster.Previous {
		at, ok := old[f.Member]
		if !ok {
			at = now
		}
		t.firstSeen[f.Member] = at
		t.observeIncarnation(now, f.Instance, f.Incarnation)
	}
}

// assign recomputes the owner of every target.
func (t *Table) assign(now time.Time) {
	h := newHistory(t.roster)
	t.sorted, t.owned = t.sorted[:0], t.owned[:0]
	for key, tgt := range t.targets {
		if !tgt.configured && tgt.inFlight == 0 && tgt.charged == 0 {
			delete(t.targets, key)
			continue
		}
		tgt.owner, tgt.previousOwners = h.owners(key)
		tgt.owned = tgt.owner == t.cfg.Self && t.own.Instance != ""
		tgt.previousOwners = slices.DeleteFunc(tgt.previousOwners, t.isOwn)
		t.sorted = append(t.sorted, tgt)
	}
	slices.SortFunc(t.sorted, func(x, y *target) int { return compareKeys(x.key, y.key) })
	for _, tgt := range t.sorted {
		if tgt.owned {
			t.owned = append(t.owned, tgt)
		}
	}
	t.revision++
	t.refresh(now)
}

// isOwn reports whether a previous owner is this process, whose own count applies.
func (t *Table) isOwn(prev previousOwner) bool {
	return prev.Instance == t.cfg.Self && prev.Incarnation == t.cfg.Incarnation
}

// Owner returns the instance that owns a target, "" if none does.
func (t *Table) Owner(key TargetKey) string {
	if tgt, ok := t.targets[key]; ok {
		return tgt.owner
	}
	owner, _ := newHistory(t.roster).owners(key)
	return owner
}

// Owned returns the keys of the targets that this instance owns, sorted.
func (t *Table) Owned() []TargetKey {
	keys := make([]TargetKey, 0, len(t.owned))
	for _, tgt := range t.owned {
		if tgt.configured {
			keys = append(keys, tgt.key)
		}
	}
	return keys
}

// Revision returns a number that increases when the usable slots of a target may
// have changed for a reason other than the ownership lease.
func (t *Table) Revision(now time.Time) uint64 {
	t.advance(now)
	return t.revision
}

// withSkew returns a duration that lasts at least d by every other clock.
func (t *Table) withSkew(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*t.cfg.Skew) + 1
}
