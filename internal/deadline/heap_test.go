package deadline

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

type item struct {
	at    time.Time
	index int
}

func (i *item) Deadline() time.Time { return i.at }
func (i *item) Place() *int         { return &i.index }

func TestHeapAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Heap[*item]
		held := map[*item]bool{}
		earliest := func() time.Time {
			var first time.Time
			for i := range held {
				if first.IsZero() || i.at.Before(first) {
					first = i.at
				}
			}
			return first
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch first, ok := h.First(); {
			case !ok || rapid.Bool().Draw(t, "push"):
				x := &item{at: time.Unix(rapid.Int64Range(1, 20).Draw(t, "at"), 0)}
				h.Push(x)
				held[x] = true
			case rapid.Bool().Draw(t, "remove"):
				x := h.items[rapid.IntRange(0, h.Len()-1).Draw(t, "which")]
				h.Remove(x)
				delete(held, x)
				if x.index != NotInHeap {
					t.Fatalf("got index %d after removal", x.index)
				}
			default:
				if got := h.Pop(); got != first || !got.at.Equal(earliest()) {
					t.Fatalf("got %v, want the earliest, %v", got.at, earliest())
				}
				delete(held, first)
			}
			if h.Len() != len(held) {
				t.Fatalf("got %d items, want %d", h.Len(), len(held))
			}
		}
	})
}
