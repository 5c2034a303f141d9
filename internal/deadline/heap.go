// Package deadline provides a heap of items ordered by deadline.
package deadline

import (
	"container/heap"
	"time"
)

// NotInHeap is the index of an item that is in no heap.
const NotInHeap = -1

// Item is an element of a Heap. Its deadline must not change while it is in the heap.
type Item interface {
	Deadline() time.Time
	// Place returns where the heap stores the item's index; NotInHeap if it is in no heap.
	Place() *int
}

// Heap is a heap of items, the earliest deadline first. Its zero value is empty. It is not safe for
// concurrent use.
type Heap[T Item] struct{ items items[T] }

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// First returns the item with the earliest deadline, if there is one.
func (h *Heap[T]) First() (T, bool) {
	if len(h.items) == 0 {
		var none T
		return none, false
	}
	return h.items[0], true
}

// Due returns the first item if its deadline has passed.
func (h *Heap[T]) Due(now time.Time) (T, bool) {
	first, ok := h.First()
	if !ok || now.Before(first.Deadline()) {
		var none T
		return none, false
	}
	return first, true
}

// Next returns the earliest deadline; zero if there is none.
func (h *Heap[T]) Next() time.Time {
	first, ok := h.First()
	if !ok {
		return time.Time{}
	}
	return first.Deadline()
}

// Push adds an item.
func (h *Heap[T]) Push(x T) { heap.Push(&h.items, x) }

// Pop removes and returns the first item. The heap must not be empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.items).(T) }

// Remove removes an item that is in the heap.
func (h *Heap[T]) Remove(x T) { heap.Remove(&h.items, *x.Place()) }

// items implements heap.Interface.
type items[T Item] []T

func (s items[T]) Len() int           { return len(s) }
func (s items[T]) Less(i, j int) bool { return s[i].Deadline().Before(s[j].Deadline()) }

func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	*s[i].Place(), *s[j].Place() = i, j
}

// Push implements heap.Interface.
func (s *items[T]) Push(x any) {
	item := x.(T)
	*item.Place() = len(*s)
	*s = append(*s, item)
}

// Pop implements heap.Interface.
func (s *items[T]) Pop() any {
	var none T
	last := len(*s) - 1
	item := (*s)[last]
	(*s)[last] = none
	*s = (*s)[:last]
	*item.Place() = NotInHeap
	return item
}
