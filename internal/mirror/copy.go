package mirror

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/firlever/firlever/platform"
)

const (
	// removalDelay is how long after an outage of the store a key that is missing may come
	// back: the platform says that live entries are back within about two seconds.
	removalDelay = 2 * time.Second
	// hideDuration is how long a key that had gone stays so when a store that came back from a
	// copy has it again: by then whoever removed it has done so once more, or its lease has
	// ended.
	hideDuration = 10 * time.Second
	// maxPrevious bounds the former states that are kept.
	maxPrevious = 2000
)

// Order tells which of two states of a key its writer made later: above 0 for a, below 0 for
// b, and 0 if that doesn't show.
type Order func(a, b platform.Item) int

// Change is one change of what is believed.
type Change struct {
	platform.Item
	Removed bool // only Key and Changed are set
}

// Replica is what the store holds, and what is believed of it. It does no input or output and is
// not safe for concurrent use.
//
// The two differ for a while after an outage of the store, and after it came back from a copy
// of itself with older states: what it has lost is written again. A key that it lacks stays
// for settle, a state that its writer made later (Order) until the store has as late a one,
// and a key that had gone stays so for hideTime.
type Replica struct {
	order       Order
	stored      map[string]platform.Item // what the store holds, by key
	kept        map[string]keptItem      // believed in place of what is stored, or in spite of its lack
	hidden      map[string]time.Time     // keys in stored that are not believed to be there before; none of them in kept
	previous    previousStates           // states that were believed
	removeAfter time.Time                // removals before are delayed until then
}

// keptItem is an item that the store has lost.
type keptItem struct {
	platform.Item
	due time.Time // of its removal; zero if the store has an older state
}

// NewReplica makes an empty copy.
func NewReplica(order Order) *Replica {
	return &Replica{
		order: order, stored: make(map[string]platform.Item), kept: make(map[string]keptItem),
		hidden: make(map[string]time.Time), previous: newPreviousStates(maxPrevious),
	}
}

// MarkOutage notes that the store is out of reach at now, so that keys which are
// missing when it is back get time to come back.
func (c *Replica) MarkOutage(now time.Time) {
	c.removeAfter = now.Add(removalDelay)
}

// DelayRemovals notes that a peer delays removals until a time, as it has seen an outage.
func (c *Replica) DelayRemovals(until time.Time) {
	if until.After(c.removeAfter) {
		c.removeAfter = until
	}
}

// StoreBehind says whether the store has an older state of something than is believed.
func (c *Replica) StoreBehind() bool {
	for _, k := range c.kept {
		if k.due.IsZero() {
			return true
		}
	}
	return false
}

// current returns what is current of a key; false if it is not there.
func (c *Replica) current(key string) (platform.Item, bool) {
	if k, ok := c.kept[key]; ok {
		return k.Item, true
	}
	if _, hidden := c.hidden[key]; hidden {
		return platform.Item{}, false
	}
	item, ok := c.stored[key]
	return item, ok
}

// Apply takes events in and returns the changes that follow from them.
func (c *Replica) Apply(now time.Time, events []platform.Event) []Change {
	var changes []Change
	for _, e := range events {
		old, known := c.stored[e.Key]
		switch {
		case known && !e.Changed.After(old.Changed):
		case !e.Removed:
			changes = append(changes, c.put(now, e.Item)...)
		case known:
			changes = append(changes, c.remove(now, e.Key, e.Changed)...)
		}
	}
	return changes
}

// put takes an item that the store holds now.
func (c *Replica) put(now time.Time, item platform.Item) []Change {
	old, was := c.current(item.Key)
	c.stored[item.Key] = item
	switch {
	case !was && c.isResurrected(item):
		if _, hidden := c.hidden[item.Key]; !hidden {
			c.hidden[item.Key] = now.Add(hideDuration)
		}
		return nil
	case !was:
		delete(c.hidden, item.Key)
		return []Change{{Item: item}}
	case c.isNewerState(old, item):
		c.kept[item.Key] = keptItem{Item: old}
		return nil
	}
	delete(c.kept, item.Key)
	c.previous.add(old)
	if old.Changed.Epoch() != item.Changed.Epoch() && bytes.Equal(old.Value, item.Value) {
		return nil // nobody has changed it
	}
	return []Change{{Item: item}}
}

// isResurrected says whether an item had gone, and a store that came back from a copy has it again.
func (c *Replica) isResurrected(item platform.Item) bool {
	epoch, had := c.previous.epoch(item)
	return had && epoch < item.Changed.Epoch()
}

// isNewerState says whether a state is later than what the store has in another epoch.
func (c *Replica) isNewerState(state, stored platform.Item) bool {
	return state.Changed.Epoch() != stored.Changed.Epoch() && c.order(state, stored) > 0
}

