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

// view is what a mirror knows of the store, and what it passes on of that. It does no
// input or output; its history alone is safe for concurrent use.
type view struct {
	replica   *Replica
	history   *history
	readStore bool // the store was read here since a peer told all that it knows
	needWhole bool // all that a peer knows is to be asked for
}

func newView(order Order) view {
	return view{replica: NewReplica(order), history: newHistory()}
}

// isRestored says whether the store has come back from a copy of itself between what is known
// and a revision.
func (k *view) isRestored(at platform.Revision) bool {
	known := k.history.latest()
	return !known.IsZero() && at.Epoch() > known.Epoch()
}

// applyList takes in all that the store held at a revision, as it confirmed at a time. What the
// store has lost since it was known is written again, as after an outage.
func (k *view) applyList(now time.Time, items []platform.Item, at platform.Revision, confirmed time.Time) (Reading, []Change) {
	if k.isRestored(at) {
		k.replica.MarkOutage(now)
	}
	r := Reading{Revision: at, Known: k.history.latest(), Items: len(items), Behind: k.replica.CountBehind(items)}
	events := k.replica.Difference(items, at)
	r.Changes = len(events)
	k.readStore = true
	return r, k.applyBatch(now, batch{events: events, revision: at, confirmedAt: confirmed, gaps: true})
}

// since is the revision after which changes are to be asked of a peer.
func (k *view) since() platform.Revision {
	if k.needWhole {
		return platform.Revision{}
	}
	return k.history.latest()
}

// applyPeer takes in what a peer knows. If some of that is lost to the store, which was read here
// meanwhile, all that the peer knows is asked for once.
func (k *view) applyPeer(now time.Time, n peerUpdate) []Change {
	k.needWhole = n.storeBehind && k.readStore && !n.whole
	k.readStore = k.readStore && !n.whole
	k.replica.DelayRemovals(n.removeAfter)
	if !n.whole {
		return k.applyBatch(now, batch{events: n.events, revision: n.revision, confirmedAt: n.confirmedAt, gaps: n.gaps})
	}
	if k.history.latest().After(n.revision) {
		return k.applyBatch(now, batch{}) // the peer is behind
	}
	all := make([]platform.Item, 0, len(n.events))
	for _, e := range n.events {
		all = append(all, e.Item)
	}
	k.replica.AdoptHidden(n.overrides)
	events := k.replica.Difference(all, n.revision)
	k.restamp(events, n.revision)
	changes := append(k.replica.Apply(now, events), k.replica.AdoptKept(now, n.overrides)...)
	return k.record(now, changes, batch{events: events, revision: n.revision, confirmedAt: n.confirmedAt, gaps: true})
}

// restamp gives a revision to events by a peer's list that it has by earlier ones than what is known,
// as nobody has changed them since: they are news here, and for those who follow this instance.
func (k *view) restamp(events []platform.Event, at platform.Revision) {
	known := k.history.latest()
	for i := range events {
		if !events[i].Changed.After(known) {
			events[i].Changed = at
		}
	}
}

// applyBatch takes in a growth of what is known.
func (k *view) applyBatch(now time.Time, g batch) []Change {
	return k.record(now, k.replica.Apply(now, g.events), g)
}

// record notes a growth that the copy has taken, and returns all changes.
func (k *view) record(now time.Time, changes []Change, g batch) []Change {
	changes = append(changes, k.replica.Due(now, platform.Later(k.history.latest(), g.revision))...)
	g.changed = len(changes) > 0
	k.history.add(g, k.replica)
	return changes
}
