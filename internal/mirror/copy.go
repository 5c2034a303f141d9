package mirror

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/firlever/firlever/platform"
)

// settle is how long after an outage of the store a key that is missing may come
// back: the platform says that live entries are back within about two seconds.
const settle = 2 * time.Second

// Change is one change of the copy.
type Change struct {
	platform.Item
	Removed bool // only Key and Changed are set
}

// Copy is what is known of the store. It does no input or output and is not safe
// for concurrent use.
type Copy struct {
	items   map[string]platform.Item // by key
	missing map[string]removal       // of items that are kept for a while
	settled time.Time                // removals before are delayed until then
}

// removal is one that is delayed.
type removal struct {
	changed platform.Revision
	due     time.Time
}

// NewCopy makes an empty copy.
func NewCopy() *Copy {
	return &Copy{items: make(map[string]platform.Item), missing: make(map[string]removal)}
}

// Outage notes that the store is out of reach at now, so that keys which are
// missing when it is back get time to come back.
func (c *Copy) Outage(now time.Time) {
	c.settled = now.Add(settle)
}

// Settle notes that a peer delays removals until a time, as it has seen an outage.
func (c *Copy) Settle(until time.Time) {
	if until.After(c.settled) {
		c.settled = until
	}
}

// changed is when a key was last changed, as far as is known.
func (c *Copy) changed(key string) platform.Revision {
	if r, ok := c.missing[key]; ok {
		return r.changed
	}
	return c.items[key].Changed
}

// Apply takes events in and returns the changes that follow from them.
func (c *Copy) Apply(now time.Time, events []platform.Event) []Change {
	var changes []Change
	for _, e := range events {
		old, known := c.items[e.Key]
		if known && !e.Changed.After(c.changed(e.Key)) {
			continue
		}
		switch {
		case !e.Removed && known && restored(old, e.Item):
			c.put(e.Item)
		case !e.Removed:
			changes = append(changes, c.put(e.Item))
		case known:
			changes = append(changes, c.remove(now, e.Key, e.Changed)...)
		}
	}
	return changes
}

// restored says whether an item is the same as before in a later epoch: nobody has changed it.
func restored(old, item platform.Item) bool {
	return old.Changed.Epoch() != item.Changed.Epoch() && bytes.Equal(old.Value, item.Value)
}

// Difference returns the events that lead from the copy to a whole list of what
// the store held at a revision. Items older than what is known are skipped.
func (c *Copy) Difference(items []platform.Item, at platform.Revision) []platform.Event {
	var events []platform.Event
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
		if _, known := c.items[item.Key]; !known || item.Changed.After(c.changed(item.Key)) {
			events = append(events, platform.Event{Item: item})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		if !listed[key] && at.After(c.changed(key)) {
			events = append(events, platform.Event{Item: platform.Item{Key: key, Changed: at}, Removed: true})
		}
	}
	return events
}

// Older returns how many listed items differ from what is known of them, and are not later.
func (c *Copy) Older(items []platform.Item) int {
	n := 0
	for _, item := range items {
		old, known := c.items[item.Key]
		if known && !item.Changed.After(c.changed(item.Key)) && !bytes.Equal(item.Value, old.Value) {
			n++
		}
	}
	return n
}

// Items returns all items, by key.
func (c *Copy) Items() []platform.Item {
	items := make([]platform.Item, 0, len(c.items))
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		items = append(items, c.items[key])
	}
	return items
}

// Due returns the removals whose delay is over.
func (c *Copy) Due(now time.Time) []Change {
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(c.missing)) {
		if r := c.missing[key]; !now.Before(r.due) {
			changes = append(changes, c.drop(key, r.changed))
		}
	}
	return changes
}

func (c *Copy) put(item platform.Item) Change {
	c.items[item.Key] = item
	delete(c.missing, item.Key)
	return Change{Item: item}
}

// remove drops a key, or notes when it will be dropped if the store was out of
// reach a moment ago.
func (c *Copy) remove(now time.Time, key string, changed platform.Revision) []Change {
	if !now.Before(c.settled) {
		return []Change{c.drop(key, changed)}
	}
	due := c.settled
	if before, ok := c.missing[key]; ok {
		due = before.due
	}
	c.missing[key] = removal{changed: changed, due: due}
	return nil
}

func (c *Copy) drop(key string, changed platform.Revision) Change {
	delete(c.items, key)
	delete(c.missing, key)
	return Change{Item: platform.Item{Key: key, Changed: changed}, Removed: true}
}
