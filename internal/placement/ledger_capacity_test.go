package placement

import (
	"testing"
	"time"
)

// The cost at the instance that collects: an update with 100,000 objects, each counted since the last.
func BenchmarkCapacityLedger(b *testing.B) {
	l, now := NewLedger(), start
	s := ServiceCounts{Service: 1, Warm: 200 * time.Millisecond}
	for key := range uint64(maxObjects) {
		s.Counts = append(s.Counts, Count{Object{Key: key}, 1})
	}
	for b.Loop() {
		now = now.Add(9 * time.Second)
		l.Add(now, []ServiceCounts{s})
		l.update(now)
	}
}
