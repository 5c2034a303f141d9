package queue

import (
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// Item is a request that waits. The queue holds no more of it than this.
type Item struct {
	ID       uint64 // unique among the items that wait
	Service  settings.ServiceID
	Bulk     bool
	Way      Way
	Deadline time.Time // by which its answer must be complete
}

// VerdictKind says whether a request may wait.
type VerdictKind uint8

// Kinds of verdict. All but VerdictQueued are final: the request was not run.
const (
	VerdictQueued    VerdictKind = iota + 1
	VerdictFull                  // the queue, or its team's part of it, is at its length
	VerdictLate                  // its deadline can't be met as things go
	VerdictExpired               // its deadline has passed already
	VerdictDuplicate             // an item with its ID waits
)

// String returns a word for logs and the wire's reason.
func (k VerdictKind) String() string {
	switch k {
	case VerdictQueued:
		return "queued"
	case VerdictFull:
		return "full"
	case VerdictLate:
		return "late"
	case VerdictExpired:
		return "expired"
	case VerdictDuplicate:
		return "duplicate"
	default:
		return "none"
	}
}

// Verdict is Push's answer.
type Verdict struct {
	Kind    VerdictKind
	Start   time.Time // when a slot is expected
	RetryAt time.Time // of VerdictFull and VerdictLate: when to come back
}

// entry is an item in its lane and in the heap of last starts.
type entry struct {
	item       Item
	seq        uint64    // order of arrival
	last       time.Time // from which it isn't started any more; never after its deadline
	prev, next *entry    // in its lane
	lane       *lane
	place      int // in the heap of last starts
}

// lane is a first-in first-out list. Its zero value is empty.
type lane struct {
	head, tail *entry
	line       *line // that it belongs to
}

func (l *lane) push(e *entry) {
	e.lane = l
	e.prev = l.tail
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.next = e
	}
	l.tail = e
}

func (l *lane) remove(e *entry) {
	if e.prev == nil {
		l.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
}

// Deadline is for deadline.Heap.
func (e *entry) Deadline() time.Time { return e.last }

// Place is for deadline.Heap.
func (e *entry) Place() *int { return &e.place }
