package mirror

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/platform"
)

// restoreAfterOutage makes the store unreachable for a moment and restores it from a snapshot.
func restoreAfterOutage(fake *store.Store, c *store.Snapshot, meanwhile func()) {
	fake.SetFaults(store.Faults{Refuse: true})
	time.Sleep(100 * time.Millisecond)
	fake.RestoreSnapshot(c)
	meanwhile()
	fake.SetFaults(store.Faults{})
}

// The store is restored from a snapshot. What it holds then is known on time, whatever revisions it
// assigns, to an instance that follows the store and to one that follows a peer.
func TestRestored(t *testing.T) {
	tests := map[string]func(fake *store.Store, c *store.Snapshot){
		"behind what is known": func(fake *store.Store, c *store.Snapshot) {
			restoreAfterOutage(fake, c, func() {})
		},
		"past what is known": func(fake *store.Store, c *store.Snapshot) {
			restoreAfterOutage(fake, c, func() {
				for i := range 20 {
					fake.Put("filler", fmt.Append(nil, i))
				}
			})
		},
		"just at what is known": func(fake *store.Store, c *store.Snapshot) {
			restoreAfterOutage(fake, c, func() {
				for i := range 8 {
					fake.Put("filler", fmt.Append(nil, i))
				}
			})
		},
		"twice at once": func(fake *store.Store, c *store.Snapshot) {
			restoreAfterOutage(fake, c, func() { fake.Put("filler", nil); fake.RestoreSnapshot(c) })
		},
		"twice": func(fake *store.Store, c *store.Snapshot) {
			restoreAfterOutage(fake, c, func() {})
			time.Sleep(500 * time.Millisecond)
			restoreAfterOutage(fake, c, func() {})
		},
		"without being away": func(fake *store.Store, c *store.Snapshot) { fake.RestoreSnapshot(c) },
	}
	for name, restore := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fake, first, second, _ := relays(t)
			fake.Put("kept", []byte("1"))
			fake.Put("changed", []byte("1"))
			within(t, changeBound, "the second has the keys", func() bool { return second.get("changed") == "1" })
			c := fake.TakeSnapshot()
			for i := range 7 {
				fake.Put("changed", fmt.Append(nil, i+2))
			}
			fake.Put("later", []byte("1"))
			within(t, changeBound, "the second has all keys", func() bool { return second.get("later") == "1" })
			restore(fake, c)
			fake.Put("changed", []byte("new"))
			fake.Put("added", []byte("1"))
			for i, out := range []*sink{first, second} {
				within(t, 2*changeBound, fmt.Sprintf("changes are visible at %d", i), func() bool {
					return out.get("changed") == "new" && out.get("added") == "1"
				})
				within(t, removalDelay+changeBound, fmt.Sprintf("the lost key is removed at %d", i), func() bool { return out.get("later") == "" })
				if got := out.get("kept"); got != "1" {
					t.Errorf("got kept=%q at %d, want 1", got, i)
				}
			}
		})
	}
}

// A relay answers a peer whose revision is of the same or another epoch: with the changes since, or
// with the whole view.
func TestHistoryOfEpochs(t *testing.T) {
	h, c := newHistory(), NewReplica(byNumber)
	event := func(key string, r platform.Revision) platform.Event {
		return platform.Event{Item: platform.Item{Key: key, Changed: r}}
	}
	rev := platform.NewRevision
	add := func(at platform.Revision, events ...platform.Event) {
		h.add(batch{events: events, revision: at, confirmedAt: start, gaps: at.Epoch() == 2 && len(events) == 2}, c)
	}
	add(rev(1, 50))
	add(rev(1, 57), event("a", rev(1, 55)), event("b", rev(1, 57)))
	add(rev(2, 53), event("c", rev(2, 52)), event("b", rev(2, 51)))
	add(rev(2, 54), event("a", rev(2, 54)))
	tests := map[string]struct {
		since platform.Revision
		keys  []string // nil: the whole view
	}{
		"at the same":                  {rev(2, 54), []string{}},
		"in the epoch":                 {rev(2, 53), []string{"a"}},
		"at the end of the one before": {rev(1, 57), []string{"c", "b", "a"}},
		"in the one before":            {rev(1, 55), []string{"b", "c", "b", "a"}},
		"past what was known of it":    {rev(1, 58), nil},
		"before all that is kept":      {rev(1, 49), nil},
		"of one never seen":            {rev(0, 60), nil},
		"further":                      {rev(2, 60), []string{}},
		"of a later epoch":             {rev(3, 1), []string{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := h.since(start, tt.since)
			if e.covered != (tt.keys != nil) {
				t.Fatalf("got changes: %t, want %t", e.covered, tt.keys != nil)
			}
			got := []string{}
			for _, event := range e.events {
				got = append(got, event.Key)
			}
			if e.covered && !slices.Equal(got, tt.keys) {
				t.Errorf("got %v, want %v", got, tt.keys)
			}
		})
	}
}

// A confirmation of an earlier epoch does not count for the data of a later one.
func TestConfirmedInAnotherEpoch(t *testing.T) {
	h := newHistory()
	h.add(batch{revision: platform.NewRevision(2, 5), confirmedAt: start}, NewReplica(byNumber))
	h.confirm(platform.NewRevision(1, 90), start.Add(time.Second))
	if got := h.age(start.Add(time.Second)); got != time.Second {
		t.Errorf("got age %s after an answer of an earlier epoch, want %s", got, time.Second)
	}
	h.confirm(platform.NewRevision(2, 5), start.Add(time.Second))
	if got := h.age(start.Add(time.Second)); got != 0 {
		t.Errorf("got age %s after an answer of the epoch, want 0", got)
	}
}

// Items that a store still holds after a restore are no changes.
func TestKeptItems(t *testing.T) {
	c := NewReplica(byNumber)
	rev := platform.NewRevision
	item := func(key, value string, r platform.Revision) platform.Item {
		return platform.Item{Key: key, Value: []byte(value), Changed: r}
	}
	c.Apply(start, c.Difference([]platform.Item{item("kept", "1", rev(1, 5)), item("other", "1", rev(1, 6))}, rev(1, 9)))
	events := c.Difference([]platform.Item{item("kept", "1", rev(2, 5)), item("other", "x", rev(2, 4))}, rev(2, 7))
	if got, want := show(c.Apply(start, events)), "+other@4 "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := show(c.Apply(start, []platform.Event{{Item: item("kept", "2", rev(2, 8))}})), "+kept@8 "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
