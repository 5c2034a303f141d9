package http1

import (
	"fmt"
	"sync/atomic"
)

// Budget bounds the memory that is held for what callers, targets and peers send: heads, bodies and
// requests in progress. What doesn't fit is refused or passed on in small pieces. It is safe for
// concurrent use; a nil Budget has no bound.
type Budget struct {
	limit   int64 // in bytes
	reserve int64 // bytes of limit for answers to requests that have been sent
	held    atomic.Int64
}

// reserveShare is the reserve of a budget as a fraction of its limit.
const reserveShare = 0.2

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, reserve: int64(reserveShare * float64(limit))}
}

// NoMemoryError reports that something was not read, as it doesn't fit into the budget.
type NoMemoryError struct{ Bytes int64 }

func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("http1: %d bytes don't fit into the memory for requests", e.Bytes)
}

// take adds to the bytes that are held, unless they would exceed the limit without the reserve.
func (b *Budget) take(n int64) bool { return b == nil || b.takeUpTo(n, b.limit-b.reserve) }

// takeReserved is take for what belongs to a request that may already run: it may use the reserve.
func (b *Budget) takeReserved(n int64) bool { return b == nil || b.takeUpTo(n, b.limit) }

func (b *Budget) takeUpTo(n, limit int64) bool {
	for {
		held := b.held.Load()
		if n > 0 && held+n > limit {
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
