package queue

import (
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// Item is all that the queue stores of a waiting request.
type Item struct {
	ID        uint64 // unique among the waiting items
	Service   settings.ServiceID
	Bulk      bool
	Placement Placement
	Deadline  time.Time // by which its answer must be complete
}

// VerdictKind is the outcome of Push.
type VerdictKind uint8

// Kinds of verdict. All but VerdictQueued are final: the request was not run.
const (
	VerdictQueued    VerdictKind = iota + 1
	VerdictFull                  // the queue, or its team's part of it, is full
	VerdictLate                  // its deadline can't be met at the current rate
	VerdictExpired               // its deadline has passed already
	VerdictDuplicate             // an item with the same ID is waiting
)

// String returns the name used in logs and in the wire's reason.
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

// Verdict is the result of Push.
type Verdict struct {
	Kind    VerdictKind
	Start   time.Time // when a slot is expected
	RetryAt time.Time // of VerdictFull and VerdictLate: when to retry
}

// entry is an item in its lane and in the heap of latest start times.
type entry struct {
	item        Item
	seq         uint64    // order of arrival
	startBefore time.Time // it is not started from then on; never after its deadline
	prev, next  *entry    // in its lane
	lane        *lane
	heapIndex   int // in the heap of latest start times
}

// lane is a FIFO list. Its zero value is empty.
type lane struct {
	head, tail *entry
	queue      *serviceQueue // to which the lane belongs
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

// Deadline implements deadline.Item.
func (e *entry) Deadline() time.Time { return e.startBefore }

// Place implements deadline.Item.
func (e *entry) Place() *int { return &e.heapIndex }
