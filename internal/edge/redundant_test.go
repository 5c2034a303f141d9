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
