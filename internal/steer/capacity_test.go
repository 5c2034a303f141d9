package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/notice"
	"github.com/firlever/firlever/internal/routes"
)

// The cost of a choice grows with the number of the service's targets.
func BenchmarkCapacityPick(b *testing.B) {
	for _, n := range []int{12, 100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkPick(b, newBenchFleet(b, n, 0)) })
	}
}

// Measures the cost of a choice if all targets have limits and there are many instances.
func BenchmarkCapacityPickLimited(b *testing.B) {
	for _, n := range []int{12, 100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newBenchFleet(b, n, 2*n)
			for _, t := range f.targets {
				f.ApplyNotice(start, t.Target, start, notice.Notice{Limit: 5, HasLimit: true}, true)
			}
			benchmarkPick(b, f)
		})
	}
}

// Measures the cost of a choice if all targets report their load and the service is short of room.
func BenchmarkCapacityPickShort(b *testing.B) {
	for _, n := range []int{12, 100, 300, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newBenchFleet(b, n, 0)
			for _, t := range f.targets {
				f.recordOwnLoad(start, t, Load{Running: t.Slots, Waiting: t.Slots})
				t.otherLoadUntil = start.Add(24 * time.Hour)
			}
			f.services["s"].reportedAt = start.Add(24 * time.Hour)
			benchmarkPick(b, f)
		})
	}
}

// newBenchFleet returns a fleet with the given numbers of targets and of other instances.
func newBenchFleet(b *testing.B, targets, others int) *Fleet {
	b.Helper()
	f, err := New(config("a", "n1"))
	if err != nil {
		b.Fatal(err)
	}
	f.SetServices(start, map[string]routes.Service{"s": {Name: "s"}})
	peers := []string{"a"}
	for i := range others {
		peers = append(peers, fmt.Sprintf("i%04d", i))
	}
	f.SetPeers(start, peers)
	domains := []string{"n1", "n2", "s1", "s2"}
	for i := range targets {
		f.Put(start, Target{ID: fmt.Sprintf("t%04d", i), Service: "s", Domain: domains[i%4], Slots: 8})
	}
	return f
}

// benchmarkPick measures Pick at a thousand requests per second.
func benchmarkPick(b *testing.B, f *Fleet) {
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		q := query(fmt.Sprint(i % 500))
		q.Deadline = now.Add(time.Second)
		if c := f.Pick(now, q); c.Reason == "" {
			f.Done(now, c.Target, Outcome{Ending: Answered, Took: 100 * time.Millisecond})
		}
	}
}
