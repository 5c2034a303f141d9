package mirror

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/platform"
)

// was and then are revisions of two epochs; the store came back from a copy between them.
func was(count uint64) platform.Revision  { return platform.NewRevision(1, count) }
func then(count uint64) platform.Revision { return platform.NewRevision(2, count) }

func is(key, value string, at platform.Revision) platform.Event {
	return platform.Event{Item: platform.Item{Key: key, Value: []byte(value), Changed: at}}
}

func gone(key string, at platform.Revision) platform.Event {
	return platform.Event{Item: platform.Item{Key: key, Changed: at}, Removed: true}
}

// What was known before the store came back from a copy stays while it is written again.
func TestBeliefsAfterRestore(t *testing.T) {
	type told []struct {
		after  time.Duration // since the store is back
		events []platform.Event
		want   string // changes
	}
	known := []platform.Event{is("config", "7", was(7)), is("gone", "x", was(3)), gone("gone", was(8)), is("late", "x", was(9))}
	tests := map[string]told{
		"an older state is not taken": {
			{0, []platform.Event{is("config", "5", then(5))}, ""},
			{settle, []platform.Event{is("config", "6", then(6))}, ""},
			{hideTime, []platform.Event{is("config", "7", then(7)), is("config", "8", then(8))}, "+config=8 "},
		},
		"a key with an older state is removed": {
			{0, []platform.Event{is("config", "5", then(5))}, ""},
			{settle, []platform.Event{gone("config", then(6))}, "-config "},
		},
		"a key that the store lacks is written again": {
			{0, []platform.Event{gone("late", then(6))}, ""},
			{settle / 2, []platform.Event{is("late", "x", then(7))}, ""},
			{settle, nil, ""},
		},
		"one with another state": {
			{0, []platform.Event{gone("late", then(6))}, ""},
			{settle / 2, []platform.Event{is("late", "y", then(7))}, "+late=y "},
		},
		"one that is not": {
			{0, []platform.Event{gone("late", then(6))}, ""},
			{settle - 1, nil, ""},
			{settle, nil, "-late "},
		},
		"a key that had gone is removed once more": {
			{0, []platform.Event{is("gone", "x", then(3))}, ""},
			{settle, []platform.Event{gone("gone", then(8))}, ""},
			{hideTime, nil, ""},
		},
		"one that is written anew": {
			{0, []platform.Event{is("gone", "x", then(3))}, ""},
			{settle, []platform.Event{is("gone", "x", then(8))}, "+gone=x "},
		},
		"one that stays": {
			{0, []platform.Event{is("gone", "x", then(3))}, ""},
			{hideTime - 1, []platform.Event{is("gone", "x", then(3))}, ""},
			{hideTime, nil, "+gone=x "},
			{2 * hideTime, nil, ""},
		},
		"a new key": {
			{0, []platform.Event{is("new", "x", then(3))}, "+new=x "},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewCopy(byNumber)
			c.Apply(start, known)
			c.Outage(start)
			for _, step := range steps {
				now, got := start.Add(step.after), ""
				for _, ch := range append(c.Apply(now, step.events), c.Due(now, then(9))...) {
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

// What a peer tells of all that it knows, to one that knows something.
func TestAdoptAll(t *testing.T) {
	tests := map[string]struct {
		events []platform.Event // known, at then(5)
		peer   news
		later  []platform.Event // and after the peer's
		want   string
	}{
		"a peer that is behind": {
			[]platform.Event{is("a", "2", then(5))},
			news{revision: was(9), events: []platform.Event{is("a", "1", was(3)), is("b", "1", was(4))}},
			nil, "",
		},
		"a state that nobody has changed since an epoch before": {
			[]platform.Event{is("a", "1", then(5))},
			news{revision: platform.NewRevision(3, 4), events: []platform.Event{is("a", "2", was(3))}},
			nil, "+a@4 ",
		},
		"a state from before one of an epoch between": {
			[]platform.Event{is("x", "new", then(5))},
			news{revision: platform.NewRevision(3, 4), events: []platform.Event{is("x", "old", then(3))}},
			nil, "+x@4 ",
		},
		"a key that had gone, and that the peer keeps": {
			[]platform.Event{is("a", "4", was(3)), gone("a", then(4))},
			news{
				revision: platform.NewRevision(3, 4), events: []platform.Event{is("a", "4", platform.NewRevision(3, 3))},
				beliefs: Beliefs{Kept: []platform.Item{is("a", "5", then(2)).Item}},
			},
			[]platform.Event{is("a", "5", platform.NewRevision(3, 5)), gone("a", platform.NewRevision(3, 6))},
			"+a@2 -a@6 ",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			k := newKnowledge(byNumber)
			k.take(start, growth{events: tt.events, revision: then(5)})
			tt.peer.whole = true
			changes := k.adopt(start, tt.peer)
			changes = append(changes, k.take(start, growth{events: tt.later, revision: platform.NewRevision(3, 9)})...)
			if got := show(changes); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// What all that a peer knows brings is passed on, also if nobody has changed it since an epoch
// before.
func TestPassOnAll(t *testing.T) {
	k := newKnowledge(byNumber)
	k.take(start, growth{revision: then(4)})
	k.take(start, growth{events: []platform.Event{is("a", "1", then(5))}, revision: then(5)})
	at := platform.NewRevision(3, 4)
	k.adopt(start, news{whole: true, revision: at, events: []platform.Event{is("a", "2", was(3)), is("b", "1", was(4))}})
	e := k.history.since(start, then(5))
	if !e.known || len(e.events) != 2 || e.events[0].Changed != at || e.events[1].Changed != at {
		t.Errorf("got %+v, known %t, want a and b at %s", e.events, e.known, at)
	}
}

// A list of a store that came back from a copy takes nothing away at once.
func TestListAfterRestore(t *testing.T) {
	k := newKnowledge(byNumber)
	list := func(now time.Time, at platform.Revision, items ...platform.Event) []Change {
		var all []platform.Item
		for _, e := range items {
			all = append(all, e.Item)
		}
		_, changes := k.list(now, all, at, now)
		return changes
	}
	list(start, was(9), is("kept", "x", was(3)), is("late", "x", was(9)))
	if got := show(list(start.Add(settle), then(5), is("kept", "x", then(3)))); got != "" {
		t.Errorf("got %q at once, want nothing", got)
	}
	if got, want := show(list(start.Add(2*settle), then(6), is("kept", "x", then(3)))), "-late@6 "; got != want {
		t.Errorf("got %q after %s, want %q", got, settle, want)
	}
	if got, want := show(list(start.Add(2*settle), then(7))), "-kept@7 "; got != want {
		t.Errorf("got %q without another return, want %q", got, want)
	}
}

// An instance that starts while a store that came back from a copy is behind learns from
// others what that has lost: all at once from a seed, or when it follows a relay after it has
// read the store.
func TestBeginAfterRestore(t *testing.T) {
	for name, seed := range map[string]bool{"from a seed": true, "from the store": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fake, address := newStore(t)
			fake.Put("config", []byte("1"))
			fake.Put("gone", []byte("x"))
			m, first := startMirror(t, address, nobody)
			within(t, bound, "the first knows all", func() bool { return first.get("gone") == "x" })
			c := fake.Copy()
			fake.Put("config", []byte("2"))
			fake.Remove("gone")
			within(t, bound, "the first knows the changes", func() bool { return first.get("config") == "2" && first.get("gone") == "" })
			fake.GoBack(c)
			within(t, bound, "the first knows of the return", func() bool { return m.Revision().Epoch() == 2 })
			relay := listen(t, m)
			peers := after(relay)
			if seed {
				peers.Seeds = peers.Relays()
			}
			_, second := startMirror(t, address, peers)
			within(t, bound, "the second knows the later state", func() bool { return second.get("config") == "2" })
			if got := second.get("gone"); seed && got != "" {
				t.Errorf("got gone=%q, want it gone", got)
			}
			fake.Rewrite()
			time.Sleep(settle)
			for i, out := range []*sink{first, second} {
				if out.get("config") != "2" || out.get("gone") != "" {
					t.Errorf("%d: got config=%q gone=%q, want 2 and none", i, out.get("config"), out.get("gone"))
				}
			}
		})
	}
}
