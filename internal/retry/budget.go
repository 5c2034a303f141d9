// Package retry decides whether a request is retried, and keeps all retries of a service
// within a budget, so that they can't amplify an outage.
//
// The package does no input or output and is not safe for concurrent use.
package retry

import (
	"time"

	"github.com/juju/errors"
)

// tokensPerRetry is the number of tokens that one retry costs: a Budget counts in
// thousandths of a retry.
const tokensPerRetry = 1000

// Budget is a token bucket for the retries of a service. Hedged requests spend from it too.
type Budget struct {
	cfg    Config
	tokens int       // 0 <= tokens <= Burst, in thousandths of a retry
	filled time.Time // time up to which Minimum has been credited
	earned int       // since the start, in thousandths of a retry; with the first retry, and what Burst has cut off
	spent  int       // retries since the start
}

// WithinBound reports whether no more retries were made since the start than were earned.
func (b *Budget) WithinBound() bool { return b.spent*tokensPerRetry <= b.earned }

// NewBudget returns a Budget that holds one retry. It returns a *ConfigError if cfg is
// invalid.
func NewBudget(now time.Time, cfg Config) (*Budget, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "retry.NewBudget")
	}
	return &Budget{cfg: cfg, tokens: tokensPerRetry, filled: now, earned: tokensPerRetry}, nil
}

// Request counts a first attempt, which adds Share to the budget.
func (b *Budget) Request(now time.Time) {
	b.fill(now)
	b.add(b.cfg.Share)
}

// Spend takes one retry from the budget, and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	if !b.Left(now) {
		return false
	}
	b.tokens -= tokensPerRetry
	b.spent++
	return true
}

// Left reports whether a retry is left.
func (b *Budget) Left(now time.Time) bool {
	b.fill(now)
	return b.tokens >= tokensPerRetry
}

// fill credits Minimum for the whole milliseconds that have passed. If the clock goes back,
// nothing is credited; if it jumps ahead, at most a burst is.
func (b *Budget) fill(now time.Time) {
	passed := now.Sub(b.filled).Truncate(time.Millisecond)
	if passed <= 0 {
		if now.Before(b.filled) {
			b.filled = now
		}
		return
	}
	b.filled = b.filled.Add(passed)
	passed = min(passed, time.Duration(b.cfg.Burst)*time.Second)
	b.add(int(passed.Milliseconds()) * max(0, b.cfg.Minimum)) // Minimum retries per second are as many thousandths per millisecond
}

func (b *Budget) add(n int) {
	b.earned += n
	b.tokens = min(b.tokens+n, b.cfg.Burst*tokensPerRetry)
}
