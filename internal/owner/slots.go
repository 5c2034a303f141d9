package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/pkg/settings"
)

// advance applies the changes that are due at now, and returns the state of the
// ownership lease.
func (b *Book) catchUp(now time.Time) State {
	if !b.refreshAt.IsZero() && !now.Before(b.refreshAt) {
		b.refresh(now)
	}
	return b.Tenure(now)
}

// freeQuota returns how much of the place's limit this instance has left.
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

// freeSlots returns how many slots of the target are free, regardless of the
// place's limit.
func (l *line) room(s State) int {
	if !l.mine || !l.listed || l.spec.Drained {
		return 0
	}
	return max(l.slots(s)-l.inFlight, 0)
}

// Free returns how many more requests may be sent to the target now. It is 0
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
// send to its targets now.
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

// Spare returns how many more requests, of all services together, the place's
// limit allows this instance now.
func (b *Book) Spare(now time.Time) int { return b.spare(b.catchUp(now)) }

// Usable returns how many slots of a target this instance may fill now,
// including those in use.
func (b *Book) Usable(now time.Time, key TargetKey) int {
	s := b.catchUp(now)
	l, ok := b.lines[key]
	if !ok || !l.mine {
		return 0
	}
	return l.slots(s)
}

// Take fills a slot of a target, or returns false if none is free. The request
// must end, or be abandoned unsent, within the service's timeout from now.
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

// charge returns the target whose quota a request at tgt uses: tgt itself if it has
// quota left, otherwise the owned target that has the most.
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

// check asserts that the slot just taken exceeds no limit.
func (b *Book) check(l, c *line, s State) {
	b.cfg.Checks.Check(invariant.RegionLimit, l.inFlight+l.heldSlots <= l.allowance, func() string {
		return fmt.Sprintf("%v: %d in flight and %d reserved, allowance %d", l.key, l.inFlight, l.heldSlots, l.allowance)
	})
	b.cfg.Checks.Check(invariant.RegionLimit, c.charged <= c.share(s), func() string {
		return fmt.Sprintf("%v: %d requests charged to a quota of %d", c.key, c.charged, c.share(s))
	})
	b.cfg.Checks.Check(invariant.Leaving, l.listed && !l.spec.Drained, func() string {
		return fmt.Sprintf("%v: slot taken at a drained or removed target", l.key)
	})
}

// Done frees a slot that Take filled.
func (b *Book) Done(key TargetKey) {
	l, ok := b.lines[key]
	b.cfg.Checks.Check(invariant.RegionLimit, ok && l.inFlight > 0, func() string {
		return fmt.Sprintf("%v: slot freed without a request in flight", key)
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

// InFlight returns how many requests this instance has in flight at a target.
func (b *Book) InFlight(key TargetKey) int {
	if l, ok := b.lines[key]; ok {
		return l.inFlight
	}
	return 0
}

// Idle reports whether this instance has no requests in flight at any target.
// If the roster marks it as leaving, it may then remove its own entry as clean.
func (b *Book) Idle() bool {
	for _, l := range b.order {
		if l.inFlight > 0 {
			return false
		}
	}
	return true
}
