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

// Book holds one instance's view of its place's roster, and counts the slots of
// the targets that the instance owns.
type Book struct {
	cfg    Config
	roster Roster // newest known; its version never decreases
	own    Member // own entry in roster; zero without one

	lines   map[TargetKey]*line
	order   []*line // all targets, sorted by key
	owned   []*line // those that this instance owns, sorted by key
	longest time.Duration
	began   bool // specs have been set

	peers    map[string]*peer
	old      map[process]*peer // ended incarnations that still have an entry in the roster
	ended    map[string]ending
	learned  map[Member]time.Time // when a previous entry was first observed
	unlisted map[Member]time.Time // since when an entry has been missing from the platform's list
	epoch    uint64               // of the platform's store, as of its last list
	proves   time.Time            // the list proves no end before then, as the store has lost entries of it

	platformUntil time.Time // end of the lease that the platform extends
	refreshAt     time.Time // when a reservation next changes by time alone; zero for never
	revision      uint64    // increases when usable slots of a target may have changed, the lease aside
	budget        int       // sum of usable quotas of owned targets while the lease is confirmed
	half          int       // the same while the lease is expired
	charged       int       // sum of charges of owned targets
	seq           uint64    // of the last release
	turn          int       // offset in owned at which Pick starts
}

// ending records that an incarnation, and all before it, had ended by a time.
type ending struct {
	incarnation uint64
	at          time.Time
	listed      bool // concluded from the platform's list alone; any sign of life refutes it
}

// New starts without a roster: the instance owns no targets before SetRoster.
// An invalid cfg gives *ConfigError.
func New(cfg Config) (*Book, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "New")
	}
	return &Book{
		cfg:      cfg,
		lines:    make(map[TargetKey]*line),
		peers:    make(map[string]*peer),
		old:      make(map[process]*peer),
		ended:    make(map[string]ending),
		learned:  make(map[Member]time.Time),
		unlisted: make(map[Member]time.Time),
	}, nil
}

// Roster returns the newest roster known. The caller must not change it.
func (b *Book) Roster() Roster { return b.roster }

// SetSpecs sets the place's targets from the settings. Lowered limits apply at
// once; raised limits wait until every instance has had time to lower the others
// and to finish the requests that it had in flight. The first specs apply at once.
func (b *Book) SetSpecs(now time.Time, specs []Spec) {
	b.longest = 0
	for _, s := range specs {
		b.longest = max(b.longest, s.Timeout)
	}
	settled := now.Add(b.skewed(b.cfg.Settle + b.longest))
	if !b.began {
		settled = now
	}
	b.began = true
	gone := make(map[TargetKey]bool, len(b.lines))
	for key := range b.lines {
		gone[key] = true
	}
	for _, s := range specs {
		delete(gone, s.Key)
		b.line(s.Key).adopt(s, settled)
	}
	for key := range gone {
		b.lines[key].withdraw()
	}
	b.assign(now)
}

// target returns the state of a target, creating it if there is none.
func (b *Book) line(key TargetKey) *line {
	l, ok := b.lines[key]
	if !ok {
		l = &line{key: key}
		b.lines[key] = l
	}
	return l
}

// SetRoster takes a roster read from the platform or received from a peer. It
// ignores a roster that is not newer, and returns false.
func (b *Book) SetRoster(now time.Time, r Roster) bool {
	if r.Version <= b.roster.Version {
		return false
	}
	b.roster = r
	own, ok := r.Member(b.cfg.Self)
	if !ok || own.Incarnation != b.cfg.Incarnation {
		own = Member{}
	}
	b.own = own
	b.forgetOld()
	b.noteFormer(now)
	for _, m := range r.Members {
		if p, ok := b.peers[m.Instance]; ok && p.incarnation == m.Incarnation {
			p.removing = false // a write at the older version can no longer take effect
		}
		b.newer(now, m.Instance, m.Incarnation)
	}
	b.assign(now)
	return true
}

// recordPrevious records when each previous entry was first observed.
func (b *Book) noteFormer(now time.Time) {
	old := b.learned
	b.learned = make(map[Member]time.Time, len(b.roster.Former))
	for _, f := range b.roster.Former {
		at, ok := old[f.Member]
		if !ok {
			at = now
		}
		b.learned[f.Member] = at
		b.newer(now, f.Instance, f.Incarnation)
	}
}

// assign recomputes the owner of every target.
func (b *Book) assign(now time.Time) {
	h := newHistory(b.roster)
	b.order, b.owned = b.order[:0], b.owned[:0]
	for key, l := range b.lines {
		if !l.listed && l.inFlight == 0 && l.charged == 0 {
			delete(b.lines, key)
			continue
		}
		l.owner, l.claims = h.owners(key)
		l.mine = l.owner == b.cfg.Self && b.own.Instance != ""
		l.claims = slices.DeleteFunc(l.claims, b.isOwn)
		b.order = append(b.order, l)
	}
	slices.SortFunc(b.order, func(x, y *line) int { return compareKeys(x.key, y.key) })
	for _, l := range b.order {
		if l.mine {
			b.owned = append(b.owned, l)
		}
	}
	b.revision++
	b.refresh(now)
}

// isOwn reports whether a previous owner is this process, whose own count applies.
func (b *Book) isOwn(c claim) bool {
	return c.Instance == b.cfg.Self && c.Incarnation == b.cfg.Incarnation
}

// Owner returns the instance that owns a target, "" if none does.
func (b *Book) Owner(key TargetKey) string {
	if l, ok := b.lines[key]; ok {
		return l.owner
	}
	owner, _ := newHistory(b.roster).owners(key)
	return owner
}

// Owned returns the keys of the targets that this instance owns, sorted.
func (b *Book) Owned() []TargetKey {
	keys := make([]TargetKey, 0, len(b.owned))
	for _, l := range b.owned {
		if l.listed {
			keys = append(keys, l.key)
		}
	}
	return keys
}

// Revision returns a number that increases when the usable slots of a target may
// have changed for a reason other than the ownership lease.
func (b *Book) Revision(now time.Time) uint64 {
	b.catchUp(now)
	return b.revision
}

// withSkew returns a duration that lasts at least d by every other clock.
func (b *Book) skewed(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*b.cfg.Skew) + 1
}
