package mirror

import (
	"sync"
	"time"

	"github.com/firlever/firlever/platform"
)

// ListResult is the result of a list of the whole store.
type ListResult struct {
	Revision         platform.Revision // revision of the list
	PreviousRevision platform.Revision // revision up to which all changes were known before
	Items            int               // items in the store
	Changes          int               // changes that result from the list
	Behind           int               // listed items that are older than the known states
}

// view is a mirror's state of the store, and the history that it passes on to peers. It does no
// input or output. Its history, excerpt and counts are safe for concurrent use; all else is used by
// one goroutine.
type view struct {
	mu        sync.Mutex // held while copy changes, and while another goroutine reads it
	copy      *Replica
	history   *history
	readStore bool // the store was read directly since the last whole update of a peer
	needWhole bool // the next poll of a peer requests its whole view
}

func newView(order Order) *view {
	return &view{copy: NewReplica(order), history: newHistory()}
}

// isRestored reports whether the store was restored from a snapshot between what is known and a
// revision.
func (v *view) isRestored(at platform.Revision) bool {
	known := v.history.latest()
	return !known.IsZero() && at.Epoch() > known.Epoch()
}

// applyList applies all that the store held at a revision, as it confirmed at a time. After a
// restore, states that the store has lost are written again, so removals are delayed as after an
// outage.
func (v *view) applyList(now time.Time, items []platform.Item, at platform.Revision, confirmed time.Time) (ListResult, []Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isRestored(at) {
		v.copy.MarkOutage(now)
	}
	r := ListResult{Revision: at, PreviousRevision: v.history.latest(), Items: len(items), Behind: v.copy.CountBehind(items)}
	events := v.copy.Difference(items, at)
	r.Changes = len(events)
	v.readStore = true
	return r, v.applyEvents(now, batch{events: events, revision: at, confirmedAt: confirmed, gaps: true})
}

// since returns the revision after which changes are requested from a peer.
func (v *view) since() platform.Revision {
	if v.needWhole {
		return platform.Revision{}
	}
	return v.history.latest()
}

// applyPeer applies an update of a peer. If the store has lost some of the peer's view, and was
// read directly here meanwhile, the peer's whole view is requested once.
func (v *view) applyPeer(now time.Time, n peerUpdate) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.needWhole = n.storeBehind && v.readStore && !n.whole
	v.readStore = v.readStore && !n.whole
	v.copy.DelayRemovals(n.removeAfter)
	if n.partial {
		g := batch{events: n.events, revision: n.revision, gaps: n.gaps, followUntil: now.Add(relayMaxAge)}
		return v.applyEvents(now, g)
	}
	if !n.whole {
		return v.applyEvents(now, batch{events: n.events, revision: n.revision, confirmedAt: n.confirmedAt, gaps: n.gaps})
	}
	if v.history.latest().After(n.revision) {
		return v.applyEvents(now, batch{}) // the peer is behind
	}
	all := make([]platform.Item, 0, len(n.events))
	for _, e := range n.events {
		all = append(all, e.Item)
	}
	v.copy.AdoptHidden(n.overrides)
	events := v.copy.Difference(all, n.revision)
	v.restamp(events, n.revision)
	changes := append(v.copy.Apply(now, events), v.copy.AdoptKept(now, n.overrides)...)
	return v.record(now, changes, batch{events: events, revision: n.revision, confirmedAt: n.confirmedAt, gaps: true})
}

// restamp gives the revision of a peer's list to those of its events that have earlier revisions
// than the latest known one, because the items were not changed since. They are new here, and to
// the peers that follow this instance.
func (v *view) restamp(events []platform.Event, at platform.Revision) {
	known := v.history.latest()
	for i := range events {
		if !events[i].Changed.After(known) {
			events[i].Changed = at
		}
	}
}

// applyBatch applies a batch of changes and returns the resulting changes of the view.
func (v *view) applyBatch(now time.Time, g batch) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.applyEvents(now, g)
}

// applyEvents is applyBatch with v.mu held.
func (v *view) applyEvents(now time.Time, g batch) []Change {
	return v.record(now, v.copy.Apply(now, g.events), g)
}

// record adds a batch, which the replica has applied already, to the history. It returns all
// changes, with those whose delay has ended. v.mu is held.
func (v *view) record(now time.Time, changes []Change, g batch) []Change {
	changes = append(changes, v.copy.Due(now, platform.Later(v.history.latest(), g.revision))...)
	g.changed = len(changes) > 0
	v.history.add(g, v.copy)
	return changes
}

// counts returns how much the replica holds.
func (v *view) counts() ReplicaCounts {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.copy.Counts()
}

// markOutage records that the store is unreachable at now.
func (v *view) markOutage(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.copy.MarkOutage(now)
}

// excerpt returns what a peer needs that has all changes up to a revision: the changes since, or all
// items. Items are collected only where a peer needs them, as there are many times more of them than
// changes.
func (v *view) excerpt(now time.Time, revision platform.Revision) excerpt {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.history.since(now, revision)
	if !e.covered {
		e.items, e.overrides = v.copy.Items(), v.copy.Overrides()
	}
	return e
}
