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
	tell := newTeller(n)
	for i := range mostOutbox + 10 {
		tell.post(note{key: fmt.Sprint("k", i), life: time.Minute})
	}
	last := fmt.Sprint("k", mostOutbox+9)
	tell.post(note{key: last, value: []byte("again"), life: time.Minute})
	if got := len(tell.outbox); got != mostOutbox {
		t.Errorf("got %d entries, want %d", got, mostOutbox)
	}
	if got := tell.outbox[mostOutbox-1]; got.key != last || string(got.value) != "again" {
		t.Errorf("got %s %q last, want %s with the value queued last", got.key, got.value, last)
	}
	if got := tell.first(); len(got) != mostWrites || got[0].key != "k10" {
		t.Errorf("got %d entries from %s, want %d from k10", len(got), got[0].key, mostWrites)
	}
}
