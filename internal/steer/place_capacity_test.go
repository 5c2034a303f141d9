package steer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/placement"
)

// heat has a fleet hear of n objects that keep the service's targets busy for 0.6 of their slots.
func heat(f *Fleet, n int) {
	s := f.services["s"]
	s.reportsLoad, s.warmLatency = true, 100*time.Millisecond
	slots := 0
	for _, t := range s.targets {
		slots += t.Slots
	}
	level := uint8(1)
	for (placement.Load{Level: level}).Work() < 0.6*float64(slots)/float64(n) {
		level++
	}
	b := placement.Batch{First: true, End: true}
	for i := range n {
		b.Loads = append(b.Loads, placement.Load{Service: s.nameHash, Object: placement.Object{Key: hash(fmt.Sprint(i))}, Level: level + uint8(i%5)})
	}
	f.ApplyObjectLoads(b)
}

// The cost of a choice with planned homes, as against BenchmarkCapacityPick.
func BenchmarkCapacityPickPlanned(b *testing.B) {
	for _, n := range []int{12, 100, 300, 1000, 10_000} {
		for _, planned := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/planned=%t", n, planned), func(b *testing.B) {
				f := newBenchFleet(b, n, 0)
				if planned {
					heat(f, 500)
					for i := range 60 {
						f.PlaceObjects(start.Add(time.Duration(i-60) * time.Second))
					}
				}
				benchmarkPick(b, f)
			})
		}
	}
}

// The cost of an update of a plan of 100,000 objects at 10,000 targets, at first with all objects to be
// ranked, and the memory of the plan.
func BenchmarkCapacityPlan(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newBenchFleet(b, 10_000, 0)
			before := heapBytes()
			heat(f, n)
			now := start
			for range 2 * n / 1000 {
				now = now.Add(time.Minute)
				f.PlaceObjects(now)
			}
			held := float64(heapBytes()-before) / (1 << 20)
			for b.Loop() {
				now = now.Add(time.Minute)
				f.PlaceObjects(now)
			}
			b.ReportMetric(held, "MB")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
