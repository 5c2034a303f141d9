package mirror

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/firlever/firlever/platform"
)

const (
	// removalDelay is how long after an outage of the store a missing key may come back: the
	// platform specifies that live entries are written again within about two seconds.
	removalDelay = 2 * time.Second
	// hideDuration is how long a removed key stays removed when a restored store has it again. By
	// then whoever removed it has removed it again, or its lease has expired.
	hideDuration = 10 * time.Second
	// maxPrevious bounds the previous states that are kept.
	maxPrevious = 2000
)

// Order reports which of two states of a key its writer made later: positive for a, negative for b,
// and 0 if the states don't show it.
type Order func(a, b platform.Item) int

// Change is one change of the replica's view.
type Change struct {
	platform.Item
	Removed bool // only Key and Changed are set
}

// Replica holds what the store holds, and the view of it that this instance uses. It does no input
// or output and is not safe for concurrent use.
//
// The two differ for a while after an outage of the store, and after a restore from a snapshot with
// older states, because what the store has lost is written again. A key that the store lacks is
// kept for removalDelay; a state that its writer made later (see Order) is kept until the store has
// one that is at least as late; and a key that had been removed stays removed for hideDuration.
type Replica struct {
	order       Order
	stored      map[string]platform.Item // what the store holds, by key
	kept        map[string]keptItem      // used in place of what is stored, or although the store lacks it
	hidden      map[string]time.Time     // keys in stored that the view lacks until then; none of them in kept
	targets     int                      // keys of targets in stored
	previous    previousStates           // states that were replaced or removed
	removeAfter time.Time                // removals before this time are delayed until then
}

// keptItem is an item that the store has lost, or of which it has an older state.
type keptItem struct {
	platform.Item
	due time.Time // when it is removed; zero if the store has an older state
}

// NewReplica returns an empty replica.
func NewReplica(order Order) *Replica {
	return &Replica{
		order: order, stored: make(map[string]platform.Item), kept: make(map[string]keptItem),
		hidden: make(map[string]time.Time), previous: newPreviousStates(maxPrevious),
	}
}

// MarkOutage records that the store is unreachable at now, so that keys that are missing when it is
// back get time to come back.
func (r *Replica) MarkOutage(now time.Time) {
	r.removeAfter = now.Add(removalDelay)
}

// DelayRemovals delays removals until a time, because a peer that has observed an outage does so.
func (r *Replica) DelayRemovals(until time.Time) {
	if until.After(r.removeAfter) {
		r.removeAfter = until
	}
}

// StoreBehind reports whether the store has an older state of some key than the view.
func (r *Replica) StoreBehind() bool {
	for _, k := range r.kept {
		if k.due.IsZero() {
			return true
		}
	}
	return false
}

// current returns the view's item of a key; false if there is none.
func (r *Replica) current(key string) (platform.Item, bool) {
	if k, ok := r.kept[key]; ok {
		return k.Item, true
	}
	if _, hidden := r.hidden[key]; hidden {
		return platform.Item{}, false
	}
	item, ok := r.stored[key]
	return item, ok
}

// Apply applies events of the store and returns the resulting changes of the view.
func (r *Replica) Apply(now time.Time, events []platform.Event) []Change {
	var changes []Change
	for _, e := range events {
		old, known := r.stored[e.Key]
		switch {
		case known && !e.Changed.After(old.Changed):
		case !e.Removed:
			changes = append(changes, r.put(now, e.Item)...)
		case known:
			changes = append(changes, r.remove(now, e.Key, e.Changed)...)
		}
	}
	return changes
}

// WithoutRedundant returns the events without those that are redundant. An event can be redundant
// only if the view uses what the store held of its key before. It can't if the item is kept in use
// although the store lacks it, as it is due to be removed, or if an earlier event changes the key.
func (r *Replica) WithoutRedundant(events []platform.Event, redundant func(stored platform.Item, e platform.Event) bool) []platform.Event {
	changed := make(map[string]bool)
	return slices.DeleteFunc(events, func(e platform.Event) bool {
		stored, ok := r.inUse(e.Key)
		if ok && !e.Removed && !changed[e.Key] && redundant(stored, e) {
			return true
		}
		changed[e.Key] = true
		return false
	})
}

