// Package grant tracks the grants that an owner of targets has issued to other
// places, and those that a sender has received.
//
// A grant is a number of requests that a sender may hand off until a deadline.
// It is advisory: the owner's own count still decides about each request when it
// arrives. A grant that is lost, late, duplicated or from an owner that has been
// removed can therefore cost a round trip, but never exceed a limit.
//
// The package performs no I/O and is not safe for concurrent use.
package grant

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/pkg/settings"
)

// Use identifies the requests that a grant covers.
type Use struct {
	Service settings.ServiceID
	Shifted bool // the callers' home is not the granter's place
}

// Compare orders uses.
func (u Use) Compare(v Use) int {
	if c := u.Service.Compare(v.Service); c != 0 || u.Shifted == v.Shifted {
		return c
	}
	if v.Shifted {
		return -1
	}
	return 1
}

// Ask is a sender's request for a grant.
type Ask struct {
	Peer  string
	Place string // the peer's
	Use   Use
	Want  int // requests beyond those that it already holds grants for
}

// Capacity is what an owner could accept now if nothing were granted.
type Capacity struct {
	Slots      int // free slots of the service
	Shifted    int // shifted requests of the service that the cap admits during a grant's lifetime
	PlaceSlots int // free under the place's limit, for all services together
	Weight     func(team string) int
}

// Table holds the grants that this instance has issued.
type Table struct {
	cfg     Config
	entries map[entryKey]*entry
	granted map[settings.ServiceID]int // sum of the entries' grants
	total   int                        // sum over services
}

type entryKey struct {
	peer string
	use  Use
}

// entry holds what one sender has been granted, and still asks for, of one use.
type entry struct {
	key       entryKey
	place     string
	grants    grants
	want      int       // beyond grants; counts until wantUntil
	wantUntil time.Time // when want expires
	lastGrant time.Time // time of its last grant
}

// demand returns how much of the owner's capacity the entry would use.
func (e *entry) demand(now time.Time) int {
	n := e.grants.sum()
	if now.Before(e.wantUntil) {
		n += e.want
	}
	return n
}

// NewTable starts without any grants. An invalid cfg gives *ConfigError.
func NewTable(cfg Config) (*Table, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "grant.NewBook")
	}
	return &Table{cfg: cfg, entries: make(map[entryKey]*entry), granted: make(map[settings.ServiceID]int)}, nil
}

// Lifetime returns how long a grant may be used.
func (t *Table) Lifetime() time.Duration { return t.cfg.Life }

// Grant returns how many more requests a sender may hand off. It may do so for
// the lifetime of a grant, counted by its own clock from before it asked.
func (t *Table) Grant(now time.Time, a Ask, r Capacity) int {
	t.Sweep(now)
	e := t.entry(a)
	e.want, e.wantUntil = min(max(a.Want, 0), t.cfg.Most), now.Add(t.cfg.Remember)
	free := min(r.Slots-t.granted[a.Use.Service], r.PlaceSlots-t.total)
	if a.Use.Shifted {
		free = min(free, r.Shifted-t.grantedShifted(a.Use.Service))
	}
	n := min(e.want, free, t.share(now, e, r))
	if n <= 0 {
		return 0
	}
	// The sender's clock may be slow, so the grant is kept a little longer here.
	e.grants.add(n, now.Add(time.Duration(float64(t.cfg.Life)*(1+t.cfg.Skew))))
	e.want, e.lastGrant = e.want-n, now
	t.addGranted(a.Use.Service, n)
	t.check(a, r)
	return n
}

// check asserts that the outstanding grants fit the owner's capacity.
func (t *Table) check(a Ask, r Capacity) {
	granted := t.granted[a.Use.Service]
	t.cfg.Checks.Check(invariant.RegionLimit, granted <= r.Slots && t.total <= r.PlaceSlots, func() string {
		return fmt.Sprintf("%v: %d granted of %d free, %d of the place's %d", a.Use.Service, granted, r.Slots, t.total, r.PlaceSlots)
	})
	if !a.Use.Shifted {
		return
	}
	shifted := t.grantedShifted(a.Use.Service)
	t.cfg.Checks.Check(invariant.ShiftCap, shifted <= r.Shifted, func() string {
		return fmt.Sprintf("%v: %d shifted requests granted, the cap admits %d", a.Use.Service, shifted, r.Shifted)
	})
}

// Used records that a sender has handed off a request. It returns false if the
// sender held no grant.
func (t *Table) Used(now time.Time, peer string, use Use) bool {
	return t.Release(now, peer, use, 1) == 1
}

// Release takes back up to n granted requests from a sender, and returns how many
// it took back.
func (t *Table) Release(now time.Time, peer string, use Use, n int) int {
	t.Sweep(now)
	e, ok := t.entries[entryKey{peer: peer, use: use}]
	if !ok {
		return 0
	}
	taken := e.grants.take(n)
	t.addGranted(use.Service, -taken)
	return taken
}

// Outstanding returns how many requests of a service are granted.
func (t *Table) Outstanding(now time.Time, id settings.ServiceID) int {
	t.Sweep(now)
	return t.granted[id]
}

// Sweep drops expired grants and asks.
func (t *Table) Sweep(now time.Time) {
	for key, e := range t.entries {
		if expired := e.grants.drop(now); expired > 0 {
			t.addGranted(key.use.Service, -expired)
		}
		if len(e.grants) == 0 && !now.Before(e.wantUntil) {
			delete(t.entries, key)
		}
	}
}

func (t *Table) addGranted(id settings.ServiceID, n int) {
	t.total += n
	t.granted[id] += n
	if t.granted[id] == 0 {
		delete(t.granted, id)
	}
}

func (t *Table) entry(a Ask) *entry {
	key := entryKey{peer: a.Peer, use: a.Use}
	e, ok := t.entries[key]
	if !ok {
		e = &entry{key: key}
		t.entries[key] = e
	}
	e.place = a.Place
	return e
}

func (t *Table) grantedShifted(id settings.ServiceID) int {
	n := 0
	for key, e := range t.entries {
		if key.use.Service == id && key.use.Shifted {
			n += e.grants.sum()
		}
	}
	return n
}

// share returns how much more of the capacity the entry may be granted: the team,
// the service, the use, the sender's place and the sender itself are each limited
// to their share.
func (t *Table) share(now time.Time, e *entry, r Capacity) int {
	d := division{now: now, entry: e, entries: t.sorted(), total: r.PlaceSlots, available: r.PlaceSlots}
	d.narrow(func(o *entry) string { return o.key.use.Service.Team }, r.Weight)
	d.narrow(func(o *entry) string { return o.key.use.Service.Name }, nil)
	d.entries = filter(d.entries, func(o *entry) bool { return o.key.use == e.key.use })
	d.total = min(d.total, r.Slots)
	if e.key.use.Shifted {
		d.total = min(d.total, r.Shifted)
	}
	d.narrow(func(o *entry) string { return o.place }, nil)
	d.narrow(func(o *entry) string { return o.key.peer }, nil)
	return d.available
}

// sorted returns the entries, least recently granted first, so that single units
// are granted in turn.
func (t *Table) sorted() []*entry {
	list := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(x, y *entry) int {
		if c := x.lastGrant.Compare(y.lastGrant); c != 0 {
			return c
		}
		if c := strings.Compare(x.key.peer, y.key.peer); c != 0 {
			return c
		}
		return x.key.use.Compare(y.key.use)
	})
	return list
}
