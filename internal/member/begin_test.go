package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/docstore"
)

// TestPlacePeersFindEachOther starts two instances of a place that get each other's address from
// other instances. They must hold each other soon, so that losing all other links shortly
// afterwards doesn't separate them.
func TestPlacePeersFindEachOther(t *testing.T) {
	first, second := instance(2, 2, 1), instance(3, 2, 1)
	seeds := []string{address(0), address(1), address(2)}
	tests := map[string]struct {
		seeds   []string // of the second; the first has instance 0
		holders int      // instances of the other place that hold the first
		lost    int      // packets to the second that are lost at the start
		most    time.Duration
	}{
		"told by another place":    {seeds: seeds[:1], holders: 1, most: 50 * time.Millisecond},
		"the first answer is lost": {seeds: seeds[:1], holders: 1, lost: 1, most: 300 * time.Millisecond},
		"the third seed knows":     {seeds: seeds, most: 550 * time.Millisecond},
	}
	for name, tt := range tests {
		for seed := range uint64(6) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				w := newNetwork(t)
				w.start(2, 2, 1)
				w.lists[address(0)].rng = rand.New(rand.NewPCG(seed, 1))
				startPlace(t, w, first, second, tt.seeds, tt.holders, tt.lost)
				w.run(tt.most)
				for _, in := range []int{2, 3} {
					if got := w.lists[address(in)].Alive(first.Place); len(got) != 1 {
						t.Errorf("got %d others of its place at instance %d after %s, want 1", len(got), in, tt.most)
					}
				}
			})
		}
	}
}

// startPlace starts the two instances, and partitions the first from all but the second.
func startPlace(t *testing.T, w *network, first, second docstore.Instance, seeds []string, holders, lost int) {
	beyond := func(from, to string) bool {
		return from == first.PeerAddress && to != second.PeerAddress || to == first.PeerAddress && from != second.PeerAddress
	}
	if holders == 0 {
		w.drop = beyond
	}
	w.add(first, address(0))
	w.run(time.Second)
	if got := w.lists[address(0)].placeSizes[first.Place]; got != holders {
		t.Fatalf("got %d instances of the place held beyond it, want %d", got, holders)
	}
	w.drop = func(from, to string) bool {
		if to == second.PeerAddress && lost > 0 {
			lost--
			return true
		}
		return beyond(from, to)
	}
	w.add(second, seeds...)
	w.tickAt(second.PeerAddress, w.now)
}
