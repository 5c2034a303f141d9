package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/pkg/settings"
)

// catchUp applies what has come due, and returns the state of tenure.
func (b *Book) catchUp(now time.Time) State {
	if !b.refreshAt.IsZero() && !now.Before(b.refreshAt) {
		b.refresh(now)
	}
	return b.Tenure(now)
}

// spare returns how much of the place's limit this instance has left.
func (b *Book) spare(s State) int {
	switch s {
	case Confirmed:
		return max(b.budget-b.charged, 0)
	case Lapsed:
		return max(b.half-b.charged, 0)
	default:
		return 0
	}
}

// room returns how many slots of a line are free, leaving the budget aside.
func (l *line) room(s State) int {
	if !l.mine || !l.listed || l.spec.Drained {
		return 0
	}
	return max(l.slots(s)-l.inFlight, 0)
}

// Free returns how many more requests the target may be given now. It is 0
// for a target that this instance does not own.
func (b *Book) Free(now time.Time, key TargetKey) int {
	s := b.catchUp(now)
	l, ok := b.lines[key]
	if !ok {
		return 0
	}
	return min(l.room(s), b.spare(s))
}

// FreeService returns how many more requests of a service this instance may
// give to its targets now.
func (b *Book) FreeService(now time.Time, id settings.ServiceID) int {
	s := b.catchUp(now)
	free := 0
	for _, l := range b.owned {
		if l.key.Service == id {
			free += l.room(s)
		}
	}
	return min(free, b.spare(s))
}

// Spare returns how many more requests, of all services, the place's limit
// leaves this instance now.
func (b *Book) Spare(now time.Time) int { return b.spare(b.catchUp(now)) }

// Usable returns how many slots of a target this instance may fill now, used
// ones included.
func (b *Book) Usable(now time.Time, key TargetKey) int {
	s := b.catchUp(now)
	l, ok := b.lines[key]
	if !ok || !l.mine {
		return 0
	}
	return l.slots(s)
}

// Take fills a slot of a target; false says that none is free. The request
// must end, or be given up unsent, within the service's timeout from now.
func (b *Book) Take(now time.Time, key TargetKey) bool {
	if b.Free(now, key) == 0 {
		return false
	}
	s := b.Tenure(now)
	l := b.lines[key]
	c := b.charge(l, s)
	l.inFlight++
	l.charges = append(l.charges, c)
	c.charged++
	b.charged++
	b.check(l, c, s)
	return true
}

// charge returns the line whose quota a request at l uses: l if it has some
// left, else the owned line that has most.
func (b *Book) charge(l *line, s State) *line {
	if l.share(s) > l.charged {
		return l
	}
	best := l
	for _, o := range b.owned {
		if o.share(s)-o.charged > best.share(s)-best.charged {
			best = o
		}
	}
	return best
}

// check asserts that a slot just taken keeps every limit.
func (b *Book) check(l, c *line, s State) {
	b.cfg.Checks.Check(invariant.RegionLimit, l.inFlight+l.heldSlots <= l.allowance, func() string {
		return fmt.Sprintf("%v: %d in flight and %d held of %d", l.key, l.inFlight, l.heldSlots, l.allowance)
	})
	b.cfg.Checks.Check(invariant.RegionLimit, c.charged <= c.share(s), func() string {
		return fmt.Sprintf("%v: %d charged to a quota of %d", c.key, c.charged, c.share(s))
	})
	b.cfg.Checks.Check(invariant.Leaving, l.listed && !l.spec.Drained, func() string {
		return fmt.Sprintf("%v: drained or withdrawn", l.key)
	})
}

// Done empties a slot that Take filled.
func (b *Book) Done(key TargetKey) {
	l, ok := b.lines[key]
	b.cfg.Checks.Check(invariant.RegionLimit, ok && l.inFlight > 0, func() string {
		return fmt.Sprintf("%v: done without a request in flight", key)
	})
	if !ok || l.inFlight == 0 {
		return
	}
	c := l.charges[0]
	l.charges = slices.Delete(l.charges, 0, 1)
	l.inFlight--
	c.charged--
	if c.mine {
		b.charged--
	}
}

// InFlight returns how many requests this instance has at a target.
func (b *Book) InFlight(key TargetKey) int {
	if l, ok := b.lines[key]; ok {
		return l.inFlight
	}
	return 0
}

// Idle reports whether this instance has nothing in flight anywhere. When it is
// leaving, and its roster says so, it may then remove its own line as clean.
func (b *Book) Idle() bool {
	for _, l := range b.order {
		if l.inFlight > 0 {
			return false
		}
	}
	return true
}