// inUse returns the item that the store holds of a key; false if there is none or if the view differs.
func (r *Replica) inUse(key string) (platform.Item, bool) {
	_, kept := r.kept[key]
	_, hidden := r.hidden[key]
	item, stored := r.stored[key]
	return item, stored && !kept && !hidden
}

// put applies an item that the store holds now.
func (r *Replica) put(now time.Time, item platform.Item) []Change {
	old, existed := r.current(item.Key)
	if _, stored := r.stored[item.Key]; !stored {
		r.countTarget(item.Key, 1)
	}
	r.stored[item.Key] = item
	switch {
	case !existed && r.isResurrected(item):
		if _, hidden := r.hidden[item.Key]; !hidden {
			r.hidden[item.Key] = now.Add(hideDuration)
		}
		return nil
	case !existed:
		delete(r.hidden, item.Key)
		return []Change{{Item: item}}
	case r.isNewerState(old, item):
		r.kept[item.Key] = keptItem{Item: old}
		return nil
	}
	delete(r.kept, item.Key)
	r.previous.add(old)
	if old.Changed.Epoch() != item.Changed.Epoch() && bytes.Equal(old.Value, item.Value) {
		return nil // unchanged since the earlier epoch
	}
	return []Change{{Item: item}}
}

// isResurrected reports whether an item was replaced or removed in an earlier epoch, and a restored
// store has it again.
func (r *Replica) isResurrected(item platform.Item) bool {
	epoch, had := r.previous.epoch(item)
	return had && epoch < item.Changed.Epoch()
}

// isNewerState reports whether a state is later than the one that the store has in another epoch.
func (r *Replica) isNewerState(state, stored platform.Item) bool {
	return state.Changed.Epoch() != stored.Changed.Epoch() && r.order(state, stored) > 0
}

// remove records that the store no longer holds a key. If the store was unreachable a moment ago,
// the key may come back, so its removal is delayed.
func (r *Replica) remove(now time.Time, key string, changed platform.Revision) []Change {
	old, existed := r.current(key)
	delete(r.stored, key)
	delete(r.hidden, key)
	r.countTarget(key, -1)
	switch {
	case !existed:
		return nil
	case now.Before(r.removeAfter):
		r.kept[key] = keptItem{Item: old, due: r.removeAfter}
		return nil
	}
	return []Change{r.drop(old, changed)}
}

// drop removes a key that the store doesn't hold from the view.
func (r *Replica) drop(old platform.Item, changed platform.Revision) Change {
	delete(r.kept, old.Key)
	r.previous.add(old)
	return Change{Item: platform.Item{Key: old.Key, Changed: changed}, Removed: true}
}

// countTarget counts a key that was added to what the store holds, or removed from it, if it is that
// of a target.
func (r *Replica) countTarget(key string, n int) {
	if _, ok := platform.TargetID(key); ok {
		r.targets += n
	}
}

// ReplicaCounts tells how much a replica holds, and how its view differs from that.
type ReplicaCounts struct {
	Targets int // registrations that the store holds
	Kept    int // items of the view that the store lacks or has an older state of
	Hidden  int // items that the store holds and the view lacks
}

// Counts returns how much the replica holds.
func (r *Replica) Counts() ReplicaCounts {
	return ReplicaCounts{Targets: r.targets, Kept: len(r.kept), Hidden: len(r.hidden)}
}

