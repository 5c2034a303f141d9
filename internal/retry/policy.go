package retry

import (
	"time"

	"github.com/juju/errors"
)

// Reason is the reason that a request is or isn't retried.
type Reason string

// Reasons of a Decision. Again is the only one that allows another attempt.
const (
	Again         Reason = "again"
	HandedOff     Reason = "handed"         // another instance decides about retries
	Streamed      Reason = "streamed"       // part of the answer has been sent on, or part of the body can't be sent again
	NotIdempotent Reason = "not-idempotent" // not idempotent, and no proof that it did not run
	Attempts      Reason = "attempts"       // it had as many attempts as allowed
	NoTarget      Reason = "no-target"      // no target is left that it wasn't sent to
	Deadline      Reason = "deadline"       // another attempt would end after the deadline
	NoBudget      Reason = "budget"         // the service has no retry left
)

// Attempt describes a request whose last attempt failed or is still in flight.
type Attempt struct {
	Idempotent     bool
	NotRun         bool      // proof that it did not run: connection refused, no byte sent, or a refusal by the target
	HandedOff      bool      // it came from another instance, which alone retries it
	Streamed       bool      // its body can't be sent again, or its answer has begun to be sent on
	AttemptsMade   int       // attempts so far
	UntriedTargets int       // targets with free slots that it wasn't sent to
	Expected       time.Time // expected time of the answer to another attempt that starts now
	Deadline       time.Time // deadline of the caller
}

// Decision is the decision about another attempt, with its reason.
type Decision struct{ Reason Reason }

// Retry reports whether another attempt is allowed. If it is, it has been taken from the
// budget.
func (d Decision) Retry() bool { return d.Reason == Again }

// Policy decides about retries and hedged requests of one service.
type Policy struct{ cfg Config }

// NewPolicy returns a Policy. It returns a *ConfigError if cfg is invalid.
func NewPolicy(cfg Config) (Policy, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return Policy{}, errors.Annotate(err, "retry.NewPolicy")
	}
	return Policy{cfg: cfg}, nil
}

// Decide decides about one more attempt and, if it allows one, takes it from the budget.
func (p Policy) Decide(now time.Time, a Attempt, b *Budget) Decision {
	if reason := p.denyReason(now, a); reason != "" {
		return Decision{Reason: reason}
	}
	if !b.Spend(now) {
		return Decision{Reason: NoBudget}
	}
	return Decision{Reason: Again}
}

// HedgeAt returns when to send a second copy of a request that has not been answered. slow
// is the time at which the request becomes slower than nearly all measured samples (the
// 99th percentile, say). ok is false if the request must not be hedged. The second copy
// itself requires a Decide when it is due.
func (p Policy) HedgeAt(now time.Time, a Attempt, slow time.Time, samples int, b *Budget) (at time.Time, ok bool) {
	if !p.cfg.Hedge || !a.Idempotent || samples < p.cfg.Samples {
		return time.Time{}, false
	}
	if p.denyReason(now, a) != "" || !slow.Before(a.Deadline) || !b.Left(now) {
		return time.Time{}, false
	}
	return slow, true
}

// denyReason returns why there can't be another attempt, apart from the budget, or an empty
// Reason.
func (p Policy) denyReason(now time.Time, a Attempt) Reason {
	switch {
	case a.HandedOff:
		return HandedOff
	case a.Streamed:
		return Streamed
	case !a.Idempotent && !a.NotRun:
		return NotIdempotent
	case a.AttemptsMade >= p.cfg.Attempts:
		return Attempts
	case a.UntriedTargets <= 0:
		return NoTarget
	case !now.Before(a.Deadline) || a.Expected.After(a.Deadline):
		return Deadline
	default:
		return ""
	}
}
