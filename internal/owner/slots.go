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
func (t *Table) advance(now time.Time) LeaseState {
	if !t.refreshAt.IsZero() && !now.Before(t.refreshAt) {
		t.refresh(now)
	}
	return t.LeaseState(now)
}

// freeQuota returns how much of the place's limit this instance has left.
func (t *Table) freeQuota(s LeaseState) int {
	switch s {
	case LeaseConfirmed:
		return max(t.budget-t.charged, 0)
	case LeaseExpired:
		return max(t.halfBudget-t.charged, 0)
	default:
		return 0
	}
}

// freeSlots returns how many slots of the target are free, regardless of the
// place's limit.
func (tgt *target) freeSlots(s LeaseState) int {
	if !tgt.owned || !tgt.configured || tgt.spec.Drained {
		return 0
	}
	return max(tgt.usableSlots(s)-tgt.inFlight, 0)
}

// Free returns how many more requests may be sent to the target now. It is 0
// for a target that this instance does not own.
func (t *Table) Free(now time.Time, key TargetKey) int {
	s := t.advance(now)
	tgt, ok := t.targets[key]
	if !ok {
		return 0
	}
	return min(tgt.freeSlots(s), t.freeQuota(s))
}

// FreeService returns how many more requests of a service this instance may
// send to its targets now.
func (t *Table) FreeService(now time.Time, id settings.ServiceID) int {
	s := t.advance(now)
	free := 0
	for _, tgt := range t.owned {
		if tgt.key.Service == id {
			free += tgt.freeSlots(s)
		}
	}
	return min(free, t.freeQuota(s))
}

// FreeQuota returns how many more requests, of all services together, the place's
// limit allows this instance now.
func (t *Table) FreeQuota(now time.Time) int { return t.freeQuota(t.advance(now)) }

// UsableSlots returns how many slots of a target this instance may fill now,
// including those in use.
func (t *Table) UsableSlots(now time.Time, key TargetKey) int {
	s := t.advance(now)
	tgt, ok := t.targets[key]
	if !ok || !tgt.owned {
		return 0
	}
	return tgt.usableSlots(s)
}

// Take fills a slot of a target, or returns false if none is free. The request
// must end, or be abandoned unsent, within the service's timeout from now.
func (t *Table) Take(now time.Time, key TargetKey) bool {
	if t.Free(now, key) == 0 {
		return false
	}
	s := t.LeaseState(now)
	tgt := t.targets[key]
	c := t.charge(tgt, s)
	tgt.inFlight++
	tgt.charges = append(tgt.charges, c)
	c.charged++
	t.charged++
	t.check(tgt, c, s)
	return true
}

// charge returns the target whose quota a request at tgt uses: tgt itself if it has
// quota left, otherwise the owned target that has the most.
func (t *Table) charge(tgt *target, s LeaseState) *target {
	if tgt.usableQuota(s) > tgt.charged {
		return tgt
	}
	best := tgt
	for _, o := range t.owned {
		if o.usableQuota(s)-o.charged > best.usableQuota(s)-best.charged {
			best = o
		}
	}
	return best
}

// check asserts that the slot just taken exceeds no limit.
func (t *Table) check(tgt, c *target, s LeaseState) {
	t.cfg.Checks.Check(invariant.RegionLimit, tgt.inFlight+tgt.reservedSlots <= tgt.allowance, func() string {
		return fmt.Sprintf("%v: %d in flight and %d reserved, allowance %d", tgt.key, tgt.inFlight, tgt.reservedSlots, tgt.allowance)
	})
	t.cfg.Checks.Check(invariant.RegionLimit, c.charged <= c.usableQuota(s), func() string {
		return fmt.Sprintf("%v: %d requests charged to a quota of %d", c.key, c.charged, c.usableQuota(s))
	})
	t.cfg.Checks.Check(invariant.Leaving, tgt.configured && !tgt.spec.Drained, func() string {
		return fmt.Sprintf("%v: slot taken at a drained or removed target", tgt.key)
	})
}

// Done frees a slot that Take filled.
func (t *Table) Done(key TargetKey) {
	tgt, ok := t.targets[key]
	t.cfg.Checks.Check(invariant.RegionLimit, ok && tgt.inFlight > 0, func() string {
		return fmt.Sprintf("%v: slot freed without a request in flight", key)
	})
	if !ok || tgt.inFlight == 0 {
		return
	}
	c := tgt.charges[0]
	tgt.charges = slices.Delete(tgt.charges, 0, 1)
	tgt.inFlight--
	c.charged--
	if c.owned {
		t.charged--
	}
}

// InFlight returns how many requests this instance has in flight at a target.
func (t *Table) InFlight(key TargetKey) int {
	if tgt, ok := t.targets[key]; ok {
		return tgt.inFlight
	}
	return 0
}

// Idle reports whether this instance has no requests in flight at any target.
// If the roster marks it as leaving, it may then remove its own entry as clean.
func (t *Table) Idle() bool {
	for _, tgt := range t.sorted {
		if tgt.inFlight > 0 {
			return false
		}
	}
	return true
}
