// Package health tracks the health of the targets of one service in one place, and computes
// how many slots of each may be used now. The owner's own observations take precedence over
// a target's reports about itself.
//
// The package does no input or output and is not safe for concurrent use.
package health

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"
)

// maxClockStep is how far the clock may go back without the deadlines being moved.
const maxClockStep = 2 * time.Second

// Outcome is the outcome of a request to a target.
type Outcome int

// Outcomes of a request.
const (
	OK      Outcome = iota // a complete answer
	Failed                 // no connection, an incomplete answer or an error of the target
	Refused                // the target shed the request without running it: it is alive and has no free slots
	Timeout                // no answer before the request's deadline
)

// State is the basis of Weight's result.
type State string

// States of a target.
const (
	Unknown State = "unknown" // not added
	Warm    State = "warm"    // the whole allowance is usable
	Cold    State = "cold"    // the usable slots grow with successes and time
	Hinted  State = "hinted"  // lowered by the target's own report
	Ejected State = "ejected" // no slots until a probe succeeds
	Reduced State = "reduced" // ejected, but still used because too many others are ejected too
	Aged    State = "aged"    // raised because nothing was observed for a long time
)

// Tracker tracks the health of targets.
type Tracker[K comparable] struct {
	cfg     Config
	compare func(a, b K) int
	rng     *rand.Rand
	latest  time.Time    // latest time passed in
	targets []*target[K] // sorted by compare, each key once
}

// New returns a Book without targets. compare orders the keys. It returns a *ConfigError if
// cfg is invalid.
func New[K comparable](cfg Config, compare func(a, b K) int, rng *rand.Rand) (*Tracker[K], error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "health.New")
	}
	return &Tracker[K]{cfg: cfg, compare: compare, rng: rng}, nil
}

// Add adds a target, if it isn't there yet. A warm target is known to have served requests
// lately; others start cold, with one slot.
func (b *Tracker[K]) Add(now time.Time, key K, warm bool) {
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

// Remove removes a target.
func (b *Tracker[K]) Remove(key K) {
	if i, ok := b.find(key); ok {
		b.targets = slices.Delete(b.targets, i, i+1)
	}
}

// Observe records the outcome of one of the owner's own requests or probes. latency is used
// only for OK.
func (b *Tracker[K]) Observe(now time.Time, key K, o Outcome, latency time.Duration) {
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

// Probed records the result of GET /health. For an ejected target whose ejection time has
// passed, it ends or renews the ejection; it has no effect on other targets.
func (b *Tracker[K]) Probed(now time.Time, key K, healthy bool) {
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

// SetOwned sets whether this instance uses a target. Targets that are added count as used. Only
// used targets count for the bound on ejections.
func (b *Tracker[K]) SetOwned(key K, own bool) {
	if i, ok := b.find(key); ok {
		b.targets[i].notOwned = !own
	}
}

// RecordReport records a target's report about itself. It only lowers the weight, while no own
// observation is recent; it neither ejects a target nor ends an ejection.
func (b *Tracker[K]) RecordReport(now time.Time, key K, healthy bool, slots, busy int) {
	t := b.get(now, key)
	if t == nil {
		return
	}
	b.recordSignal(now, t)
	t.reported, t.reportedHealthy, t.reportedSlots, t.reportedBusy = true, healthy, slots, busy
}

// Weight returns how many slots of a target may be used now, 0 to allowance. It stores the
// allowance as the limit to which a cold target grows.
func (b *Tracker[K]) Weight(now time.Time, key K, allowance int) int {
	t := b.get(now, key)
	if t == nil || allowance <= 0 {
		return 0
	}
	t.allowance = allowance
	n, _ := b.usable(now, t)
	return n
}

// State returns the basis of a target's weight, for log lines.
func (b *Tracker[K]) State(now time.Time, key K) State {
	t := b.get(now, key)
	if t == nil {
		return Unknown
	}
	_, state := b.usable(now, t)
	return state
}

// Latency returns the recent average latency of a target's answers, 0 before the first.
func (b *Tracker[K]) Latency(key K) time.Duration {
	if i, ok := b.find(key); ok {
		return b.targets[i].latency
	}
	return 0
}

// ProbesDue returns the ejected targets to probe now, each by one real idempotent request
// or by GET /health, in the order of the keys. The result must be passed to Observe or
// Probed. A target is returned again if none was in time.
func (b *Tracker[K]) ProbesDue(now time.Time) []K {
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

func (b *Tracker[K]) find(key K) (int, bool) {
	return slices.BinarySearchFunc(b.targets, key, func(t *target[K], key K) int {
		return b.compare(t.key, key)
	})
}

// get returns the target of key at now, or nil if it was not added.
func (b *Tracker[K]) get(now time.Time, key K) *target[K] {
	b.followClock(now)
	i, ok := b.find(key)
	if !ok {
		return nil
	}
	return b.targets[i]
}

// followClock moves all deadlines back if the clock was set back by more than maxClockStep.
func (b *Tracker[K]) followClock(now time.Time) {
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