// remove notes that the store doesn't hold a key any more. If the store was out of reach a
// moment ago, it may come back.
func (c *Replica) remove(now time.Time, key string, changed platform.Revision) []Change {
	old, was := c.current(key)
	delete(c.stored, key)
	delete(c.hidden, key)
	switch {
	case !was:
		return nil
	case now.Before(c.removeAfter):
		c.kept[key] = keptItem{Item: old, due: c.removeAfter}
		return nil
	}
	return []Change{c.drop(old, changed)}
}

// drop forgets what is believed of a key that the store doesn't hold.
func (c *Replica) drop(old platform.Item, changed platform.Revision) Change {
	delete(c.kept, old.Key)
	c.previous.add(old)
	return Change{Item: platform.Item{Key: old.Key, Changed: changed}, Removed: true}
}

// NextDue is when the next delay ends; zero if nothing is delayed.
func (c *Replica) NextDue() time.Time {
	var next time.Time
	sooner := func(due time.Time) {
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	for _, k := range c.kept {
		if !k.due.IsZero() {
			sooner(k.due)
		}
	}
	for _, due := range c.hidden {
		sooner(due)
	}
	return next
}

// Due returns the changes whose delay is over. at is the revision up to which the store is known.
func (c *Replica) Due(now time.Time, at platform.Revision) []Change {
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(c.kept)) {
		if k := c.kept[key]; !k.due.IsZero() && !now.Before(k.due) {
			changes = append(changes, c.drop(k.Item, at))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.hidden)) {
		if !now.Before(c.hidden[key]) {
			delete(c.hidden, key)
			changes = append(changes, Change{Item: c.stored[key]})
		}
	}
	return changes
}

// Difference returns the events that lead from the copy to a whole list of what
// the store held at a revision. Items older than what is known of its epoch are skipped; those
// that the store still has as they were are noted without an event.
func (c *Replica) Difference(items []platform.Item, at platform.Revision) []platform.Event {
	var events []platform.Event
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
		old, known := c.stored[item.Key]
		epoch, after := item.Changed.Epoch(), item.Changed.After(old.Changed)
		switch {
		case known && !after && epoch == old.Changed.Epoch() && epoch == at.Epoch():
		case known && (!after || epoch != old.Changed.Epoch()) && bytes.Equal(item.Value, old.Value):
			item.Changed = platform.Later(item.Changed, old.Changed)
			c.stored[item.Key] = item
		default:
			events = append(events, platform.Event{Item: item})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(c.stored)) {
		if !listed[key] && at.After(c.stored[key].Changed) {
			events = append(events, platform.Event{Item: platform.Item{Key: key, Changed: at}, Removed: true})
		}
	}
	return events
}

// CountBehind returns how many listed items are older states than what is believed.
func (c *Replica) CountBehind(items []platform.Item) int {
	n := 0
	for _, item := range items {
		if old, ok := c.current(item.Key); ok && c.isNewerState(old, item) {
			n++
		}
	}
	return n
}

// Overrides are what an instance believes in spite of what the store holds, for peers that
// learn all from it.
type Overrides struct {
	Kept   []platform.Item // that the store lacks or has an older state of
	Hidden []platform.Item // that the store holds, and that are not believed to be there
}

// Overrides returns them, by key.
func (c *Replica) Overrides() Overrides {
	var b Overrides
	for _, key := range slices.Sorted(maps.Keys(c.kept)) {
		b.Kept = append(b.Kept, c.kept[key].Item)
	}
	for _, key := range slices.Sorted(maps.Keys(c.hidden)) {
		b.Hidden = append(b.Hidden, c.stored[key])
	}
	return b
}

// Items returns all that the store holds, by key.
func (c *Replica) Items() []platform.Item {
	items := make([]platform.Item, 0, len(c.stored))
	for _, key := range slices.Sorted(maps.Keys(c.stored)) {
		items = append(items, c.stored[key])
	}
	return items
}

// AdoptHidden takes over from a peer, before its items are taken, which of them are not believed to
// be there.
func (c *Replica) AdoptHidden(b Overrides) {
	for _, item := range b.Hidden {
		if _, known := c.current(item.Key); !known {
			item.Changed = platform.NewRevision(0, item.Changed.Count()) // of an epoch before
			c.previous.add(item)
		}
	}
}

// AdoptKept takes over from a peer, after its items were taken, what the store has lost.
func (c *Replica) AdoptKept(now time.Time, b Overrides) []Change {
	var changes []Change
	for _, item := range b.Kept {
		old, known := c.current(item.Key)
		_, stored := c.stored[item.Key]
		switch {
		case known && !c.isNewerState(item, old):
		case stored:
			delete(c.hidden, item.Key)
			c.kept[item.Key] = keptItem{Item: item}
			changes = append(changes, Change{Item: item})
		case now.Before(c.removeAfter):
			c.kept[item.Key] = keptItem{Item: item, due: c.removeAfter}
			changes = append(changes, Change{Item: item})
		}
	}
	return changes
}
