package mirror

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/platform"
)

// epoch1 and epoch2 return revisions of two epochs; the store was restored from a snapshot between
// them.
func epoch1(count uint64) platform.Revision { return platform.NewRevision(1, count) }
func epoch2(count uint64) platform.Revision { return platform.NewRevision(2, count) }

func putEvent(key, value string, at platform.Revision) platform.Event {
	return platform.Event{Item: platform.Item{Key: key, Value: []byte(value), Changed: at}}
}

func removeEvent(key string, at platform.Revision) platform.Event {
	return platform.Event{Item: platform.Item{Key: key, Changed: at}, Removed: true}
}

// After a restore from a snapshot, the view keeps the later states and removals that the store has
// lost, for as long as they may be written again.
func TestOverridesAfterRestore(t *testing.T) {
	type steps []struct {
		after  time.Duration // since the restore
		events []platform.Event
		want   string // resulting changes
	}
	known := []platform.Event{putEvent("config", "7", epoch1(7)), putEvent("gone", "x", epoch1(3)), removeEvent("gone", epoch1(8)), putEvent("late", "x", epoch1(9))}
	tests := map[string]steps{
		"an older state is not taken": {
			{0, []platform.Event{putEvent("config", "5", epoch2(5))}, ""},
			{removalDelay, []platform.Event{putEvent("config", "6", epoch2(6))}, ""},
			{hideDuration, []platform.Event{putEvent("config", "7", epoch2(7)), putEvent("config", "8", epoch2(8))}, "+config=8 "},
		},
		"a key with an older state is removed": {
			{0, []platform.Event{putEvent("config", "5", epoch2(5))}, ""},
			{removalDelay, []platform.Event{removeEvent("config", epoch2(6))}, "-config "},
		},
		"a missing key is written again": {
			{0, []platform.Event{removeEvent("late", epoch2(6))}, ""},
			{removalDelay / 2, []platform.Event{putEvent("late", "x", epoch2(7))}, ""},
			{removalDelay, nil, ""},
		},
		"a missing key is written with another state": {
			{0, []platform.Event{removeEvent("late", epoch2(6))}, ""},
			{removalDelay / 2, []platform.Event{putEvent("late", "y", epoch2(7))}, "+late=y "},
		},
		"a missing key is not written again": {
			{0, []platform.Event{removeEvent("late", epoch2(6))}, ""},
			{removalDelay - 1, nil, ""},
			{removalDelay, nil, "-late "},
		},
		"a removed key is removed again": {
			{0, []platform.Event{putEvent("gone", "x", epoch2(3))}, ""},
			{removalDelay, []platform.Event{removeEvent("gone", epoch2(8))}, ""},
			{hideDuration, nil, ""},
		},
		"a removed key is written anew": {
			{0, []platform.Event{putEvent("gone", "x", epoch2(3))}, ""},
			{removalDelay, []platform.Event{putEvent("gone", "x", epoch2(8))}, "+gone=x "},
		},
		"a removed key stays in the store": {
			{0, []platform.Event{putEvent("gone", "x", epoch2(3))}, ""},
			{hideDuration - 1, []platform.Event{putEvent("gone", "x", epoch2(3))}, ""},
			{hideDuration, nil, "+gone=x "},
			{2 * hideDuration, nil, ""},
		},
		"a new key": {
			{0, []platform.Event{putEvent("new", "x", epoch2(3))}, "+new=x "},
		},
	}
	for name, sequence := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewReplica(byNumber)
			c.Apply(start, known)
			c.MarkOutage(start)
			for _, step := range sequence {
				now, got := start.Add(step.after), ""
				for _, ch := range append(c.Apply(now, step.events), c.Due(now, epoch2(9))...) {
					if ch.Removed {
						got += "-" + ch.Key + " "
					} else {
						got += fmt.Sprintf("+%s=%s ", ch.Key, ch.Value)
					}
				}
				if got != step.want {
					t.Errorf("after %s: got %q, want %q", step.after, got, step.want)
				}
			}
		})
	}
}

