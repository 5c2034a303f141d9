package mirror

import (
	"slices"
	"sync"
	"time"

	"github.com/firlever/firlever/platform"
)

// Changes that are kept for peers: minHistory, or as many as there are items in the store. When all
// targets of a deployment register within seconds, a peer that is some seconds behind still finds the
// ones that it lacks, and need not be sent the whole view.
const (
	minHistory = 2000
	// trimParts: one in this many changes more are kept until the oldest are dropped.
	trimParts = 4
)

// history holds the last changes for the peers that follow this mirror. It is safe for concurrent
// use.
type history struct {
	mu          sync.Mutex
	events      []platform.Event  // in order of their revisions; one part in trimParts above most at most; guarded by mu
	ahead       []platform.Event  // known ones after revision; guarded by mu
	most        int               // how many events are kept; guarded by mu
	version     int               // counts the changes of the view; guarded by mu
	storeBehind bool              // the store has lost a part of the view; guarded by mu
	revision    platform.Revision // all changes up to here are known; guarded by mu
	spans       []span            // in ascending order, at most maxSpans; the last ends at revision; guarded by mu
	confirmedAt time.Time         // when the store last confirmed that there are no further changes; guarded by mu
	removeAfter time.Time         // removals are delayed until then, after an outage of the store; guarded by mu
	followUntil time.Time         // peers may wait for changes until then although the data is old, as more are on the way; guarded by mu
	updated     chan struct{}     // closed when events are added; guarded by mu
}

// maxSpans bounds the spans that are kept: a list after a failed watch begins a new one.
const maxSpans = 64

// span is a range of revisions of which all changes are kept. Between two spans some may be
// missing: a list does not show what was written and removed again since the list before.
type span struct {
	from, to platform.Revision // covers the changes after from, up to and including to
}

func newHistory() *history { return &history{updated: make(chan struct{})} }

// batch is a set of changes that is added to a history.
type batch struct {
	events      []platform.Event
	revision    platform.Revision // the revision that the events lead up to
	confirmedAt time.Time         // when the store confirmed it; zero if it did not
	gaps        bool              // the events aren't all changes up to the revision
	followUntil time.Time         // until when more changes are expected; zero if the revision is the latest
	changed     bool              // the view has changed otherwise than by the events
}

// add appends a batch, after which the replica is c. Waiting peers observe all of it at once: an
// answer with new changes and an old age would be rejected.
func (h *history) add(g batch, c *Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g.confirmedAt.After(h.confirmedAt) {
		h.confirmedAt = g.confirmedAt
	}
	h.removeAfter, h.storeBehind = c.removeAfter, c.StoreBehind()
	if !g.revision.IsZero() {
		h.followUntil = g.followUntil
	}
	next := platform.Later(h.revision, g.revision)
	begun := next.Epoch() != h.revision.Epoch() || h.revision.IsZero() && !next.IsZero()
	due := h.due(next, g.events)
	if !h.revision.IsZero() {
		h.events = append(h.events, due...) // earlier changes are left to a list
	}
	if next != h.revision {
		h.advance(next, g.gaps)
	}
	h.most = max(minHistory, len(c.stored))
	h.trim()
	if g.changed || begun || len(g.events) > 0 {
		h.version++
	}
	if begun || len(due) > 0 {
		h.wakeWaiters()
	}
}

// due returns the events of a batch and those held back, up to a revision, in the order of the store.
// A list and a whole view hold some changes after theirs, without those between. Peers get them with
// these; what the store sends of them again may be left out as redundant. h.mu is held.
func (h *history) due(revision platform.Revision, events []platform.Event) (due []platform.Event) {
	var ahead []platform.Event
	if len(h.ahead) > 0 && revision.Epoch() == h.revision.Epoch() {
		events = slices.Concat(h.ahead, events)
		slices.SortStableFunc(events, func(a, b platform.Event) int { return a.Changed.Compare(b.Changed) })
	}
	for _, e := range events {
		if e.Changed.After(revision) {
			ahead = append(ahead, e)
		} else {
			due = append(due, e)
		}
	}
	h.ahead = ahead
	return due
}

// advance records that changes are known up to a revision, with gaps or without. h.mu is held.
func (h *history) advance(revision platform.Revision, gaps bool) {
	h.revision = revision
	if gaps || len(h.spans) == 0 {
		h.spans = append(h.spans, span{from: revision})
		h.spans = h.spans[max(0, len(h.spans)-maxSpans):]
	}
	h.spans[len(h.spans)-1].to = revision
}

