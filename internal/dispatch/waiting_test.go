package dispatch

import (
	"testing"
	"time"
)

// Ticks are infrequent until a request is queued, so a queued one must signal it.
func TestQueuedRequestSignalsTick(t *testing.T) {
	d := newDispatcher(t)
	for i, want := range []int{0, 1} { // the first takes the only slot, the second waits
		d.addRequest(time.Time{})
		if got := len(d.TickNeeded()); got != want {
			t.Errorf("got %d tokens after request %d, want %d", got, i, want)
		}
	}
}
