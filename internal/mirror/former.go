package mirror

import (
	"github.com/cespare/xxhash/v2"

	"github.com/firlever/firlever/platform"
)

// previousStates holds the last states of keys that were replaced or removed, so that they are known
// again when the store has them again.
type previousStates struct {
	epochs map[state]uint64 // in which the state was there last
	ring   []state          // the keys of epochs, the oldest at next when it is full
	next   int
	max    int // entries of ring
}

// state is what a key held from a change on.
type state struct {
	key   string
	count uint64 // of the change, within its epoch: an older copy of the store still has it
	value uint64 // hash
}

func newPreviousStates(most int) previousStates {
	return previousStates{epochs: make(map[state]uint64), max: most}
}

func stateOf(item platform.Item) state {
	return state{key: item.Key, count: item.Changed.Count(), value: xxhash.Sum64(item.Value)}
}

// add notes a state that is no more.
func (f *previousStates) add(item platform.Item) {
	s := stateOf(item)
	_, known := f.epochs[s]
	f.epochs[s] = item.Changed.Epoch()
	switch {
	case known:
	case len(f.ring) < f.max:
		f.ring = append(f.ring, s)
	default:
		delete(f.epochs, f.ring[f.next])
		f.ring[f.next] = s
		f.next = (f.next + 1) % f.max
	}
}

// epoch is that in which an item was there before; false if it was not, as far as is known.
func (f *previousStates) epoch(item platform.Item) (uint64, bool) {
	epoch, ok := f.epochs[stateOf(item)]
	return epoch, ok
}
