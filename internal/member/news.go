package member

import (
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/firlever/firlever/internal/wire"
)

const (
	maxQueued      = 256 // members with a queued update
	maxUpdateBytes = 200 // bytes of queued updates in one packet
	spreadFactor   = 2   // an update is sent this many times log2 of the domain's size
)

// queuedUpdate is an update about one member that is still being disseminated.
type queuedUpdate struct {
	id            string
	sentInPlace   int // times sent within the place
	sentInDomain  int // times sent to the rest of the domain
	withAddresses bool
}

// updateQueue holds the updates to disseminate, at most one per member.
type updateQueue struct{ items []*queuedUpdate }

// put queues an update about a member and replaces an older one. A full queue drops the update that
// was sent most often.
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

// next returns the updates for one packet, least sent first, and counts them as sent.
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

// updateOverhead is the size of the field's tag and length, in bytes.
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
