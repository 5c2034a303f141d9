package owner

import (
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// Pick returns the owned target of a service that has the lowest fraction of its
// slots in use and a free slot. weight caps the slots that may be filled of a
// target; nil caps none. Equal targets are picked in turn. Pick takes no slot.
func (t *Table) Pick(now time.Time, id settings.ServiceID, weight func(TargetKey) int) (TargetKey, bool) {
	s := t.advance(now)
	if t.freeQuota(s) == 0 {
		return TargetKey{}, false
	}
	var best *target
	bestSlots := 0
	n := len(t.owned)
	for i := range n {
		tgt := t.owned[(i+t.nextPick)%n]
		if tgt.key.Service != id || tgt.freeSlots(s) == 0 {
			continue
		}
		slots := tgt.usableSlots(s)
		if weight != nil {
			slots = min(slots, weight(tgt.key))
		}
		if slots <= tgt.inFlight {
			continue
		}
		if best == nil || tgt.inFlight*bestSlots < best.inFlight*slots {
			best, bestSlots = tgt, slots
		}
	}
	if best == nil {
		return TargetKey{}, false
	}
	t.nextPick++
	return best.key, true
}
