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

// New returns a Tracker without targets. compare orders the keys. It returns a *ConfigError if
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
func (tr *Tracker[K]) Add(now time.Time, key K, warm bool) {
	tr.followClock(now)
	i, ok := tr.find(key)
	if ok {
		return
	}
	t := &target[K]{key: key, coldAt: now.Add(tr.cfg.Idle), agingAt: now.Add(tr.cfg.Silent)}
	t.setOpenSlots(now, 1, tr.cfg.Step)
	if warm {
		t.openSlots = unlimitedSlots
	}
	tr.targets = slices.Insert(tr.targets, i, t)
}

// Remove removes a target.
func (tr *Tracker[K]) Remove(key K) {
	if i, ok := tr.find(key); ok {
		tr.targets = slices.Delete(tr.targets, i, i+1)
	}
}

// Observe records the outcome of one of the owner's own requests or probes. latency is used
// only for OK.
func (tr *Tracker[K]) Observe(now time.Time, key K, o Outcome, latency time.Duration) {
	t := tr.get(now, key)
	if t == nil {
		return
	}
	tr.recordSignal(now, t)
	t.freshUntil = now.Add(tr.cfg.Fresh)
	t.coldAt = now.Add(tr.cfg.Idle)
	switch o {
	case OK:
		tr.recordSuccess(now, t, latency)
	case Refused:
		t.shrink(now, tr.cfg.Step)
	default:
		tr.recordFailure(now, t)
	}
}

// Probed records the result of GET /health. For an ejected target whose ejection time has
// passed, it ends or renews the ejection; it has no effect on other targets.
func (tr *Tracker[K]) Probed(now time.Time, key K, healthy bool) {
	t := tr.get(now, key)
	if t == nil || !t.ejected || now.Before(t.ejectedUntil) {
		return
	}
	outcome := Failed
	if healthy {
		outcome = OK
	}
	tr.Observe(now, key, outcome, t.latency)
}

// ForgetFailures ends all ejections and drops what led to them, as the path to the targets had failed.
func (tr *Tracker[K]) ForgetFailures() {
	for _, t := range tr.targets {
		t.ejected, t.ejections, t.consecutiveFailures, t.failureRate, t.samples = false, 0, 0, 0, 0
	}
}

// SetOwned sets whether this instance uses a target. Targets that are added count as used. Only
// used targets count for the bound on ejections.
func (tr *Tracker[K]) SetOwned(key K, own bool) {
	if i, ok := tr.find(key); ok {
		tr.targets[i].notOwned = !own
	}
}

// RecordReport records a target's report about itself. It only lowers the weight, while no own
// observation is recent; it neither ejects a target nor ends an ejection.
func (tr *Tracker[K]) RecordReport(now time.Time, key K, healthy bool, slots, busy int) {
	t := tr.get(now, key)
	if t == nil {
		return
	}
	tr.recordSignal(now, t)
	t.reported, t.reportedHealthy, t.reportedSlots, t.reportedBusy = true, healthy, slots, busy
}

// Weight returns how many slots of a target may be used now, 0 to allowance. It stores the
// allowance as the limit to which a cold target grows.
func (tr *Tracker[K]) Weight(now time.Time, key K, allowance int) int {
	t := tr.get(now, key)
	if t == nil || allowance <= 0 {
		return 0
	}
	t.allowance = allowance
	n, _ := tr.usable(now, t)
	return n
}

// State returns the basis of a target's weight, for log lines.
func (tr *Tracker[K]) State(now time.Time, key K) State {
	t := tr.get(now, key)
	if t == nil {
		return Unknown
	}
	_, state := tr.usable(now, t)
	return state
}

// Latency returns the recent average latency of a target's answers, 0 before the first.
func (tr *Tracker[K]) Latency(key K) time.Duration {
	if i, ok := tr.find(key); ok {
		return tr.targets[i].latency
	}
	return 0
}

// ProbesDue returns the ejected targets to probe now, each by one real idempotent request
// or by GET /health, in the order of the keys. The result must be passed to Observe or
// Probed. A target is returned again if none was in time.
func (tr *Tracker[K]) ProbesDue(now time.Time) []K {
	tr.followClock(now)
	var keys []K
	for _, t := range tr.targets {
		if !t.ejected || now.Before(t.ejectedUntil) || now.Before(t.probeDeadline) {
			continue
		}
		t.probeDeadline = now.Add(tr.cfg.Probe)
		keys = append(keys, t.key)
	}
	return keys
}

func (tr *Tracker[K]) find(key K) (int, bool) {
	return slices.BinarySearchFunc(tr.targets, key, func(t *target[K], key K) int {
		return tr.compare(t.key, key)
	})
}

// get returns the target of key at now, or nil if it was not added.
func (tr *Tracker[K]) get(now time.Time, key K) *target[K] {
	tr.followClock(now)
	i, ok := tr.find(key)
	if !ok {
		return nil
	}
	return tr.targets[i]
}

// followClock moves all deadlines back if the clock was set back by more than maxClockStep.
func (tr *Tracker[K]) followClock(now time.Time) {
	back := now.Sub(tr.latest)
	if !tr.latest.IsZero() && back < -maxClockStep {
		for _, t := range tr.targets {
			t.shiftDeadlines(back)
		}
		tr.latest = now
	}
	if now.After(tr.latest) {
		tr.latest = now
	}
}
