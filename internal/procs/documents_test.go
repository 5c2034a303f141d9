//go:build linux

package procs

import (
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/store"
)

// TestChangeInForce: a changed document is in force in every instance in time,
// while half of the packets between instances are lost, and streams are late.
func TestChangeInForce(t *testing.T) {
	scenario(t, options{places: []place{{"a", 3, 3}, {"b", 2, 2}, {"c", 2, 2}}}, func(f *fleet) {
		const within = 10 * time.Second // the product's bound
		all := f.running()
		f.between(ids(all), ids(all), link.Fault{Loss: 0.5})
		l := f.load("change", traffic{home: "a", idempotent: 30, once: 10})
		var version uint64
		var slowest time.Duration
		for i := range 4 {
			if i%2 == 1 {
				f.store.SetFaults(store.Faults{LoseNext: 1})
			}
			began := time.Now()
			version = f.put(all[i], blocksPath, version, blocks(i+1))
			f.awaitVersion(blocksPath, version, all)
			slowest = max(slowest, time.Since(began))
		}
		t.Logf("4 changes in force in %d instances, the slowest after %s", len(all), slowest.Round(time.Millisecond))
		if slowest > within {
			f.doubt("got a change in force after %s, want %s at most", slowest, within)
		}
		f.links.Clear()
		f.settled()
		idempotent, _ := l.stop(t)
		f.none("idempotent", idempotent)
	})
}