// The whole view of a peer is applied to a view that isn't empty.
func TestApplyWholePeerUpdate(t *testing.T) {
	tests := map[string]struct {
		events []platform.Event // applied before, up to epoch2(5)
		peer   peerUpdate
		later  []platform.Event // applied after the peer's update
		want   string
	}{
		"a peer that is behind": {
			[]platform.Event{putEvent("a", "2", epoch2(5))},
			peerUpdate{revision: epoch1(9), events: []platform.Event{putEvent("a", "1", epoch1(3)), putEvent("b", "1", epoch1(4))}},
			nil, "",
		},
		"a state unchanged since an earlier epoch": {
			[]platform.Event{putEvent("a", "1", epoch2(5))},
			peerUpdate{revision: platform.NewRevision(3, 4), events: []platform.Event{putEvent("a", "2", epoch1(3))}},
			nil, "+a@4 ",
		},
		"a state older than one of an epoch in between": {
			[]platform.Event{putEvent("x", "new", epoch2(5))},
			peerUpdate{revision: platform.NewRevision(3, 4), events: []platform.Event{putEvent("x", "old", epoch2(3))}},
			nil, "+x@4 ",
		},
		"a removed key that the peer keeps": {
			[]platform.Event{putEvent("a", "4", epoch1(3)), removeEvent("a", epoch2(4))},
			peerUpdate{
				revision: platform.NewRevision(3, 4), events: []platform.Event{putEvent("a", "4", platform.NewRevision(3, 3))},
				overrides: Overrides{Kept: []platform.Item{putEvent("a", "5", epoch2(2)).Item}},
			},
			[]platform.Event{putEvent("a", "5", platform.NewRevision(3, 5)), removeEvent("a", platform.NewRevision(3, 6))},
			"+a@2 -a@6 ",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			k := newView(byNumber)
			k.applyBatch(start, batch{events: tt.events, revision: epoch2(5)})
			tt.peer.whole = true
			changes := k.applyPeer(start, tt.peer)
			changes = append(changes, k.applyBatch(start, batch{events: tt.later, revision: platform.NewRevision(3, 9)})...)
			if got := show(changes); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// Changes that come with a peer's whole view are passed on to other peers, even if the items have
// not changed since an earlier epoch.
func TestWholeUpdateIsRelayed(t *testing.T) {
	k := newView(byNumber)
	k.applyBatch(start, batch{revision: epoch2(4)})
	k.applyBatch(start, batch{events: []platform.Event{putEvent("a", "1", epoch2(5))}, revision: epoch2(5)})
	at := platform.NewRevision(3, 4)
	k.applyPeer(start, peerUpdate{whole: true, revision: at, events: []platform.Event{putEvent("a", "2", epoch1(3)), putEvent("b", "1", epoch1(4))}})
	e := k.history.since(start, epoch2(5))
	if !e.covered || len(e.events) != 2 || e.events[0].Changed != at || e.events[1].Changed != at {
		t.Errorf("got %+v, known %t, want a and b at %s", e.events, e.covered, at)
	}
}

// A list of a restored store removes nothing at once.
func TestListAfterRestore(t *testing.T) {
	k := newView(byNumber)
	list := func(now time.Time, at platform.Revision, items ...platform.Event) []Change {
		var all []platform.Item
		for _, e := range items {
			all = append(all, e.Item)
		}
		_, changes := k.applyList(now, all, at, now)
		return changes
	}
	list(start, epoch1(9), putEvent("kept", "x", epoch1(3)), putEvent("late", "x", epoch1(9)))
	if got := show(list(start.Add(removalDelay), epoch2(5), putEvent("kept", "x", epoch2(3)))); got != "" {
		t.Errorf("got %q at once, want nothing", got)
	}
	if got, want := show(list(start.Add(2*removalDelay), epoch2(6), putEvent("kept", "x", epoch2(3)))), "-late@6 "; got != want {
		t.Errorf("got %q after %s, want %q", got, removalDelay, want)
	}
	if got, want := show(list(start.Add(2*removalDelay), epoch2(7))), "-kept@7 "; got != want {
		t.Errorf("got %q without another restore, want %q", got, want)
	}
}

// An instance that starts while a restored store lacks later states gets them from its peers: from
// a seed at once, or from a relay after it has read the store.
func TestBootstrapAfterRestore(t *testing.T) {
	for name, seed := range map[string]bool{"from a seed": true, "from the store": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fake, address := newStore(t)
			fake.Put("config", []byte("1"))
			fake.Put("gone", []byte("x"))
			m, first := startMirror(t, address, noPeers)
			within(t, changeBound, "the first has all keys", func() bool { return first.get("gone") == "x" })
			c := fake.TakeSnapshot()
			fake.Put("config", []byte("2"))
			fake.Remove("gone")
			within(t, changeBound, "the first has the changes", func() bool { return first.get("config") == "2" && first.get("gone") == "" })
			fake.RestoreSnapshot(c)
			within(t, changeBound, "the first detects the restore", func() bool { return m.Revision().Epoch() == 2 })
			relay := listen(t, m)
			peers := withRelay(relay)
			if seed {
				peers.Seeds = peers.Relays()
			}
			_, second := startMirror(t, address, peers)
			within(t, changeBound, "the second has the later state", func() bool { return second.get("config") == "2" })
			if got := second.get("gone"); seed && got != "" {
				t.Errorf("got gone=%q, want it removed", got)
			}
			fake.RedoExternalWrites()
			time.Sleep(removalDelay)
			for i, out := range []*sink{first, second} {
				if out.get("config") != "2" || out.get("gone") != "" {
					t.Errorf("%d: got config=%q gone=%q, want 2 and none", i, out.get("config"), out.get("gone"))
				}
			}
		})
	}
}
