package retry

import "time"

// windowSlots divides a Window: retries are forgotten, and requests count no more,
// to within a twentieth of its length.
const windowSlots = 20

// initialRetries is what a new Window allows in any case: one of the first requests of
// an instance may meet a target that is gone.
const initialRetries = 1

// Window bounds the retries within the span of a length that ends with each of them,
// by a share of the requests within the same span and a constant besides. Unlike a Budget it lets all that the
// span allows be spent at once: a failure of many requests at the same moment is
// what retries are for.
type Window struct {
	length time.Duration
	share  float64   // retries for each request; 0 or more
	slack  float64   // retries besides; 0 or more
	start  time.Time // nothing is known of requests and retries before
	slots  [windowSlots + 1]windowSlot
}

// windowSlot counts what came within a part of a Window.
type windowSlot struct {
	end      time.Time // zero if the slot was never used
	requests int
	retries  int
}

// NewWindow makes a window that begins now. The slack grows from nothing over the
// first length, as retries before now are not known of.
func NewWindow(now time.Time, length time.Duration, share float64) *Window {
	return &Window{length: length, share: share, start: now}
}

// SetSlack sets the retries that are allowed besides the share.
func (w *Window) SetSlack(slack float64) { w.slack = slack }

// Request counts a first attempt.
func (w *Window) Request(now time.Time) { w.slot(now).requests++ }

// Spend counts a retry, and tells whether it was allowed.
func (w *Window) Spend(now time.Time) bool {
	if !w.Left(now) {
		return false
	}
	w.slot(now).retries++
	return true
}

// Left tells whether a retry is allowed. Slots that are in the span in part count
// for the retries and not for the requests.
func (w *Window) Left(now time.Time) bool {
	oldest := now.Add(-w.length)
	requests, retries := 0, 0
	for _, s := range w.slots {
		if s.end.After(oldest) {
			retries += s.retries
		}
		if s.end.Add(-w.slotLength()).After(oldest) {
			requests += s.requests
		}
	}
	grown := float64(now.Sub(w.start)) / float64(w.length)
	if grown < 1 && retries < initialRetries {
		return true
	}
	return float64(retries+1) <= w.share*float64(requests)+w.slack*min(1, grown)
}

func (w *Window) slotLength() time.Duration { return w.length / windowSlots }

// slot returns the slot of now, emptied if it was used for an earlier time.
func (w *Window) slot(now time.Time) *windowSlot {
	n := max(0, now.Sub(w.start)/w.slotLength())
	s := &w.slots[n%(windowSlots+1)]
	if ends := w.start.Add((n + 1) * w.slotLength()); s.end.Before(ends) {
		*s = windowSlot{end: ends}
	}
	return s
}
