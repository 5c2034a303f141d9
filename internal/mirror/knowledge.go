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
	Behind   int               // items that are older states than what is known
}

// knowledge is what a mirror knows of the store, and what it passes on of that. It does no
// input or output; its history alone is safe for concurrent use.
type knowledge struct {
	copy    *Copy
	history *history
	own     bool // the store was read here since a peer told all that it knows
	askAll  bool // all that a peer knows is to be asked for
}

func newKnowledge(order Order) knowledge {
	return knowledge{copy: NewCopy(order), history: newHistory()}
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
	r := Reading{Revision: at, Known: k.history.at(), Items: len(items), Behind: k.copy.Behind(items)}
	events := k.copy.Difference(items, at)
	r.Changes = len(events)
	k.own = true
	return r, k.take(now, growth{events: events, revision: at, confirmed: confirmed, gaps: true})
}

// since is the revision after which changes are to be asked of a peer.
func (k *knowledge) since() platform.Revision {
	if k.askAll {
		return platform.Revision{}
	}
	return k.history.at()
}

// adopt takes in what a peer knows. If some of that is lost to the store, which was read here
// meanwhile, all that the peer knows is asked for once.
func (k *knowledge) adopt(now time.Time, n news) []Change {
	k.askAll = n.ahead && k.own && !n.whole
	k.own = k.own && !n.whole
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
	k.copy.Hide(n.beliefs)
	events := k.copy.Difference(all, n.revision)
	k.lift(events, n.revision)
	changes := append(k.copy.Apply(now, events), k.copy.Keep(now, n.beliefs)...)
	return k.grow(now, changes, growth{events: events, revision: n.revision, confirmed: n.confirmed, gaps: true})
}

// lift gives a revision to events by a peer's list that it has by earlier ones than what is known,
// as nobody has changed them since: they are news here, and for those who follow this instance.
func (k *knowledge) lift(events []platform.Event, at platform.Revision) {
	known := k.history.at()
	for i := range events {
		if !events[i].Changed.After(known) {
			events[i].Changed = at
		}
	}
}

// take takes in a growth of what is known.
func (k *knowledge) take(now time.Time, g growth) []Change {
	return k.grow(now, k.copy.Apply(now, g.events), g)
}

// grow notes a growth that the copy has taken, and returns all changes.
func (k *knowledge) grow(now time.Time, changes []Change, g growth) []Change {
	changes = append(changes, k.copy.Due(now, platform.Later(k.history.at(), g.revision))...)
	g.changed = len(changes) > 0
	k.history.add(g, k.copy)
	return changes
}
