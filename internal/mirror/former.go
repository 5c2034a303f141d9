package mirror

import (
	"github.com/cespare/xxhash/v2"

	"github.com/firlever/firlever/platform"
)

// previousStates holds the last states of keys that were replaced or removed, so that they are
// recognized when a restored store has them again.
type previousStates struct {
	epochs   map[state]uint64 // the epoch in which the state existed last
	ring     []state          // the keys of epochs; once it is full, the oldest is at next
	next     int
	capacity int // of ring
}

// state identifies a value of a key by the change that wrote it.
type state struct {
	key   string
	count uint64 // of the change within its epoch; an older snapshot of the store has the same one
	value uint64 // hash
}

func newPreviousStates(capacity int) previousStates {
	return previousStates{epochs: make(map[state]uint64), capacity: capacity}
}

func stateOf(item platform.Item) state {
	return state{key: item.Key, count: item.Changed.Count(), value: xxhash.Sum64(item.Value)}
}

// add records a state that was replaced or removed.
func (p *previousStates) add(item platform.Item) {
	s := stateOf(item)
	_, known := p.epochs[s]
	p.epochs[s] = item.Changed.Epoch()
	switch {
	case known:
	case len(p.ring) < p.capacity:
		p.ring = append(p.ring, s)
	default:
		delete(p.epochs, p.ring[p.next])
		p.ring[p.next] = s
		p.next = (p.next + 1) % p.capacity
	}
}

// epoch returns the epoch in which an item existed before; false if none is recorded.
func (p *previousStates) epoch(item platform.Item) (uint64, bool) {
	epoch, ok := p.epochs[stateOf(item)]
	return epoch, ok
}
