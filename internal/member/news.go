package member

import (
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/firlever/firlever/internal/wire"
)

const (
	maxQueue     = 256 // members that there is news of at once
	maxNewsBytes = 200 // of queued news in one packet
	spread       = 2   // an item is sent this many times log2 of the domain's size
)

// item is news of one member that is still to be passed on.
type item struct {
	id   string
	near int  // times sent within the place
	far  int  // times sent to the rest of the domain
	full bool // with addresses
}

// queue holds news to pass on, at most one item for each member.
type queue struct{ items []*item }

// add puts news of a member in, in place of older news of it. A full queue
// drops the item that was sent most often.
func (q *queue) add(id string, full bool) {
	q.drop(id)
	if len(q.items) >= maxQueue {
		q.items = slices.Delete(q.items, len(q.items)-1, len(q.items))
	}
	q.items = slices.Insert(q.items, 0, &item{id: id, full: full})
}

func (q *queue) drop(id string) {
	q.items = slices.DeleteFunc(q.items, func(i *item) bool { return i.id == id })
}

// take picks items for one packet, least sent first, and counts the sending.
func (q *queue) take(l *List, near bool) []*wire.News {
	limit := spread * bits.Len(uint(len(l.local)+1))
	slices.SortStableFunc(q.items, func(a, b *item) int { return a.sent(near) - b.sent(near) })
	var picked []*wire.News
	size := 0
	for _, i := range q.items {
		if i.sent(near) >= limit {
			continue
		}
		n := i.news(l)
		if size += proto.Size(n) + newsOverhead; size > maxNewsBytes {
			break
		}
		picked = append(picked, n)
		i.count(near)
	}
	q.items = slices.DeleteFunc(q.items, func(i *item) bool {
		return (i.near >= limit || l.place == 0) && (i.far >= limit || len(l.local) == l.place)
	})
	return picked
}

// newsOverhead is the field's tag and length, in bytes.
const newsOverhead = 3

func (i *item) sent(near bool) int {
	if near {
		return i.near
	}
	return i.far
}

func (i *item) count(near bool) {
	if near {
		i.near++
		return
	}
	i.far++
}

func (i *item) news(l *List) *wire.News {
	if m, ok := l.members[i.id]; ok {
		return m.news(i.full)
	}
	return l.self.news(i.full)
}
