package demo

import (
	"time"

	"github.com/firlever/firlever/internal/notice"
)

// limitShare is the part of a target's usual requests that it takes while it names a limit.
const limitShare = 0.25

// constrain makes the targets of a place say until a time, in turn, that they take fewer requests,
// that they leave, and that they want rest.
func (f *fleet) constrain(place string, until time.Time) {
	n := 0
	for _, m := range f.mortals {
		if m.cfg.Place != place || m.journal != f.journal {
			continue
		}
		usual := f.cfg.Rate * float64(m.cfg.Slots) / m.cfg.Mean.Seconds()
		m.say([]notice.Notice{
			{Limited: true, Limit: limitShare * usual}, {Leaving: true}, {Rest: time.Until(until)},
		}[n%3], until)
		n++
	}
}

// say makes the target say something in all answers until a time.
func (m *mortal) say(n notice.Notice, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.SetNotice(n, until)
}
