package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/platform"
)

// Entries that came back as they were, while their removal was delayed after an outage of the store,
// were left out as redundant, and their targets were lost for good.
func TestEntryBackBeforeItsRemoval(t *testing.T) {
	tests := map[string]struct {
		backInOutage bool // the removal and the entry come in one batch
	}{
		"after the outage": {false},
		"in the outage":    {true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			target := r.target("good")
			r.configure(1, "s")
			r.report("a", target.address, "n1", "ready", 0, 1)
			r.start()
			r.waitUsable(1)
			r.store.SetFaults(store.Faults{Refuse: true})
			time.Sleep(checkedOutage)
			r.store.Remove(platform.TargetPrefix + "a")
			if tt.backInOutage {
				r.report("a", target.address, "n1", "ready", 0, 1)
			}
			r.store.SetFaults(store.Faults{})
			if !tt.backInOutage {
				r.eventually("the removal is known and delayed", func() bool { return r.node.mirror.Counts().Kept == 1 })
				r.report("a", target.address, "n1", "ready", 0, 1)
			}
			time.Sleep(removalDelayed)
			if got, want := r.send("GET", "/get/x").status, http.StatusOK; got != want {
				t.Errorf("got %d after the removal was due, want %d; %+v", got, want, r.node.targetCounts())
			}
		})
	}
}

const (
	checkedOutage  = 1500 * time.Millisecond // longer than the interval of the checks of the store
	removalDelayed = 3 * time.Second         // longer than removals are delayed after an outage
)

// A target whose entry was removed and written again as it was between two answers of the store was lost.
func TestEntryRemovedAndBackInOneBatch(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	target := r.target("good")
	r.configure(1, "s")
	r.report("a", target.address, "n1", "ready", 0, 1)
	r.start()
	r.waitUsable(1)
	for version := 2; version < 7; version++ {
		r.configure(version, "s")
		r.eventually("the configuration is in force", func() bool { return r.node.configVersion() == uint64(version) })
		// The next watch begins only after a pause, in which changes accumulate.
		r.store.Remove(platform.TargetPrefix + "a")
		r.report("a", target.address, "n1", "ready", 0, 1)
		r.waitKnown()
		r.waitUsable(1)
	}
}

// After a report that came late, the next one was left out as redundant, as the target in use was as it
// said. Whoever took the whole view from this instance got the old state and sent to a leaving target.
func TestLateReportHidesTheNextOne(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	target := r.target("good")
	r.configure(1, "s")
	r.report("a", target.address, "n1", "ready", 0, 1)
	r.start()
	r.waitUsable(1)
	for _, report := range []struct {
		state    string
		sequence int
	}{{"draining", 5}, {"ready", 4}, {"draining", 6}} {
		r.report("a", target.address, "n1", report.state, 0, report.sequence)
		r.waitKnown()
	}
	r.store.SetFaults(store.Faults{Refuse: true})
	r.seeds = []string{r.node.peerAddress}
	follower := r.startInstance("e2", "n1")
	r.eventually("the follower is ready", follower.Ready)
	if got, want := r.sendTo(follower, "", "GET", "/get/x").status, http.StatusServiceUnavailable; got != want {
		t.Errorf("got %d with a leaving target alone, want %d", got, want)
	}
}
