package queue

import "slices"

// ring cycles through its members in the order in which they were added. Its zero
// value is empty. remove takes linear time, which suits tens of members.
type ring[T comparable] struct {
	members []T
	turn    int // index of the member whose turn it is; 0 when empty
}

func (r *ring[T]) len() int { return len(r.members) }

// all returns the members; they must not be changed.
func (r *ring[T]) all() []T { return r.members }

// current returns the member whose turn it is. The ring must not be empty.
func (r *ring[T]) current() T { return r.members[r.turn] }

// advance passes the turn to the next member.
func (r *ring[T]) advance() {
	r.turn++
	if r.turn >= len(r.members) {
		r.turn = 0
	}
}

// add makes v the last in turn.
func (r *ring[T]) add(v T) {
	if r.turn == 0 {
		r.members = append(r.members, v)
		return
	}
	r.members = slices.Insert(r.members, r.turn, v)
	r.turn++
}

// remove removes v; if it was v's turn, it is now the next member's.
func (r *ring[T]) remove(v T) {
	i := slices.Index(r.members, v)
	if i < 0 {
		return
	}
	r.members = slices.Delete(r.members, i, i+1)
	if i < r.turn {
		r.turn--
	}
	if r.turn >= len(r.members) {
		r.turn = 0
	}
}
