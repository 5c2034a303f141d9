package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// The outbox is bounded, and holds each key once, with the value that was queued last.
func TestOutbox(t *testing.T) {
	n := &Node{cfg: Config{Log: log.New(t.Output())}}
	notifier := newNotifier(n)
	for i := range maxOutbox + 10 {
		notifier.enqueue(entry{key: fmt.Sprint("k", i), lifetime: time.Minute})
	}
	last := fmt.Sprint("k", maxOutbox+9)
	notifier.enqueue(entry{key: last, value: []byte("again"), lifetime: time.Minute})
	if got := len(notifier.outbox); got != maxOutbox {
		t.Errorf("got %d entries, want %d", got, maxOutbox)
	}
	if got := notifier.outbox[maxOutbox-1]; got.key != last || string(got.value) != "again" {
		t.Errorf("got %s %q last, want %s with the value queued last", got.key, got.value, last)
	}
	if got := notifier.nextBatch(); len(got) != maxBatch || got[0].key != "k10" {
		t.Errorf("got %d entries from %s, want %d from k10", len(got), got[0].key, maxBatch)
	}
}
