package owner

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// Spec is what the settings say of one target of the place.
type Spec struct {
	Key       TargetKey
	Address   string
	Allowance int           // its part of the service's limit in the place
	Quota     int           // its part of the place's limit
	Timeout   time.Duration // longest that a request of its service may take
	Drained   bool          // takes no new request
}

// Book holds what one instance knows of its place's roster, and counts the
// slots of the targets that it owns.
type Book struct {
	cfg    Config
	roster Roster // newest known; its version never goes back
	own    Member // own line in roster; zero without one

	lines   map[TargetKey]*line
	order   []*line // all of lines, sorted by key
	owned   []*line // those that this instance owns, sorted by key
	longest time.Duration
	began   bool // specs were set once

	peers    map[string]*peer
	old      map[process]*peer // of ended incarnations that the roster still has a line of
	ended    map[string]ending
	learned  map[Member]time.Time // when a former line was first seen
	unlisted map[Member]time.Time // since when the platform's list has not named a line
	epoch    uint64               // of the platform's store, by its last list
	proves   time.Time            // the list proves nothing before, as the store has lost lines of it

	platformUntil time.Time // tenure by the platform ends here
	refreshAt     time.Time // when a reserve next changes by itself; zero for never
	revision      uint64    // grows when Usable of a target may have changed, tenure aside
	budget        int       // sum of usable quotas of owned lines, tenure confirmed
	half          int       // the same, tenure lapsed
	charged       int       // sum of charges of owned lines
	seq           uint64    // of the last release
	turn          int       // where Pick starts next
}

// ending says that a process, and those before it, had ended by a time.
type ending struct {
	incarnation uint64
	at          time.Time
	listed      bool // concluded from the platform's list alone: a sign of life refutes it
}

// New makes an empty book: it owns nothing before its first roster. A faulty
// cfg gives *ConfigError.
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

// SetSpecs takes the place's targets from the settings. What is lowered holds
// at once; what is raised waits until every instance has had time to lower the
// others and to finish what it had in flight. The first specs hold at once.
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

// line returns the line of a key, and makes it when it is new.
func (b *Book) line(key TargetKey) *line {
	l, ok := b.lines[key]
	if !ok {
		l = &line{key: key}
		b.lines[key] = l
	}
	return l
}

// SetRoster takes a roster read from the platform or passed on by a peer. One
// that is not newer is ignored; false says so.
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
			p.removing = false // a write at the older version can't land any more
		}
		b.newer(now, m.Instance, m.Incarnation)
	}
	b.assign(now)
	return true
}

// noteFormer keeps when each former line was learned of.
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

// assign works out anew who owns which target.
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

// isOwn reports whether a claim is of this very process, which counts for itself.
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

// Revision returns a number that grows when Usable of a target may have changed
// by anything but tenure.
func (b *Book) Revision(now time.Time) uint64 {
	b.catchUp(now)
	return b.revision
}

// skewed returns a length that is at least d on every other clock.
func (b *Book) skewed(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*b.cfg.Skew) + 1
}
