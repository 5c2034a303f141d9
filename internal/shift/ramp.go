// Package shift enforces the shift cap of a service at one owner of targets.
//
// Time is divided into windows of one second. The shifted requests admitted in a
// window exceed those of the previous window by at most the cap. Each owner
// counts only its own admissions and holds shares of the cap that no other owner
// holds, so the sum over a place's owners stays within the cap too.
//
// The package performs no I/O and is not safe for concurrent use.
package shift

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/invariant"
)

const (
	windowLength = time.Second

	// maxAhead is how many windows ahead the next admission is searched for.
	maxAhead = 1024

	// maxStepBack is the longest step back of the clock for which the window is
	// kept. A longer step moves the window to the new time.
	maxStepBack = 2 * windowLength
)

// Cap is an owner's part of a service's shift cap.
type Cap struct {
	Version uint64  // of the settings that the shares come from
	Shares  []Share // of the targets that the owner may use now
}

// Counts reports what a Ramp has admitted.
type Counts struct {
	Version  uint64 // of the settings in force
	Window   int64  // number of the window: seconds since 1970
	Before   int    // admitted in the previous window
	Budget   int    // the most that may be admitted in this window
	Admitted int    // admitted in this window
	Total    uint64 // admitted since the start
	Refused  uint64 // refusals of Admit since the start
}

// Ramp limits the shifted requests of one service at one owner.
type Ramp struct {
	cfg      Config
	cap      Cap
	replaced []replacedCap // other versions that may still be in force elsewhere, oldest first
	latest   time.Time     // latest time observed; steps back of at most maxStepBack are ignored
	window   window
	total    uint64
	refused  uint64
}

// replacedCap is a cap that another version has replaced.
type replacedCap struct {
	shares []Share
	until  time.Time // it applies before then
}

// New returns a Ramp that admits nothing before SetCap. An invalid cfg gives
// *ConfigError.
func New(cfg Config) (*Ramp, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "shift.New")
	}
	return &Ramp{cfg: cfg}, nil
}

// SetCap puts a cap in force. A lower one applies at once, a higher one from the
// next window on, as the owner that had those shares may have used them in this
// one. After a change of version the lowest one applies until every owner has the
// new version.
func (r *Ramp) SetCap(now time.Time, c Cap) {
	now = r.advance(now)
	if r.cap.Version != c.Version && r.cap.Version != 0 {
		r.replaced = slices.DeleteFunc(r.replaced, func(o replacedCap) bool { return !now.Before(o.until) })
		r.replaced = append(r.replaced, replacedCap{shares: r.cap.Shares, until: now.Add(r.cfg.Spread)})
	}
	r.cap = c
	r.window.budget = min(r.window.budget, r.window.previous+r.growth(r.window.number))
}

// Free returns how many shifted requests may be admitted at now.
func (r *Ramp) Free(now time.Time) int {
	now = r.advance(now)
	return r.window.fit(now, now.Add(1), r.cfg.Burst)
}

// Admit admits and counts one shifted request if the cap allows it.
func (r *Ramp) Admit(now time.Time) bool {
	now = r.advance(now)
	if r.window.fit(now, now.Add(1), r.cfg.Burst) == 0 {
		r.refused++
		return false
	}
	r.window.take(now)
	r.total++
	r.check()
	return true
}

// RetryAt returns when the next shifted request can be admitted if no other
// arrives first: now if the cap allows it at once, the zero time if the cap
// admits none within maxAhead windows.
func (r *Ramp) RetryAt(now time.Time) time.Time { return r.admitAt(now, 1) }

// Counts returns what was admitted, for the log line of a decision and for
// external checks.
func (r *Ramp) Counts(now time.Time) Counts {
	r.advance(now)
	return Counts{
		Version: r.cap.Version, Window: r.window.number, Before: r.window.previous,
		Budget: r.window.budget, Admitted: r.window.admitted, Total: r.total, Refused: r.refused,
	}
}

// admitAt returns when the n-th request from now can be admitted.
func (r *Ramp) admitAt(now time.Time, n int) time.Time {
	now = r.advance(now)
	w := r.window
	for range maxAhead {
		fit := w.fit(now, w.end(), r.cfg.Burst)
		if n <= fit {
			return w.time(now, n, r.cfg.Burst)
		}
		n -= fit
		w.admitted += fit
		if w.admitted == 0 && !grows(r.cap.Shares) {
			break
		}
		w = w.next(r.growth(w.number + 1))
		now = w.start()
	}
	return time.Time{}
}

// advance moves to the window of now and returns the time to use for decisions,
// which is never before r.latest.
func (r *Ramp) advance(now time.Time) time.Time {
	if now.Before(r.latest) {
		if r.latest.Sub(now) <= maxStepBack {
			return r.latest
		}
		r.window.moveTo(now) // the counts are kept: two windows become one
		r.latest = now
		for i := range r.replaced {
			r.replaced[i].until = now.Add(r.cfg.Spread)
		}
		return now
	}
	r.latest = now
	number := now.Unix()
	if number == r.window.number {
		return now
	}
	if number > r.window.number+1 {
		r.window = window{number: number - 1} // nothing was admitted in between
	}
	r.window = r.window.next(r.growth(number))
	return now
}

// growth returns by how much a window may exceed the one before it.
func (r *Ramp) growth(number int64) int {
	n := totalGrowth(r.cap.Shares, number)
	for _, o := range r.replaced {
		if time.Unix(number, 0).Before(o.until) {
			n = min(n, totalGrowth(o.shares, number))
		}
	}
	return n
}

func (r *Ramp) check() {
	w := r.window
	ok := w.admitted-w.previous <= r.growth(w.number)
	r.cfg.Counter.Check(invariant.ShiftCap, ok, func() string {
		return fmt.Sprintf("window %d: %d admitted after %d, cap %d of version %d",
			w.number, w.admitted, w.previous, r.growth(w.number), r.cap.Version)
	})
}
