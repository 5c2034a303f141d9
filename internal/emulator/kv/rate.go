package kv

import "time"

// Call is a kind of call.
type Call int

// The kinds of calls, those that write first.
const (
	Swap Call = iota
	Delete
	Acquire
	Release
	Register
	Get
	List
	Watch
	Instances
	calls // number of kinds
)

var callNames = [calls]string{
	"Swap", "Delete", "Acquire", "Release", "Register", "Get", "List", "Watch", "Instances",
}

func (c Call) String() string { return callNames[c] }

func (c Call) writes() bool { return c <= Register }

// Count is what became of the calls of one kind. A waiting watch is one call.
type Count struct {
	Call   Call
	Calls  uint64 // all of them
	Busy   uint64 // refused over the rate
	Failed uint64 // in an outage
	Lost   uint64 // landed while the answer was lost
}

// Counts returns the counts of all kinds, in the order of the kinds.
func (s *Service) Counts() []Count {
	counts := make([]Count, calls)
	for c := range calls {
		counts[c] = s.counts[c]
		counts[c].Call = c
	}
	return counts
}

func (s *Service) bucket(c Call) *bucket {
	if c.writes() {
		return &s.writes
	}
	return &s.reads
}

// bucket is a token bucket that holds one second's worth.
type bucket struct {
	rate   float64   // tokens/s, also the most held
	tokens float64   // held at last; never over rate
	last   time.Time // when tokens was true; never goes back
}

func (b *bucket) take(now time.Time) bool {
	if now.After(b.last) {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.last).Seconds()*b.rate)
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
