// Package grant keeps what the owner of targets has promised to other places,
// and what a sender has been promised.
//
// A grant is a number of requests that a sender may hand off until a deadline.
// It tells the sender what it may send; the owner's own count still decides
// about each request when it arrives. So a grant that is lost, late, doubled or
// of an owner that has gone can cost a round trip, but never a limit.
//
// The package does no input or output and is not safe for concurrent use.
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

// Use is what a grant is good for.
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

// Ask is what a sender would like to hand off.
type Ask struct {
	Peer  string
	Place string // the peer's
	Use   Use
	Want  int // requests beyond those it holds grants for
}

// Room is what an owner could take now if nothing were granted.
type Room struct {
	Slots   int // of the service
	Shifted int // shifted requests of the service that the cap lets pass during a grant's life
	Spare   int // of the place's limit, for all services together
	Weight  func(team string) int
}

// Book is the granter's side.
type Book struct {
	cfg   Config
	lines map[lineKey]*line
	held  map[settings.ServiceID]int // sum of the lines' grants
	total int                        // sum over services
}

type lineKey struct {
	peer string
	use  Use
}

// line is what one sender has been granted and wants of one use.
type line struct {
	key       lineKey
	place     string
	grants    promises
	want      int       // beyond grants; counts until wantUntil
	wantUntil time.Time // when want no longer counts
	last      time.Time // when it was last granted something
}

// claim is how much of the owner's room the line would use.
func (l *line) claim(now time.Time) int {
	n := l.grants.sum()
	if now.Before(l.wantUntil) {
		n += l.want
	}
	return n
}

// NewBook makes an empty book. It returns a *ConfigError.
func NewBook(cfg Config) (*Book, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "grant.NewBook")
	}
	return &Book{cfg: cfg, lines: make(map[lineKey]*line), held: make(map[settings.ServiceID]int)}, nil
}

// Life is how long a grant may be used.
func (b *Book) Life() time.Duration { return b.cfg.Life }

// Grant answers a sender: it may hand off so many more requests for Life,
// counted by its own clock from before it asked.
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
	// The sender's clock may be slow, so it is waited for a little longer.
	l.grants.add(n, now.Add(time.Duration(float64(b.cfg.Life)*(1+b.cfg.Skew))))
	l.want, l.last = l.want-n, now
	b.hold(a.Use.Service, n)
	b.check(a, r)
	return n
}

// check asserts that what is promised fits into what may be used.
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
		return fmt.Sprintf("%v: %d granted, the cap has room for %d", a.Use.Service, shifted, r.Shifted)
	})
}

// Used notes that a sender has handed a request off. It returns false when the
// sender held no grant.
func (b *Book) Used(now time.Time, peer string, use Use) bool {
	return b.Release(now, peer, use, 1) == 1
}

// Release takes back what a sender has no use for, and returns how much that was.
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

// Sweep forgets what has run out.
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

// share is how much more of the room the line may have: the team, the service,
// the use, the sender's place and the sender itself each keep to their part.
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

// sorted lists the lines, the one that was granted something longest ago first,
// so that single units go round.
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
