//go:build linux

package procs

import (
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/store"
)

// TestChangeInForce checks that a changed document is in force in every instance within
// bound guaranteed by the product, while half of the packets between instances are lost, streams are
// delayed, and the platform drops the answers to some writes.
func TestChangeInForce(t *testing.T) {
	runScenario(t, options{places: []place{{"a", 3, 3}, {"b", 2, 2}, {"c", 2, 2}}}, func(f *fleet) {
		const within = 10 * time.Second // bound guaranteed by the product
		all := f.running()
		f.setFaults(nodeIDs(all), nodeIDs(all), link.Fault{Loss: 0.5})
		l := f.load("change", traffic{home: "a", idempotent: 30, nonIdempotent: 10})
		var version uint64
		var slowest time.Duration
		for i := range 4 {
			if i%2 == 1 {
				f.store.SetFaults(store.Faults{LoseNext: 1})
			}
			began := time.Now()
			version = f.put(all[i], blocksPath, version, blocksDocument(i+1))
			f.awaitVersion(blocksPath, version, all)
			slowest = max(slowest, time.Since(began))
		}
		t.Logf("4 changes in force in %d instances, slowest %s", len(all), slowest.Round(time.Millisecond))
		if slowest > within {
			f.addRetryableFailure("got a change in force after %s, want %s at most", slowest, within)
		}
		f.links.Clear()
		f.awaitReady()
		idempotent, _ := l.stop(t)
		f.requireAllAnswered("idempotent", idempotent)
	})
}
