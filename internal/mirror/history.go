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
	mu        sync.Mutex
	events    []platform.Event  // by revision; at most historyLen; guarded by mu
	items     []platform.Item   // all that the store held at revision; guarded by mu
	beliefs   Beliefs           // in spite of that; guarded by mu
	version   int               // counts the changes of both; guarded by mu
	ahead     bool              // some of it the store has lost; guarded by mu
	revision  platform.Revision // all changes up to here are known; guarded by mu
	spans     []span            // in their order, mostSpans at most; the last ends at revision; guarded by mu
	confirmed time.Time         // when the store last said that there are no others; guarded by mu
	settled   time.Time         // removals are delayed until then, as the store was out of reach; guarded by mu
	grown     chan struct{}     // closed when events come; guarded by mu
}

// mostSpans bounds the spans that are kept: a new one begins with each list after a watch that
// failed.
const mostSpans = 64

// span is a row of revisions of which all changes are kept. Between two spans some may be
// missing: a list does not show what was written and removed since the one before.
type span struct {
	from, to platform.Revision // the changes after from, up to to
}

func newHistory() *history { return &history{grown: make(chan struct{})} }

// growth is what is added to a history.
type growth struct {
	events    []platform.Event
	revision  platform.Revision // that they lead up to
	confirmed time.Time         // when the store said so; zero if it did not
	gaps      bool              // the events are not all changes up to the revision
	changed   bool              // the copy has changed by other things than events
}

// add appends a growth, after which the copy is c. Peers that wait see all of it at once: an
// answer with new changes and an old age would be refused.
func (h *history) add(g growth, c *Copy) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g.confirmed.After(h.confirmed) {
		h.confirmed = g.confirmed
	}
	h.settled, h.ahead = c.settled, c.Ahead()
	next := platform.Later(h.revision, g.revision)
	begun := next.Epoch() != h.revision.Epoch() || h.revision.IsZero() && !next.IsZero()
	if !h.revision.IsZero() {
		h.events = append(h.events, g.events...) // what was there before is for a list
	}
	if next != h.revision {
		h.reach(next, g.gaps)
	}
	h.trim()
	if g.changed || begun || len(g.events) > 0 {
		h.items, h.beliefs = c.Items(), c.Beliefs()
		h.version++
	}
	if begun || len(g.events) > 0 {
		h.wake()
	}
}

// reach notes that changes are known up to a revision, all of them or with gaps. h.mu is held.
func (h *history) reach(revision platform.Revision, gaps bool) {
	h.revision = revision
	if gaps || len(h.spans) == 0 {
		h.spans = append(h.spans, span{from: revision})
		h.spans = h.spans[max(0, len(h.spans)-mostSpans):]
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
	if at.After(h.confirmed) && revision.Epoch() >= h.revision.Epoch() {
		h.confirmed = at
	}
}

// at is the revision up to which all changes are known.
func (h *history) at() platform.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision
}

// age is how long ago the store confirmed what is known.
func (h *history) age(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.confirmed)
}

// wake lets waiting peers look again. h.mu is held.
func (h *history) wake() {
	close(h.grown)
	h.grown = make(chan struct{})
}

// excerpt is what a peer gets to know.
type excerpt struct {
	events   []platform.Event
	items    []platform.Item   // all that the store held at revision
	beliefs  Beliefs           // in spite of that
	version  int               // of both
	ahead    bool              // some of it the store has lost
	revision platform.Revision // what the events lead up to
	age      time.Duration     // since the store confirmed it
	settling time.Duration     // for which removals are still delayed; 0 or more
	known    bool              // the events lead there from the asked revision
	gaps     bool              // they are not all changes since
	grown    <-chan struct{}   // closed when there is more
}

func (h *history) since(now time.Time, revision platform.Revision) excerpt {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := excerpt{
		revision: h.revision, age: now.Sub(h.confirmed), known: h.covers(revision), gaps: h.gapsAfter(revision),
		grown: h.grown, items: h.items, beliefs: h.beliefs, version: h.version, ahead: h.ahead, settling: max(0, h.settled.Sub(now)),
	}
	for _, event := range h.events {
		if event.Changed.After(revision) {
			e.events = append(e.events, event)
		}
	}
	return e
}