// trim drops the oldest changes beyond most. h.mu is held.
func (h *history) trim() {
	over := len(h.events) - h.most
	if over <= h.most/trimParts {
		return // what is kept is copied, so it is trimmed seldom
	}
	var dropped platform.Revision
	for _, e := range h.events[:over] {
		dropped = platform.Later(dropped, e.Changed) // the events of a list are in order of their keys
	}
	h.events = slices.Clone(h.events[over:])
	h.spans = slices.DeleteFunc(h.spans, func(s span) bool { return dropped.After(s.to) })
	for i := range h.spans {
		h.spans[i].from = platform.Later(h.spans[i].from, dropped)
	}
}

// covers reports whether the kept events after a revision lead from the view at that revision to
// the current one. h.mu is held.
func (h *history) covers(revision platform.Revision) bool {
	if h.revision.IsZero() || revision.After(h.revision) {
		return !h.revision.IsZero()
	}
	return slices.ContainsFunc(h.spans, func(s span) bool { return !s.from.After(revision) && !revision.After(s.to) })
}

// leadsOnFrom reports whether a peer that has the view at a revision can be sent the changes since.
func (h *history) leadsOnFrom(revision platform.Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return revision.Epoch() == h.revision.Epoch() && h.covers(revision)
}

// gapsAfter reports whether the kept events after a revision may lack some changes. h.mu is held.
func (h *history) gapsAfter(revision platform.Revision) bool {
	return len(h.spans) > 0 && h.spans[len(h.spans)-1].from.After(revision)
}

// confirm records that at a time the store was at a revision up to which all changes are known. Before
// the store has been read, none are.
func (h *history) confirm(revision platform.Revision, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.revision.IsZero() && at.After(h.confirmedAt) && revision.Epoch() >= h.revision.Epoch() {
		h.confirmedAt = at
	}
}

// latest returns the revision up to which all changes are known.
func (h *history) latest() platform.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision
}

// isCatchingUp reports whether more changes are on the way.
func (h *history) isCatchingUp(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.followUntil)
}

// confirmed returns when the store confirmed what is known.
func (h *history) confirmed() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmedAt
}

// age returns how long ago the store confirmed what is known.
func (h *history) age(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.confirmedAt)
}

// wakeWaiters wakes the waiting peers. h.mu is held.
func (h *history) wakeWaiters() {
	close(h.updated)
	h.updated = make(chan struct{})
}

// excerpt is the part of a history that is sent to a peer.
type excerpt struct {
	events      []platform.Event
	items       []platform.Item   // all that the store held at revision; set by view.excerpt unless covered
	overrides   Overrides         // differences of the view from items; set with them
	version     int               // of the view
	storeBehind bool              // the store has lost a part of the view
	revision    platform.Revision // the revision that the events lead up to
	latest      platform.Revision // up to which all changes are known; after revision if more follow
	confirmedAt time.Time         // when the store confirmed that there is nothing after latest
	removeDelay time.Duration     // how long removals are still delayed; 0 or more
	covered     bool              // the events lead from the requested revision to this one
	gaps        bool              // the events aren't all changes since
	catchingUp  bool              // more changes are on the way
	updated     <-chan struct{}   // closed when events are added
}

// partial reports whether more changes follow those of the excerpt.
func (e excerpt) partial() bool { return e.latest != e.revision }

// maxAnswerChanges bounds the changes in an answer. A peer that is far behind gets them in several
// answers, each of which arrives in time.
const maxAnswerChanges = 1000

// bounded returns the excerpt with its first changes only if there are too many for an answer.
func (e excerpt) bounded() excerpt {
	if !e.covered || e.gaps || len(e.events) <= maxAnswerChanges {
		return e
	}
	n := maxAnswerChanges
	for n < len(e.events) && e.events[n].Changed == e.events[n-1].Changed {
		n++ // of one transaction
	}
	e.events = e.events[:n]
	e.revision = e.events[n-1].Changed
	return e
}

func (h *history) since(now time.Time, revision platform.Revision) excerpt {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := excerpt{
		revision: h.revision, latest: h.revision, confirmedAt: h.confirmedAt, covered: h.covers(revision), gaps: h.gapsAfter(revision),
		catchingUp: now.Before(h.followUntil), updated: h.updated, version: h.version, storeBehind: h.storeBehind, removeDelay: max(0, h.removeAfter.Sub(now)),
	}
	for _, event := range h.events {
		if event.Changed.After(revision) {
			e.events = append(e.events, event)
		}
	}
	return e
}
