package mirror

import (
	"slices"
	"sync"
	"time"

	"github.com/firlever/firlever/platform"
)

// historyLen is how many changes are kept for peers: several times what a list of
// today's store holds, so that a peer that was paused for seconds still finds them.
const historyLen = 2000

// history holds the last changes for the peers that follow this mirror. It is safe
// for concurrent use.
type history struct {
	mu          sync.Mutex
	events      []platform.Event  // by revision; at most historyLen; guarded by mu
	items       []platform.Item   // all that the store held at revision; guarded by mu
	overrides   Overrides         // in spite of that; guarded by mu
	version     int               // counts the changes of both; guarded by mu
	storeBehind bool              // some of it the store has lost; guarded by mu
	revision    platform.Revision // all changes up to here are known; guarded by mu
	spans       []span            // in their order, mostSpans at most; the last ends at revision; guarded by mu
	confirmedAt time.Time         // when the store last said that there are no others; guarded by mu
	removeAfter time.Time         // removals are delayed until then, as the store was out of reach; guarded by mu
	updated     chan struct{}     // closed when events come; guarded by mu
}

// maxSpans bounds the spans that are kept: a new one begins with each list after a watch that
// failed.
const maxSpans = 64

// span is a row of revisions of which all changes are kept. Between two spans some may be
// missing: a list does not show what was written and removed since the one before.
type span struct {
	from, to platform.Revision // the changes after from, up to to
}

func newHistory() *history { return &history{updated: make(chan struct{})} }

// batch is what is added to a history.
type batch struct {
	events      []platform.Event
	revision    platform.Revision // that they lead up to
	confirmedAt time.Time         // when the store said so; zero if it did not
	gaps        bool              // the events are not all changes up to the revision
	changed     bool              // the copy has changed by other things than events
}

// add appends a growth, after which the copy is c. Peers that wait see all of it at once: an
// answer with new changes and an old age would be refused.
func (h *history) add(g batch, c *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g.confirmedAt.After(h.confirmedAt) {
		h.confirmedAt = g.confirmedAt
	}
	h.removeAfter, h.storeBehind = c.removeAfter, c.StoreBehind()
	next := platform.Later(h.revision, g.revision)
	begun := next.Epoch() != h.revision.Epoch() || h.revision.IsZero() && !next.IsZero()
	if !h.revision.IsZero() {
		h.events = append(h.events, g.events...) // what was there before is for a list
	}
	if next != h.revision {
		h.advance(next, g.gaps)
	}
	h.trim()
	if g.changed || begun || len(g.events) > 0 {
		h.items, h.overrides = c.Items(), c.Overrides()
		h.version++
	}
	if begun || len(g.events) > 0 {
		h.wakeWaiters()
	}
}

// advance notes that changes are known up to a revision, all of them or with gaps. h.mu is held.
func (h *history) advance(revision platform.Revision, gaps bool) {
	h.revision = revision
	if gaps || len(h.spans) == 0 {
		h.spans = append(h.spans, span{from: revision})
		h.spans = h.spans[max(0, len(h.spans)-maxSpans):]
	}
	h.spans[len(h.spans)-1].to = revision
}

// trim drops the oldest changes that are too many. h.mu is held.
func (h *history) trim() {
	over := len(h.events) - historyLen
	if over <= 0 {
		return
	}
	var dropped platform.Revision
	for _, e := range h.events[:over] {
		dropped = platform.Later(dropped, e.Changed) // a list is in the order of keys
	}
	h.events = slices.Clone(h.events[over:])
	h.spans = slices.DeleteFunc(h.spans, func(s span) bool { return dropped.After(s.to) })
	for i := range h.spans {
		h.spans[i].from = platform.Later(h.spans[i].from, dropped)
	}
}

// covers says whether the events after a revision lead from what was known then to what is
// known now. h.mu is held.
func (h *history) covers(revision platform.Revision) bool {
	if h.revision.IsZero() || revision.After(h.revision) {
		return !h.revision.IsZero()
	}
	return slices.ContainsFunc(h.spans, func(s span) bool { return !s.from.After(revision) && !revision.After(s.to) })
}

// gapsAfter says whether they are not all changes since. h.mu is held.
func (h *history) gapsAfter(revision platform.Revision) bool {
	return len(h.spans) > 0 && h.spans[len(h.spans)-1].from.After(revision)
}

// confirm notes that at a time the store was at a revision, up to which all changes are known.
func (h *history) confirm(revision platform.Revision, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.confirmedAt) && revision.Epoch() >= h.revision.Epoch() {
		h.confirmedAt = at
	}
}

// latest is the revision up to which all changes are known.
func (h *history) latest() platform.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision
}

// age is how long ago the store confirmed what is known.
func (h *history) age(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.confirmedAt)
}

// wakeWaiters lets waiting peers look again. h.mu is held.
func (h *history) wakeWaiters() {
	close(h.updated)
	h.updated = make(chan struct{})
}

// excerpt is what a peer gets to know.
type excerpt struct {
	events      []platform.Event
	items       []platform.Item   // all that the store held at revision
	overrides   Overrides         // in spite of that
	version     int               // of both
	storeBehind bool              // some of it the store has lost
	revision    platform.Revision // what the events lead up to
	age         time.Duration     // since the store confirmed it
	removeDelay time.Duration     // for which removals are still delayed; 0 or more
	covered     bool              // the events lead there from the asked revision
	gaps        bool              // they are not all changes since
	updated     <-chan struct{}   // closed when there is more
}

func (h *history) since(now time.Time, revision platform.Revision) excerpt {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := excerpt{
		revision: h.revision, age: now.Sub(h.confirmedAt), covered: h.covers(revision), gaps: h.gapsAfter(revision),
		updated: h.updated, items: h.items, overrides: h.overrides, version: h.version, storeBehind: h.storeBehind, removeDelay: max(0, h.removeAfter.Sub(now)),
	}
	for _, event := range h.events {
		if event.Changed.After(revision) {
			e.events = append(e.events, event)
		}
	}
	return e
}
