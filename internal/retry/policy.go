package retry

import (
	"time"

	"github.com/juju/errors"
)

// Reason says why a request is or isn't tried again.
type Reason string

// The reasons. Again is the only one that allows another attempt.
const (
	Again         Reason = "again"
	HandedOff     Reason = "handed"         // another instance decides about retries
	Streamed      Reason = "streamed"       // part of the answer or of the body is gone
	NotIdempotent Reason = "not-idempotent" // and no proof that it did not run
	Attempts      Reason = "attempts"       // it had as many as allowed
	NoTarget      Reason = "no-target"      // no target is left that it wasn't tried at
	Deadline      Reason = "deadline"       // another attempt would end too late
	NoBudget      Reason = "budget"         // the service has no retry left
)

// Attempt is a request whose last attempt failed, or has not answered yet.
type Attempt struct {
	Idempotent bool
	NotRun     bool      // proof that nothing ran: refused connection, no byte sent, the target's own refusal
	Handed     bool      // it came from another instance, which alone retries it
	Streamed   bool      // its body can't be sent again, or its answer has begun to go out
	Tried      int       // attempts so far
	Targets    int       // targets with room that it wasn't tried at
	Expected   time.Time // when another attempt begun now would be answered
	Deadline   time.Time // of the caller
}

// Decision is whether to try again, and why.
type Decision struct{ Reason Reason }

// Retry tells whether another attempt is allowed. It has been paid for.
func (d Decision) Retry() bool { return d.Reason == Again }

// Policy decides about retries and hedged requests of one service.
type Policy struct{ cfg Config }

// NewPolicy makes a policy. It returns a *ConfigError.
func NewPolicy(cfg Config) (Policy, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return Policy{}, errors.Annotate(err, "retry.NewPolicy")
	}
	return Policy{cfg: cfg}, nil
}

// Decide decides about one more attempt and, when it allows one, spends from
// the budget.
func (p Policy) Decide(now time.Time, a Attempt, b *Budget) Decision {
	if reason := p.denyReason(now, a); reason != "" {
		return Decision{Reason: reason}
	}
	if !b.Spend(now) {
		return Decision{Reason: NoBudget}
	}
	return Decision{Reason: Again}
}

// HedgeAt returns when to send a second copy of a request that has not been
// answered. slow is when it would be slower than nearly all (the 99th
// percentile, say) of the samples measured. ok is false when it must not be
// hedged. The second copy itself needs a Decide when its time has come.
func (p Policy) HedgeAt(now time.Time, a Attempt, slow time.Time, samples int, b *Budget) (at time.Time, ok bool) {
	if !p.cfg.Hedge || !a.Idempotent || samples < p.cfg.Samples {
		return time.Time{}, false
	}
	if p.denyReason(now, a) != "" || !slow.Before(a.Deadline) || !b.Left(now) {
		return time.Time{}, false
	}
	return slow, true
}

// denyReason returns why there can't be another attempt, leaving the budget aside.
func (p Policy) denyReason(now time.Time, a Attempt) Reason {
	switch {
	case a.Handed:
		return HandedOff
	case a.Streamed:
		return Streamed
	case !a.Idempotent && !a.NotRun:
		return NotIdempotent
	case a.Tried >= p.cfg.Attempts:
		return Attempts
	case a.Targets <= 0:
		return NoTarget
	case !now.Before(a.Deadline) || a.Expected.After(a.Deadline):
		return Deadline
	default:
		return ""
	}
}
