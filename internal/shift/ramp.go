// Package shift enforces the shift cap of a service at one owner of targets.
//
// Time is cut into windows of one second. The shifted requests admitted in a
// window exceed those of the window before by at most the cap. Each owner
// counts what it admitted itself and holds shares of the cap that no other
// owner holds, so the sum over a place's owners keeps the cap too.
//
// The package does no input or output and is not safe for concurrent use.
package shift

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/invariant"
)

const (
	window = time.Second

	// maxAhead is how many windows ahead a next admission is looked for.
	maxAhead = 1024

	// maxHold is the longest that a window is held open when the clock goes
	// back. A longer step moves the window to the new time.
	maxHold = 2 * window
)

// Cap is an owner's part of a service's shift cap.
type Cap struct {
	Version uint64  // of the settings that the shares come from
	Shares  []Share // of the targets that the owner may use now
}

// Counts is what a ramp has admitted.
type Counts struct {
	Version  uint64 // of the settings in force
	Window   int64  // number of the window: seconds since 1970
	Before   int    // admitted in the window before
	Budget   int    // the most that may be admitted in this window
	Admitted int    // admitted in this window
	Total    uint64 // admitted since the start
	Held     uint64 // asked for and not admitted at once, since the start
}

// Ramp holds back the shifted requests of one service at one owner.
type Ramp struct {
	cfg    Config
	cap    Cap
	old    []oldCap  // other versions that may still be in force elsewhere, oldest first
	latest time.Time // latest time seen; a window never goes back below it by less than maxHold
	win    win
	total  uint64
	held   uint64
}

// oldCap is a cap that another version has replaced.
type oldCap struct {
	shares []Share
	until  time.Time // counts before it
}

// New makes a ramp that admits nothing until SetCap. It returns a *ConfigError.
func New(cfg Config) (*Ramp, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "shift.New")
	}
	return &Ramp{cfg: cfg}, nil
}

// SetCap puts a cap in force. A lower one counts at once, a higher one from the
// next window on, as the owner who had those shares may have used them in this
// one. After a change of version the lowest counts until every owner has the new
// one.
func (r *Ramp) SetCap(now time.Time, c Cap) {
	now = r.advance(now)
	if r.cap.Version != c.Version && r.cap.Version != 0 {
		r.old = slices.DeleteFunc(r.old, func(o oldCap) bool { return !now.Before(o.until) })
		r.old = append(r.old, oldCap{shares: r.cap.Shares, until: now.Add(r.cfg.Spread)})
	}
	r.cap = c
	r.win.budget = min(r.win.budget, r.win.before+r.units(r.win.number))
}

// Room returns how many shifted requests may be admitted right now.
func (r *Ramp) Room(now time.Time) int {
	now = r.advance(now)
	return r.win.fit(now, now.Add(1), r.cfg.Burst)
}

// Admit counts one shifted request in if there is room for it.
func (r *Ramp) Admit(now time.Time) bool {
	now = r.advance(now)
	if r.win.fit(now, now.Add(1), r.cfg.Burst) == 0 {
		r.held++
		return false
	}
	r.win.take(now)
	r.total++
	r.check()
	return true
}

// RetryAt returns when the next shifted request can be admitted if no other
// comes first: now when there is room, the zero time when the cap lets none
// pass in sight.
func (r *Ramp) RetryAt(now time.Time) time.Time { return r.at(now, 1) }

// Counts returns what was admitted, for the log line of a decision and for
// checks from outside.
func (r *Ramp) Counts(now time.Time) Counts {
	r.advance(now)
	return Counts{
		Version: r.cap.Version, Window: r.win.number, Before: r.win.before,
		Budget: r.win.budget, Admitted: r.win.admitted, Total: r.total, Held: r.held,
	}
}

// at returns when the n-th request from now can be admitted.
func (r *Ramp) at(now time.Time, n int) time.Time {
	now = r.advance(now)
	w := r.win
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
		w = w.next(r.units(w.number + 1))
		now = w.start()
	}
	return time.Time{}
}

// advance moves to the window of now and returns the time to decide by.
func (r *Ramp) advance(now time.Time) time.Time {
	if now.Before(r.latest) {
		if r.latest.Sub(now) <= maxHold {
			return r.latest
		}
		r.win.move(now) // the counts stay: two windows become one
		r.latest = now
		for i := range r.old {
			r.old[i].until = now.Add(r.cfg.Spread)
		}
		return now
	}
	r.latest = now
	number := now.Unix()
	if number == r.win.number {
		return now
	}
	if number > r.win.number+1 {
		r.win = win{number: number - 1} // nothing was admitted in between
	}
	r.win = r.win.next(r.units(number))
	return now
}

// units returns by how much the window may exceed the one before it.
func (r *Ramp) units(number int64) int {
	n := unitsOf(r.cap.Shares, number)
	for _, o := range r.old {
		if time.Unix(number, 0).Before(o.until) {
			n = min(n, unitsOf(o.shares, number))
		}
	}
	return n
}

func (r *Ramp) check() {
	w := r.win
	ok := w.admitted-w.before <= r.units(w.number)
	r.cfg.Counter.Check(invariant.ShiftCap, ok, func() string {
		return fmt.Sprintf("window %d: %d admitted after %d, cap %d of version %d",
			w.number, w.admitted, w.before, r.units(w.number), r.cap.Version)
	})
}
