//go:build linux

package procs

import (
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
)

// detectionTime is within which time an instance must know that it reaches no target, also behind
// proxies that accept connections: no target has answered for 3 s then, probes of its own targets come
// once a second and take half a second, and a check as long again.
const detectionTime = 6 * time.Second

// TestPartitionFromTargets partitions one of three instances of a place from all targets. Its callers
// must be served all the same, and by its own targets again afterwards.
func TestPartitionFromTargets(t *testing.T) {
	tests := map[string]link.Fault{"refused": {Refuse: true}, "silent": {Partition: true}, "new connections": {RefuseNew: true}}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			runScenario(t, options{places: []place{{"a", 3, 6}}}, func(f *fleet) {
				cut := f.nodesIn("a")[0]
				var names []string
				for _, tg := range f.targets["a"] {
					names = append(names, tg.Config().Name)
				}
				before := f.load("before", traffic{home: "a", idempotent: 30})
				time.Sleep(500 * time.Millisecond)
				before.stop(t)
				f.setFaults([]string{cut.id}, names, fault)
				detecting := f.load("detecting", traffic{home: "a", idempotent: 30, timeout: 2 * time.Second, reachable: []*node{cut}})
				time.Sleep(detectionTime)
				detecting.stop(t)
				during := f.load("during", traffic{home: "a", idempotent: 40, nonIdempotent: 20, reachable: []*node{cut}})
				time.Sleep(3 * time.Second)
				idempotent, nonIdempotent := during.stop(t)
				f.requireAllAnswered("idempotent", idempotent)
				f.requireAllAnswered("non-idempotent", nonIdempotent)
				f.setFaults([]string{cut.id}, names, link.Fault{})
				f.awaitReady()
				f.awaitRecovery()
			})
		})
	}
}
