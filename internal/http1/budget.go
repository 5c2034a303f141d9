package http1

import "sync/atomic"

// Budget bounds the bytes of bodies that are held for callers and targets, which may read slowly.
// What doesn't fit is refused or passed on in small pieces. It is safe for concurrent use; a nil
// Budget has no bound.
type Budget struct {
	limit int64 // in bytes
	held  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// take adds to the bytes that are held, unless they would exceed the limit.
func (b *Budget) take(n int64) bool {
	if b == nil {
		return true
	}
	for {
		held := b.held.Load()
		if held+n > b.limit {
			return false
		}
		if b.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

// release subtracts from the bytes that are held.
func (b *Budget) release(n int64) {
	if b != nil {
		b.held.Add(-n)
	}
}

// Held returns how many bytes are held; the limit at most.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}
