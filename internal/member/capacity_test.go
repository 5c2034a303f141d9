package member

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCapacityDomain reports the bytes that a member sends per second, by the size of its
// failure domain, in virtual time.
func BenchmarkCapacityDomain(b *testing.B) {
	for _, n := range []int{10, 30, 95} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(measure(b, n, 9, 11), "B/s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkCapacityWorld reports the same by the size of the cluster, of which a failure domain has
// 99.
func BenchmarkCapacityWorld(b *testing.B) {
	for _, n := range []int{99, 300, 600, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(measure(b, n, 9, 11), "B/s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkCapacityHeld reports how many members an instance holds, by the size of the cluster.
func BenchmarkCapacityHeld(b *testing.B) {
	for _, n := range []int{99, 300, 1000, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(len(listOf(b, n).Members())), "members")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func listOf(b *testing.B, n int) *List {
	l, err := New(Config{Self: instance(0, 9, 11)}, start)
	if err != nil {
		b.Fatal(err)
	}
	l.MergeListing(start, cluster(n, 9, 11))
	return l
}

// BenchmarkCapacityMemberTick measures the processor time of one Tick, of which there are twenty a
// second, by the size of the cluster.
func BenchmarkCapacityMemberTick(b *testing.B) {
	for _, n := range []int{99, 300, 1000, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := listOf(b, n)
			now := start
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				l.Tick(now)
				for _, m := range l.members {
					m.state, m.suspectBy = 0, time.Time{} // no member answers in this benchmark
				}
			}
		})
	}
}

// BenchmarkCapacityReceive measures the processor time of one ping from a peer, by the size of the
// cluster.
func BenchmarkCapacityReceive(b *testing.B) {
	for _, n := range []int{99, 300, 1000, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := listOf(b, n)
			peer := listOf(b, n)
			peer.self.in = instance(1, 9, 11)
			m := peer.members[l.self.in.ID]
			if m == nil {
				m = &member{in: instance(0, 9, 11)}
			}
			ping := peer.ping(start, m, 1)
			now := start
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if _, err := l.Receive(now, ping); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
