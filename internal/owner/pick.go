package owner

import (
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// Pick returns the owned target of a service that has the lowest fraction of its
// slots in use and a free slot. weight caps the slots that may be filled of a
// target; nil caps none. Equal targets are picked in turn. Pick takes no slot.
func (b *Book) Pick(now time.Time, id settings.ServiceID, weight func(TargetKey) int) (TargetKey, bool) {
	s := b.catchUp(now)
	if b.spare(s) == 0 {
		return TargetKey{}, false
	}
	var best *line
	bestSlots := 0
	n := len(b.owned)
	for i := range n {
		l := b.owned[(i+b.turn)%n]
		if l.key.Service != id || l.room(s) == 0 {
			continue
		}
		slots := l.slots(s)
		if weight != nil {
			slots = min(slots, weight(l.key))
		}
		if slots <= l.inFlight {
			continue
		}
		if best == nil || l.inFlight*bestSlots < best.inFlight*slots {
			best, bestSlots = l, slots
		}
	}
	if best == nil {
		return TargetKey{}, false
	}
	b.turn++
	return best.key, true
}
