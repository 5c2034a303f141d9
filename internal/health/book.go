// Package health keeps what an owner knows of the targets of one service in
// one place, and says how many slots of each may be used now.
//
// The owner's own observations go before what a target claims of itself.
// The package does no input or output and is not safe for concurrent use.
package health

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"
)

// maxClockStep is how far the clock may go back without deadlines being moved.
const maxClockStep = 2 * time.Second

// Outcome is how a request to a target ended.
type Outcome int

// The outcomes.
const (
	OK      Outcome = iota // a whole answer
	Failed                 // no connection, a cut answer or an error of the target
	Refused                // the target shed the request unrun: it lives and has no room
	Timeout                // no answer before the request's deadline
)

// State is what Weight's result rests on.
type State string

// The states.
const (
	Unknown State = "unknown" // not in the book
	Warm    State = "warm"    // the whole allowance
	Cold    State = "cold"    // slots grow with successes and time
	Hinted  State = "hinted"  // lowered by the target's own claim
	Ejected State = "ejected" // none until a probe succeeds
	Reduced State = "reduced" // ejected, but used as too many others are too
	Aged    State = "aged"    // nothing was measured for long
)

// Book keeps the health of targets.
type Book[K comparable] struct {
	cfg     Config
	compare func(a, b K) int
	rng     *rand.Rand
	latest  time.Time    // latest time seen
	targets []*target[K] // sorted by compare, each key once
}

// New makes an empty book. compare orders the keys. It returns a *ConfigError.
func New[K comparable](cfg Config, compare func(a, b K) int, rng *rand.Rand) (*Book[K], error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "health.New")
	}
	return &Book[K]{cfg: cfg, compare: compare, rng: rng}, nil
}

// Add puts a target into the book, if it isn't there yet. A warm one is known
// to have served lately; others start cold, at one slot.
func (b *Book[K]) Add(now time.Time, key K, warm bool) {
	b.followClock(now)
	i, ok := b.find(key)
	if ok {
		return
	}
	t := &target[K]{key: key, coldAt: now.Add(b.cfg.Idle), agingAt: now.Add(b.cfg.Silent)}
	t.setOpenSlots(now, 1, b.cfg.Step)
	if warm {
		t.openSlots = unlimitedSlots
	}
	b.targets = slices.Insert(b.targets, i, t)
}

// Remove forgets a target.
func (b *Book[K]) Remove(key K) {
	if i, ok := b.find(key); ok {
		b.targets = slices.Delete(b.targets, i, i+1)
	}
}

// Observe takes in how one of the owner's own requests or probes ended.
// latency counts for OK alone.
func (b *Book[K]) Observe(now time.Time, key K, o Outcome, latency time.Duration) {
	t := b.get(now, key)
	if t == nil {
		return
	}
	b.recordSignal(now, t)
	t.freshUntil = now.Add(b.cfg.Fresh)
	t.coldAt = now.Add(b.cfg.Idle)
	switch o {
	case OK:
		b.recordSuccess(now, t, latency)
	case Refused:
		t.shrink(now, b.cfg.Step)
	default:
		b.recordFailure(now, t)
	}
}

// Probed takes in the answer to GET /health. It brings back an ejected target
// whose time has passed, or ejects it again; it changes no other.
func (b *Book[K]) Probed(now time.Time, key K, healthy bool) {
	t := b.get(now, key)
	if t == nil || !t.ejected || now.Before(t.ejectedUntil) {
		return
	}
	outcome := Failed
	if healthy {
		outcome = OK
	}
	b.Observe(now, key, outcome, t.latency)
}

// Own says whether this instance uses a target; it is taken to use all that are
// added. The floor of ejections counts those that it uses.
func (b *Book[K]) Own(key K, own bool) {
	if i, ok := b.find(key); ok {
		b.targets[i].notOwned = !own
	}
}

// Claim takes in what a target says of itself. It is a hint that lowers the
// weight while no own observation is fresh; it ejects and recovers nothing.
func (b *Book[K]) Claim(now time.Time, key K, healthy bool, slots, busy int) {
	t := b.get(now, key)
	if t == nil {
		return
	}
	b.recordSignal(now, t)
	t.reported, t.reportedHealthy, t.reportedSlots, t.reportedBusy = true, healthy, slots, busy
}

// Weight returns how many slots of a target may be used now, 0 to allowance.
// It keeps the allowance as the bound to which a cold target grows.
func (b *Book[K]) Weight(now time.Time, key K, allowance int) int {
	t := b.get(now, key)
	if t == nil || allowance <= 0 {
		return 0
	}
	t.allowance = allowance
	n, _ := b.usable(now, t)
	return n
}

// State returns what the weight of a target rests on, for log lines.
func (b *Book[K]) State(now time.Time, key K) State {
	t := b.get(now, key)
	if t == nil {
		return Unknown
	}
	_, state := b.usable(now, t)
	return state
}

// Latency returns the recent latency of a target's answers, 0 before the first.
func (b *Book[K]) Latency(key K) time.Duration {
	if i, ok := b.find(key); ok {
		return b.targets[i].latency
	}
	return 0
}

// ProbesDue returns the ejected targets to try now, each by one real idempotent
// request or by GET /health, in the order of the keys. Report what comes of it
// by Observe. A target is returned again if nothing came in time.
func (b *Book[K]) ProbesDue(now time.Time) []K {
	b.followClock(now)
	var keys []K
	for _, t := range b.targets {
		if !t.ejected || now.Before(t.ejectedUntil) || now.Before(t.probeDeadline) {
			continue
		}
		t.probeDeadline = now.Add(b.cfg.Probe)
		keys = append(keys, t.key)
	}
	return keys
}

func (b *Book[K]) find(key K) (int, bool) {
	return slices.BinarySearchFunc(b.targets, key, func(t *target[K], key K) int {
		return b.compare(t.key, key)
	})
}

// get returns the target of key at now, or nil.
func (b *Book[K]) get(now time.Time, key K) *target[K] {
	b.followClock(now)
	i, ok := b.find(key)
	if !ok {
		return nil
	}
	return b.targets[i]
}

// followClock moves all deadlines back with a clock that was set back far.
func (b *Book[K]) followClock(now time.Time) {
	back := now.Sub(b.latest)
	if !b.latest.IsZero() && back < -maxClockStep {
		for _, t := range b.targets {
			t.shiftDeadlines(back)
		}
		b.latest = now
	}
	if now.After(b.latest) {
		b.latest = now
	}
}
