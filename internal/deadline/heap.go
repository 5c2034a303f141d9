// Package deadline keeps items in the order of their deadlines.
package deadline

import (
	"container/heap"
	"time"
)

// Absent is the place of an item that is in no heap.
const Absent = -1

// Item is what a Heap holds. Its deadline must not change while it is held.
type Item interface {
	Deadline() time.Time
	// Place is where the heap keeps the item's index; Absent outside of it.
	Place() *int
}

// Heap holds items, the earliest deadline first. Its zero value is empty. It is
// not safe for concurrent use.
type Heap[T Item] struct{ items items[T] }

// Len is the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// First is the item with the earliest deadline, if there is one.
func (h *Heap[T]) First() (T, bool) {
	if len(h.items) == 0 {
		var none T
		return none, false
	}
	return h.items[0], true
}

// Due is the first item if its deadline has come.
func (h *Heap[T]) Due(now time.Time) (T, bool) {
	first, ok := h.First()
	if !ok || now.Before(first.Deadline()) {
		var none T
		return none, false
	}
	return first, true
}

// Next is the earliest deadline; zero if there is none.
func (h *Heap[T]) Next() time.Time {
	first, ok := h.First()
	if !ok {
		return time.Time{}
	}
	return first.Deadline()
}

// Push adds an item.
func (h *Heap[T]) Push(x T) { heap.Push(&h.items, x) }

// Pop takes out the first item. The heap must not be empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.items).(T) }

// Remove takes out an item that the heap holds.
func (h *Heap[T]) Remove(x T) { heap.Remove(&h.items, *x.Place()) }

// items is the heap as container/heap wants it.
type items[T Item] []T

func (s items[T]) Len() int           { return len(s) }
func (s items[T]) Less(i, j int) bool { return s[i].Deadline().Before(s[j].Deadline()) }

func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	*s[i].Place(), *s[j].Place() = i, j
}

// Push is for container/heap.
func (s *items[T]) Push(x any) {
	item := x.(T)
	*item.Place() = len(*s)
	*s = append(*s, item)
}

// Pop is for container/heap.
func (s *items[T]) Pop() any {
	var none T
	last := len(*s) - 1
	item := (*s)[last]
	(*s)[last] = none
	*s = (*s)[:last]
	*item.Place() = Absent
	return item
}
