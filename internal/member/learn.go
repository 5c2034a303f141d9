package member

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/wire"
)

// MergeListing merges the platform's list. The list lags, so it only adds members and newer incarnations,
// and starts the expiry of dead members that it no longer names. It never marks a member dead.
func (l *List) MergeListing(now time.Time, list []docstore.Instance) {
	named := make(map[string]bool, len(list))
	for _, in := range list {
		named[in.ID] = true
	}
	order := slices.Clone(list)
	// A random order, so that instances hold different samples of a place.
	l.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, in := range order {
		l.mergeInstance(now, in)
	}
	for _, m := range l.all {
		m.listed = named[m.in.ID]
		switch {
		case m.listed:
			m.forgetBy = time.Time{}
		case m.state == wire.State_STATE_DEAD && m.forgetBy.IsZero():
			m.forgetBy = now.Add(l.cfg.Forget)
			l.scheduleExpiry(m.forgetBy)
		}
	}
}

func (l *List) mergeInstance(now time.Time, in docstore.Instance) {
	held := &member{in: in}
	if in.ID == l.self.in.ID {
		if in.Incarnation > l.self.in.Incarnation {
			l.markReplaced(now)
		}
		return
	}
	_, known := l.members[in.ID]
	l.apply(now, held.update(true))
	if !known {
		l.updates.drop(in.ID) // other instances read the list too
	}
}

// Leave announces this instance's planned stop to all members held, limited by the number of pings
// that may be in flight. The instance continues to answer pings until it stops.
func (l *List) Leave(now time.Time) []Send {
	sends := l.detectPause(now)
	if l.self.in.Leaving {
		return sends
	}
	l.self.in.Leaving = true
	l.enqueue(l.self, false)
	members := append(l.liveInDomain(), l.liveBeyondDomain()...)
	for _, m := range members[:min(len(members), maxProbes/2)] {
		sends = append(sends, l.probe(now, m))
	}
	return sends
}
