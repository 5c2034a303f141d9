package demo

import (
	"time"

	"github.com/firlever/firlever/internal/notice"
)

// limitFraction is the part of a target's usual requests that it takes while it names a limit.
const limitFraction = 0.25

// setNotices makes the targets of a place say until a time, in turn, that they take fewer requests,
// that they leave, and that they want rest.
func (f *fleet) setNotices(place string, until time.Time) {
	n := 0
	for _, t := range f.targets {
		if t.cfg.Place != place || t.journal != f.journal {
			continue
		}
		typical := f.cfg.Rate * float64(t.cfg.Slots) / t.cfg.Mean.Seconds()
		t.setNotice([]notice.Notice{
			{Limited: true, Limit: limitFraction * typical}, {Leaving: true}, {Rest: time.Until(until)},
		}[n%3], until)
		n++
	}
}

// setNotice makes the target setNotice something in all answers until a time.
func (t *restartingTarget) setNotice(n notice.Notice, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.SetNotice(n, until)
}
