package retry

import "time"

// windowSlots is the number of slots that divide the length of a Window. Requests and
// retries leave the window a slot at a time, so its length is exact to a twentieth.
const windowSlots = 20

// Window bounds the retries within a sliding window that ends with each of them, by a share
// of the requests within the same window and a constant in addition. Unlike a Budget, it
// allows the whole amount to be spent at once: a failure of many requests at the same
// moment is the case that retries are meant for.
//
// A Window that is dropped and begun anew, as its process ends, forgets retries. Those were
// earned by requests within one length before them, and the new one allows no retry that its
// own requests or its own time has not earned. So over any time, however often Windows are
// dropped and wherever requests go, all Windows together allow no more than the share of the
// requests within that time and one length before it.
type Window struct {
	length    time.Duration
	share     float64   // retries per request; 0 or more
	slack     float64   // additional retries; 0 or more
	start     time.Time // earlier requests and retries are not counted
	slackFrom time.Time // the slack grows from 0 over the length from then on
	spent     uint64    // retries since start
	slots     [windowSlots + 1]windowSlot
}

// windowSlot counts the requests and retries within one slot of a Window.
type windowSlot struct {
	end      time.Time // zero if the slot was never used
	requests int
	retries  int
}

// NewWindow returns a Window that begins now, without slack.
func NewWindow(now time.Time, length time.Duration, share float64) *Window {
	return &Window{length: length, share: share, start: now}
}

// SetShare sets how many retries a request earns.
func (w *Window) SetShare(share float64) { w.share = share }

// SetSlack sets the number of retries that are allowed in addition to the share. They grow from 0 over
// one length from the given time on.
func (w *Window) SetSlack(slack float64, from time.Time) { w.slack, w.slackFrom = slack, from }

// Request counts a first attempt.
func (w *Window) Request(now time.Time) { w.slot(now).requests++ }

// Spend counts a retry if it is allowed, and reports whether it was.
func (w *Window) Spend(now time.Time) bool {
	if !w.Left(now) {
		return false
	}
	w.slot(now).retries++
	w.spent++
	return true
}

// Left reports whether a retry is allowed.
func (w *Window) Left(now time.Time) bool {
	u := w.Usage(now)
	return float64(u.Retries+1) <= u.Allowed
}

// Usage is what is used of a Window.
type Usage struct {
	Requests int       // first attempts within the window
	Retries  int       // retries within the window
	Allowed  float64   // retries that the window allows
	Spent    uint64    // retries since Since
	Since    time.Time // start of the Window
}

// Usage returns what is used of the window that ends now. A slot that is only partly within it
// counts for its retries but not for its requests.
func (w *Window) Usage(now time.Time) Usage {
	oldest := now.Add(-w.length)
	u := Usage{Spent: w.spent, Since: w.start}
	for _, s := range w.slots {
		if s.end.After(oldest) {
			u.Retries += s.retries
		}
		if s.end.Add(-w.slotLength()).After(oldest) {
			u.Requests += s.requests
		}
	}
	grown := float64(now.Sub(w.slackFrom)) / float64(w.length)
	u.Allowed = w.share*float64(u.Requests) + w.slack*min(1, max(0, grown))
	return u
}

func (w *Window) slotLength() time.Duration { return w.length / windowSlots }

// slot returns the slot of now, reset if it holds counts of an earlier time.
func (w *Window) slot(now time.Time) *windowSlot {
	n := max(0, now.Sub(w.start)/w.slotLength())
	s := &w.slots[n%(windowSlots+1)]
	if ends := w.start.Add((n + 1) * w.slotLength()); s.end.Before(ends) {
		*s = windowSlot{end: ends}
	}
	return s
}
