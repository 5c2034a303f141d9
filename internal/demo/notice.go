package demo

import (
	"time"

	"github.com/firlever/firlever/internal/notice"
)

// limitFraction is the limit that a target announces, as a fraction of its average request rate.
const limitFraction = 0.25

// setNotices makes each target of a place announce a notice until the given time: in turn, a limit
// on its request rate, that it leaves, and a back-off. Targets that are called directly are left
// out.
func (f *fleet) setNotices(place string, until time.Time) {
	n := 0
	for _, t := range f.targets {
		if t.cfg.Place != place || t.journal != f.journal {
			continue
		}
		typical := f.cfg.Rate * float64(t.cfg.Slots) / t.cfg.Mean.Seconds()
		t.setNotice([]notice.Notice{
			{HasLimit: true, Limit: limitFraction * typical}, {Leaving: true}, {BackOff: time.Until(until)},
		}[n%3], until)
		n++
	}
}

// setNotice makes the target send n in all answers until the given time.
func (t *restartingTarget) setNotice(n notice.Notice, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.SetNotice(n, until)
}
