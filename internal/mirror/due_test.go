package mirror

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/store"
)

// A delay ends in time, though nothing else changes.
func TestDelayEndsWithoutNews(t *testing.T) {
	t.Run("a key that a store from a copy has again", func(t *testing.T) {
		t.Parallel()
		fake, first, second, _ := relays(t)
		fake.Put("gone", []byte("1"))
		within(t, changeBound, "the second knows it", func() bool { return second.get("gone") == "1" })
		c := fake.Copy()
		fake.Remove("gone")
		within(t, changeBound, "the second knows that it went", func() bool { return second.get("gone") == "" })
		restoreAfterOutage(fake, c, func() {})
		for i, out := range []*sink{first, second} {
			within(t, hideDuration+changeBound, fmt.Sprintf("it is back at %d", i), func() bool { return out.get("gone") == "1" })
		}
	})
	t.Run("a key that went in an outage", func(t *testing.T) {
		t.Parallel()
		fake, first, second, _ := relays(t)
		fake.SetFaults(store.Faults{Refuse: true})
		within(t, 2*changeBound, "the first has lost the store", func() bool { return first.losses() > 0 })
		fake.Remove("a")
		fake.SetFaults(store.Faults{})
		within(t, 2*changeBound, "the first has found it", func() bool { return first.finds() > 0 })
		watches := fake.Calls("/kv-watch")
		for i, out := range []*sink{first, second} {
			within(t, removalDelay+changeBound, fmt.Sprintf("it is gone at %d", i), func() bool { return out.get("a") == "" })
		}
		if got := fake.Calls("/kv-watch") - watches; got > 4 {
			t.Errorf("got %d watches for one delay, want 4 at most", got)
		}
	})
	t.Run("a key that went in an outage, and another outage of all", func(t *testing.T) {
		t.Parallel()
		fake, first, second, cut := relays(t)
		fake.SetFaults(store.Faults{Refuse: true})
		within(t, 2*changeBound, "the first has lost the store", func() bool { return first.losses() > 0 })
		fake.Remove("a")
		fake.SetFaults(store.Faults{})
		within(t, 2*changeBound, "the first has found it", func() bool { return first.finds() > 0 })
		time.Sleep(2 * relayWait) // the second has heard of it
		fake.SetFaults(store.Faults{Refuse: true})
		cut()
		for i, out := range []*sink{first, second} {
			within(t, removalDelay+changeBound, fmt.Sprintf("it is gone at %d", i), func() bool { return out.get("a") == "" })
		}
	})
}
