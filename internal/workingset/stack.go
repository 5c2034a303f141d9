package workingset

import (
	"slices"
	"time"
)

// stack holds the objects that ran at a target, the latest first, as the target's own cache does.
type stack struct {
	most    int // objects
	objects []lastRun
}

// lastRun is when an object last ran at a target.
type lastRun struct {
	object uint64
	at     time.Time
}

// touch moves an object to the top. It returns how many other objects ran since its last run;
// false if that is not known.
func (s *stack) touch(object uint64, at time.Time) (int, bool) {
	i := slices.IndexFunc(s.objects, func(r lastRun) bool { return r.object == object })
	found := i >= 0
	switch {
	case found:
	case len(s.objects) < s.most:
		i = len(s.objects)
		s.objects = append(s.objects, lastRun{})
	default:
		i = len(s.objects) - 1
	}
	copy(s.objects[1:i+1], s.objects[:i])
	s.objects[0] = lastRun{object, at}
	return i, found
}

// age returns how long ago the object at a depth of the stack ran; false if the stack is not as deep.
func (s *stack) age(now time.Time, depth int) (time.Duration, bool) {
	if depth >= len(s.objects) {
		return 0, false
	}
	return now.Sub(s.objects[depth].at), true
}