// NextDue returns when the next delay ends; zero if nothing is delayed.
func (r *Replica) NextDue() time.Time {
	var next time.Time
	sooner := func(due time.Time) {
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	for _, k := range r.kept {
		if !k.due.IsZero() {
			sooner(k.due)
		}
	}
	for _, due := range r.hidden {
		sooner(due)
	}
	return next
}

// Due returns the changes whose delay has ended. at is the revision up to which the store is known.
func (r *Replica) Due(now time.Time, at platform.Revision) []Change {
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(r.kept)) {
		if k := r.kept[key]; !k.due.IsZero() && !now.Before(k.due) {
			changes = append(changes, r.drop(k.Item, at))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(r.hidden)) {
		if !now.Before(r.hidden[key]) {
			delete(r.hidden, key)
			changes = append(changes, Change{Item: r.stored[key]})
		}
	}
	return changes
}

// Difference returns the events that lead from the replica to a complete list of what the store
// held at a revision. Items older than what is known of its epoch are skipped. Items that a
// restored store still holds unchanged get their new revision without an event.
func (r *Replica) Difference(items []platform.Item, at platform.Revision) []platform.Event {
	var events []platform.Event
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
		old, known := r.stored[item.Key]
		epoch, after := item.Changed.Epoch(), item.Changed.After(old.Changed)
		switch {
		case known && !after && epoch == old.Changed.Epoch() && epoch == at.Epoch():
		case known && (!after || epoch != old.Changed.Epoch()) && bytes.Equal(item.Value, old.Value):
			item.Changed = platform.Later(item.Changed, old.Changed)
			r.stored[item.Key] = item
		default:
			events = append(events, platform.Event{Item: item})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(r.stored)) {
		if !listed[key] && at.After(r.stored[key].Changed) {
			events = append(events, platform.Event{Item: platform.Item{Key: key, Changed: at}, Removed: true})
		}
	}
	return events
}

// CountBehind returns how many listed items are older states than those of the view.
func (r *Replica) CountBehind(items []platform.Item) int {
	n := 0
	for _, item := range items {
		if old, ok := r.current(item.Key); ok && r.isNewerState(old, item) {
			n++
		}
	}
	return n
}

// Overrides are the differences between an instance's view and what the store holds. They are sent
// to peers that take the whole view from it.
type Overrides struct {
	Kept   []platform.Item // items that the store lacks or has an older state of
	Hidden []platform.Item // items that the store holds and that the view lacks
}

// Overrides returns the differences between the view and what the store holds, sorted by key.
func (r *Replica) Overrides() Overrides {
	var b Overrides
	for _, key := range slices.Sorted(maps.Keys(r.kept)) {
		b.Kept = append(b.Kept, r.kept[key].Item)
	}
	for _, key := range slices.Sorted(maps.Keys(r.hidden)) {
		b.Hidden = append(b.Hidden, r.stored[key])
	}
	return b
}

// Items returns all that the store holds, sorted by key.
func (r *Replica) Items() []platform.Item {
	items := make([]platform.Item, 0, len(r.stored))
	for _, key := range slices.Sorted(maps.Keys(r.stored)) {
		items = append(items, r.stored[key])
	}
	return items
}

// AdoptHidden adopts from a peer which of its items the view must lack. It is called before the
// peer's items are applied.
func (r *Replica) AdoptHidden(b Overrides) {
	for _, item := range b.Hidden {
		if _, known := r.current(item.Key); !known {
			item.Changed = platform.NewRevision(0, item.Changed.Count()) // of an earlier epoch
			r.previous.add(item)
		}
	}
}

// AdoptKept adopts from a peer the items that the store has lost. It is called after the peer's
// items were applied.
func (r *Replica) AdoptKept(now time.Time, b Overrides) []Change {
	var changes []Change
	for _, item := range b.Kept {
		old, known := r.current(item.Key)
		_, stored := r.stored[item.Key]
		switch {
		case known && !r.isNewerState(item, old):
		case stored:
			delete(r.hidden, item.Key)
			r.kept[item.Key] = keptItem{Item: item}
			changes = append(changes, Change{Item: item})
		case now.Before(r.removeAfter):
			r.kept[item.Key] = keptItem{Item: item, due: r.removeAfter}
			changes = append(changes, Change{Item: item})
		}
	}
	return changes
}
