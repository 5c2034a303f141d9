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

// Room is what an owner could accept now if nothing were granted.
type Room struct {
	Slots   int // free slots of the service
	Shifted int // shifted requests of the service that the cap admits during a grant's lifetime
	Spare   int // free under the place's limit, for all services together
	Weight  func(team string) int
}

// Book holds the grants that this instance has issued.
type Book struct {
	cfg   Config
	lines map[lineKey]*line
	held  map[settings.ServiceID]int // sum of the entries' grants
	total int                        // sum over services
}

type lineKey struct {
	peer string
	use  Use
}

// entry holds what one sender has been granted, and still asks for, of one use.
type line struct {
	key       lineKey
	place     string
	grants    promises
	want      int       // beyond grants; counts until wantUntil
	wantUntil time.Time // when want expires
	last      time.Time // time of its last grant
}

// demand returns how much of the owner's capacity the entry would use.
func (l *line) claim(now time.Time) int {
	n := l.grants.sum()
	if now.Before(l.wantUntil) {
		n += l.want
	}
	return n
}

// NewBook starts without any grants. An invalid cfg gives *ConfigError.
func NewBook(cfg Config) (*Book, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "grant.NewBook")
	}
	return &Book{cfg: cfg, lines: make(map[lineKey]*line), held: make(map[settings.ServiceID]int)}, nil
}

// Life returns how long a grant may be used.
func (b *Book) Life() time.Duration { return b.cfg.Life }

// Grant returns how many more requests a sender may hand off. It may do so for
// the lifetime of a grant, counted by its own clock from before it asked.
func (b *Book) Grant(now time.Time, a Ask, r Room) int {
	b.Sweep(now)
	l := b.line(a)
	l.want, l.wantUntil = min(max(a.Want, 0), b.cfg.Most), now.Add(b.cfg.Remember)
	free := min(r.Slots-b.held[a.Use.Service], r.Spare-b.total)
	if a.Use.Shifted {
		free = min(free, r.Shifted-b.heldShifted(a.Use.Service))
	}
	n := min(l.want, free, b.share(now, l, r))
	if n <= 0 {
		return 0
	}
	// The sender's clock may be slow, so the grant is kept a little longer here.
	l.grants.add(n, now.Add(time.Duration(float64(b.cfg.Life)*(1+b.cfg.Skew))))
	l.want, l.last = l.want-n, now
	b.hold(a.Use.Service, n)
	b.check(a, r)
	return n
}

// check asserts that the outstanding grants fit the owner's capacity.
func (b *Book) check(a Ask, r Room) {
	held := b.held[a.Use.Service]
	b.cfg.Checks.Check(invariant.RegionLimit, held <= r.Slots && b.total <= r.Spare, func() string {
		return fmt.Sprintf("%v: %d granted of %d free, %d of the place's %d", a.Use.Service, held, r.Slots, b.total, r.Spare)
	})
	if !a.Use.Shifted {
		return
	}
	shifted := b.heldShifted(a.Use.Service)
	b.cfg.Checks.Check(invariant.ShiftCap, shifted <= r.Shifted, func() string {
		return fmt.Sprintf("%v: %d shifted requests granted, the cap admits %d", a.Use.Service, shifted, r.Shifted)
	})
}

// Used records that a sender has handed off a request. It returns false if the
// sender held no grant.
func (b *Book) Used(now time.Time, peer string, use Use) bool {
	return b.Release(now, peer, use, 1) == 1
}

// Release takes back up to n granted requests from a sender, and returns how many
// it held.
func (b *Book) Release(now time.Time, peer string, use Use, n int) int {
	b.Sweep(now)
	l, ok := b.lines[lineKey{peer: peer, use: use}]
	if !ok {
		return 0
	}
	taken := l.grants.take(n)
	b.hold(use.Service, -taken)
	return taken
}

// Outstanding returns how many requests of a service are granted.
func (b *Book) Outstanding(now time.Time, id settings.ServiceID) int {
	b.Sweep(now)
	return b.held[id]
}

// Sweep drops expired grants and asks.
func (b *Book) Sweep(now time.Time) {
	for key, l := range b.lines {
		if lost := l.grants.drop(now); lost > 0 {
			b.hold(key.use.Service, -lost)
		}
		if len(l.grants) == 0 && !now.Before(l.wantUntil) {
			delete(b.lines, key)
		}
	}
}

func (b *Book) hold(id settings.ServiceID, n int) {
	b.total += n
	b.held[id] += n
	if b.held[id] == 0 {
		delete(b.held, id)
	}
}

func (b *Book) line(a Ask) *line {
	key := lineKey{peer: a.Peer, use: a.Use}
	l, ok := b.lines[key]
	if !ok {
		l = &line{key: key}
		b.lines[key] = l
	}
	l.place = a.Place
	return l
}

func (b *Book) heldShifted(id settings.ServiceID) int {
	n := 0
	for key, l := range b.lines {
		if key.use.Service == id && key.use.Shifted {
			n += l.grants.sum()
		}
	}
	return n
}

// share returns how much more of the capacity the entry may be granted: the team,
// the service, the use, the sender's place and the sender itself are each limited
// to their share.
func (b *Book) share(now time.Time, l *line, r Room) int {
	d := division{now: now, of: l, lines: b.sorted(), total: r.Spare, left: r.Spare}
	d.by(func(o *line) string { return o.key.use.Service.Team }, r.Weight)
	d.by(func(o *line) string { return o.key.use.Service.Name }, nil)
	d.lines = like(d.lines, func(o *line) bool { return o.key.use == l.key.use })
	d.total = min(d.total, r.Slots)
	if l.key.use.Shifted {
		d.total = min(d.total, r.Shifted)
	}
	d.by(func(o *line) string { return o.place }, nil)
	d.by(func(o *line) string { return o.key.peer }, nil)
	return d.left
}

// sorted returns the entries, least recently granted first, so that single units
// are granted in turn.
func (b *Book) sorted() []*line {
	list := make([]*line, 0, len(b.lines))
	for _, l := range b.lines {
		list = append(list, l)
	}
	slices.SortFunc(list, func(x, y *line) int {
		if c := x.last.Compare(y.last); c != 0 {
			return c
		}
		if c := strings.Compare(x.key.peer, y.key.peer); c != 0 {
			return c
		}
		return x.key.use.Compare(y.key.use)
	})
	return list
}
