package grant

import "time"

// bucket is the time over which wishes are counted.
const bucket = 100 * time.Millisecond

// Hunger counts the requests that would like to go somewhere. Its zero value is
// ready for use.
type Hunger struct {
	end    time.Time // of the bucket under way
	now    int       // wishes in it
	before int       // wishes in the one before
}

// Wish counts one request.
func (h *Hunger) Wish(now time.Time) {
	h.roll(now)
	h.now++
}

// Want returns how many requests have wished lately: in the last one to two
// tenths of a second.
func (h *Hunger) Want(now time.Time) int {
	h.roll(now)
	return h.now + h.before
}

func (h *Hunger) roll(now time.Time) {
	switch {
	case now.Before(h.end):
		return
	case now.Before(h.end.Add(bucket)):
		h.before = h.now
		h.end = h.end.Add(bucket)
	default:
		h.before = 0
		h.end = now.Add(bucket)
	}
	h.now = 0
}
