package loads

import (
	"encoding/binary"
	"sync"
	"time"
)

const (
	// linkShare is the part of its link that a collector fills with answers at most: it also sends
	// the changes of the store to others, which matter more.
	linkShare = 0.25
	// defaultLinkMbps is assumed for a link of unknown bandwidth.
	defaultLinkMbps = 100
	// minLoads is how many load reports an answer may hold in any case.
	minLoads = 32
	// countInterval is over which time messages are counted.
	countInterval = time.Second
)

var (
	loadBytes       = binary.Size(loadEntry{})
	constraintBytes = binary.Size(constraintEntry{})
)

// answerBudget divides what a collector may send among the messages that it answers. An answer that
// doesn't arrive in time is lost as a whole, so that all are shortened rather than some delayed. It
// is safe for concurrent use.
type answerBudget struct {
	bytesPerSecond float64

	mu       sync.Mutex
	until    time.Time // end of the interval in which messages are counted; guarded by mu
	messages int       // in that interval so far; guarded by mu
	last     int       // in the one before; guarded by mu
}

func newAnswerBudget(linkMbps float64) answerBudget {
	if linkMbps <= 0 {
		linkMbps = defaultLinkMbps
	}
	return answerBudget{bytesPerSecond: linkShare * linkMbps * 1e6 / 8}
}

// loads counts a message, and returns how many load reports its answer may hold beside constraints.
func (b *answerBudget) loads(now time.Time, constraints int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !now.Before(b.until) {
		b.last, b.messages = b.messages, 0
		if now.Sub(b.until) >= countInterval {
			b.last = 0
		}
		b.until = now.Add(countInterval)
	}
	b.messages++
	left := b.bytesPerSecond*countInterval.Seconds()/float64(max(b.last, b.messages)) - float64(constraints*constraintBytes)
	return min(max(int(left)/loadBytes, minLoads), maxLoads)
}
