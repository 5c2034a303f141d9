package shift

import "time"

// AdmittableUntil returns how many shifted requests the cap certainly admits from now
// until end, which is at most a window away, whether they all arrive in the
// current window, all in the next, or some in each.
func (r *Ramp) AdmittableUntil(now, end time.Time) int {
	now = r.advance(now)
	w := r.window
	if !end.After(w.end()) {
		return w.fit(now, end, r.cfg.Burst)
	}
	next := w.next(r.growth(w.number + 1))
	n := w.fit(now, w.end(), r.cfg.Burst) + next.fit(next.start(), end, r.cfg.Burst)
	return min(n, next.budget)
}
