package member

import (
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/firlever/firlever/internal/wire"
)

const (
	maxQueued     = 256 // members that there is news of at once
	maxUpdateBytes = 200 // of queued news in one packet
	spreadFactor       = 2   // an item is sent this many times log2 of the domain's size
)

// queuedUpdate is news of one member that is still to be passed on.
type queuedUpdate struct {
	id   string
	sentInPlace int  // times sent within the place
	sentInDomain  int  // times sent to the rest of the domain
	withAddresses bool // with addresses
}

// updateQueue holds news to pass on, at most one item for each member.
type updateQueue struct{ items []*queuedUpdate }

// put puts news of a member in, in place of older news of it. A full queue
// drops the item that was sent most often.
func (q *updateQueue) put(id string, full bool) {
	q.drop(id)
	if len(q.items) >= maxQueued {
		q.items = slices.Delete(q.items, len(q.items)-1, len(q.items))
	}
	q.items = slices.Insert(q.items, 0, &queuedUpdate{id: id, withAddresses: full})
}

func (q *updateQueue) drop(id string) {
	q.items = slices.DeleteFunc(q.items, func(i *queuedUpdate) bool { return i.id == id })
}

// next picks items for one packet, least sent first, and counts the sending.
func (q *updateQueue) next(l *List, near bool) []*wire.News {
	limit := spreadFactor * bits.Len(uint(len(l.domainMembers)+1))
	slices.SortStableFunc(q.items, func(a, b *queuedUpdate) int { return a.timesSent(near) - b.timesSent(near) })
	var picked []*wire.News
	size := 0
	for _, i := range q.items {
		if i.timesSent(near) >= limit {
			continue
		}
		n := i.message(l)
		if size += proto.Size(n) + updateOverhead; size > maxUpdateBytes {
			break
		}
		picked = append(picked, n)
		i.countSent(near)
	}
	q.items = slices.DeleteFunc(q.items, func(i *queuedUpdate) bool {
		return (i.sentInPlace >= limit || l.placeSize == 0) && (i.sentInDomain >= limit || len(l.domainMembers) == l.placeSize)
	})
	return picked
}

// updateOverhead is the field's tag and length, in bytes.
const updateOverhead = 3

func (i *queuedUpdate) timesSent(near bool) int {
	if near {
		return i.sentInPlace
	}
	return i.sentInDomain
}

func (i *queuedUpdate) countSent(near bool) {
	if near {
		i.sentInPlace++
		return
	}
	i.sentInDomain++
}

func (i *queuedUpdate) message(l *List) *wire.News {
	if m, ok := l.members[i.id]; ok {
		return m.update(i.withAddresses)
	}
	return l.self.update(i.withAddresses)
}
