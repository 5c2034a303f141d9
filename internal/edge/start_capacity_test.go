package edge

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/firlever/firlever/platform"
)

// fillStore writes registrations and instances' records of a large deployment.
func (r *rig) fillStore(targets, instances int) {
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range targets {
		r.store.Put(fmt.Sprintf("%si-%010x", platform.TargetPrefix, rng.Uint64()>>24), fmt.Appendf(nil,
			`{"address":"10.%d.%d.%d:8080","info":{"service":"s%d","version":"v1","zone":"n1","capacity":8},"status":{"state":"ready","sequence":%d,"warmup_left":"0ms"}}`,
			100+i>>16, i>>8&255, i&255, i%3, 1+i%9))
	}
	for i := range instances {
		r.store.Put(fmt.Sprintf("%sedge-n1-%04d", instancePrefix, i), fmt.Appendf(nil,
			`{"callers":"10.0.%d.%d:8548","peers":"10.0.%d.%d:8544","domain":"n1","region":"north","leaving":false,"cores":0.16,"link":20,"run":1764777600000000000}`,
			i>>8, i&255, i>>8, i&255))
	}
}

// BenchmarkCapacityStart measures the start of an instance that reads a large store, until it is
// ready: what it allocates, and what it holds afterwards.
func BenchmarkCapacityStart(b *testing.B) {
	for _, n := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRig(b)
			r.configure(1, "s0")
			r.fillStore(n, n/10)
			var before, after, held runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				r.start()
			}
			runtime.ReadMemStats(&after)
			runtime.GC()
			runtime.ReadMemStats(&held)
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/(1<<20), "MB-allocated")
			b.ReportMetric(float64(held.HeapAlloc-before.HeapAlloc)/(1<<20), "MB-held")
		})
	}
}
