package mirror

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/store"
)

// A delay ends on time, even if nothing else changes meanwhile.
func TestDelayEndsWithoutNews(t *testing.T) {
	t.Run("a key that a restored store has again", func(t *testing.T) {
		t.Parallel()
		fake, first, second, _ := relays(t)
		fake.Put("gone", []byte("1"))
		within(t, changeBound, "the second has the key", func() bool { return second.get("gone") == "1" })
		c := fake.TakeSnapshot()
		fake.Remove("gone")
		within(t, changeBound, "the second has removed it", func() bool { return second.get("gone") == "" })
		restoreAfterOutage(fake, c, func() {})
		for i, out := range []*sink{first, second} {
			within(t, hideDuration+changeBound, fmt.Sprintf("the key is back at %d", i), func() bool { return out.get("gone") == "1" })
		}
	})
	t.Run("a key removed during an outage", func(t *testing.T) {
		t.Parallel()
		fake, first, second, _ := relays(t)
		fake.SetFaults(store.Faults{Refuse: true})
		within(t, 2*changeBound, "the first detects the outage", func() bool { return first.outageCount() > 0 })
		fake.Remove("a")
		fake.SetFaults(store.Faults{})
		within(t, 2*changeBound, "the first detects the recovery", func() bool { return first.recoveryCount() > 0 })
		watches := fake.Calls("/kv-watch")
		for i, out := range []*sink{first, second} {
			within(t, removalDelay+changeBound, fmt.Sprintf("the key is removed at %d", i), func() bool { return out.get("a") == "" })
		}
		if got := fake.Calls("/kv-watch") - watches; got > 4 {
			t.Errorf("got %d watches for one delay, want 4 at most", got)
		}
	})
	t.Run("a key removed during an outage, and then an outage of store and relay", func(t *testing.T) {
		t.Parallel()
		fake, first, second, cut := relays(t)
		fake.SetFaults(store.Faults{Refuse: true})
		within(t, 2*changeBound, "the first detects the outage", func() bool { return first.outageCount() > 0 })
		fake.Remove("a")
		fake.SetFaults(store.Faults{})
		within(t, 2*changeBound, "the first detects the recovery", func() bool { return first.recoveryCount() > 0 })
		time.Sleep(2 * relayWait) // the second has received the removal
		fake.SetFaults(store.Faults{Refuse: true})
		cut()
		for i, out := range []*sink{first, second} {
			within(t, removalDelay+changeBound, fmt.Sprintf("the key is removed at %d", i), func() bool { return out.get("a") == "" })
		}
	})
}
