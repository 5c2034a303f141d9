package mirror

import (
	"time"

	"github.com/firlever/firlever/platform"
)

// Reading is what a reading of the whole store brought.
type Reading struct {
	Revision platform.Revision // that it is true at
	Known    platform.Revision // up to which all changes were known before
	Items    int               // that the store has
	Changes  int               // that follow from it
	Skipped  int               // items that differ from what is known of them, and are not later
}

// knowledge is what a mirror knows of the store, and what it passes on of that. It does no
// input or output; its history alone is safe for concurrent use.
type knowledge struct {
	copy    *Copy
	history *history
}

func newKnowledge() knowledge {
	return knowledge{copy: NewCopy(), history: newHistory()}
}

// restored says whether the store has come back from a copy of itself between what is known
// and a revision.
func (k *knowledge) restored(at platform.Revision) bool {
	known := k.history.at()
	return !known.IsZero() && at.Epoch() > known.Epoch()
}

// list takes in all that the store held at a revision, as it confirmed at a time. What the
// store has lost since it was known is written again, as after an outage.
func (k *knowledge) list(now time.Time, items []platform.Item, at platform.Revision, confirmed time.Time) (Reading, []Change) {
	if k.restored(at) {
		k.copy.Outage(now)
	}
	r := Reading{Revision: at, Known: k.history.at(), Items: len(items), Skipped: k.copy.Older(items)}
	events := k.copy.Difference(items, at)
	r.Changes = len(events)
	return r, k.take(now, growth{events: events, revision: at, confirmed: confirmed, gaps: true})
}

// adopt takes in what a peer knows.
func (k *knowledge) adopt(now time.Time, n news) []Change {
	k.copy.Settle(n.settled)
	if !n.whole {
		return k.take(now, growth{events: n.events, revision: n.revision, confirmed: n.confirmed, gaps: n.gaps})
	}
	if k.history.at().After(n.revision) {
		return k.take(now, growth{}) // the peer is behind
	}
	all := make([]platform.Item, 0, len(n.events))
	for _, e := range n.events {
		all = append(all, e.Item)
	}
	return k.take(now, growth{events: k.copy.Difference(all, n.revision), revision: n.revision, confirmed: n.confirmed, gaps: true})
}

// take takes in a growth of what is known.
func (k *knowledge) take(now time.Time, g growth) []Change {
	changes := append(k.copy.Apply(now, g.events), k.copy.Due(now)...)
	g.changed = len(changes) > 0
	k.history.add(g, k.copy)
	return changes
}
