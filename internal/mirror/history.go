package mirror

import (
	"maps"
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
	events    []platform.Event             // by revision; at most historyLen; guarded by mu
	items     []platform.Item              // all that is known; guarded by mu
	floor     platform.Revision            // changes up to here are not kept; guarded by mu
	revision  platform.Revision            // all changes up to here are known; guarded by mu
	ends      map[uint64]platform.Revision // by former epoch, not before floor's: what was known of it; guarded by mu
	confirmed time.Time                    // when the store last said that there are no others; guarded by mu
	settled   time.Time                    // removals are delayed until then, as the store was out of reach; guarded by mu
	grown     chan struct{}                // closed when events come; guarded by mu
}

func newHistory() *history {
	return &history{ends: make(map[uint64]platform.Revision), grown: make(chan struct{})}
}

// add appends changes that lead up to a revision, which the store confirmed at a time.
// items are all that is known then; removals are delayed until settled. Peers that wait
// see all of it at once: an answer with new changes and an old age would be refused.
func (h *history) add(events []platform.Event, items []platform.Item, revision platform.Revision, confirmed, settled time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if confirmed.After(h.confirmed) {
		h.confirmed = confirmed
	}
	h.items, h.settled = items, settled
	first := h.revision.IsZero() && !revision.IsZero()
	if h.revision.IsZero() {
		h.floor = revision // what was there before is for a list
	} else {
		h.events = append(h.events, events...)
	}
	next := platform.Later(h.revision, revision)
	begun := !first && next.Epoch() != h.revision.Epoch()
	if begun {
		h.ends[h.revision.Epoch()] = h.revision
	}
	h.revision = next
	h.trim()
	if len(events) > 0 || first || begun {
		h.wake()
	}
}

// trim drops the oldest changes that are too many. h.mu is held.
func (h *history) trim() {
	over := len(h.events) - historyLen
	if over <= 0 {
		return
	}
	for _, e := range h.events[:over] {
		h.floor = platform.Later(h.floor, e.Changed) // a list is in the order of keys
	}
	h.events = slices.Clone(h.events[over:])
	maps.DeleteFunc(h.ends, func(epoch uint64, _ platform.Revision) bool { return epoch < h.floor.Epoch() })
}

// covers says whether all changes since a revision are kept. Of an earlier epoch that is only
// so up to what was known of it: what a peer knows beyond is lost. h.mu is held.
func (h *history) covers(revision platform.Revision) bool {
	if h.revision.IsZero() || h.floor.After(revision) {
		return false
	}
	end, former := h.ends[revision.Epoch()]
	return revision.Epoch() >= h.revision.Epoch() || former && !revision.After(end)
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
	items    []platform.Item   // all that is known
	revision platform.Revision // what the events lead up to
	age      time.Duration     // since the store confirmed it
	settling time.Duration     // for which removals are still delayed; 0 or more
	known    bool              // the events since the asked revision are all kept
	grown    <-chan struct{}   // closed when there is more
}

func (h *history) since(now time.Time, revision platform.Revision) excerpt {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := excerpt{
		revision: h.revision, age: now.Sub(h.confirmed), known: h.covers(revision),
		grown: h.grown, items: h.items, settling: max(0, h.settled.Sub(now)),
	}
	for _, event := range h.events {
		if event.Changed.After(revision) {
			e.events = append(e.events, event)
		}
	}
	return e
}
