// Package retry decides whether a request is tried again, and keeps all
// retries of a service within a budget, so that they can't amplify an outage.
//
// The package does no input or output and is not safe for concurrent use.
package retry

import (
	"time"

	"github.com/juju/errors"
)

// tokensPerRetry is one retry in the thousandths that a Budget counts in.
const tokensPerRetry = 1000

// Budget counts the retries that a service may still make. Hedged requests
// spend from it too.
type Budget struct {
	cfg    Config
	tokens int       // 0 <= tokens <= Burst, in thousandths of a retry
	filled time.Time // until when Minimum has been paid in
}

// NewBudget makes a budget with one retry in it. It returns a *ConfigError.
func NewBudget(now time.Time, cfg Config) (*Budget, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "retry.NewBudget")
	}
	return &Budget{cfg: cfg, tokens: tokensPerRetry, filled: now}, nil
}

// Request counts a first attempt, which pays for a share of a retry.
func (b *Budget) Request(now time.Time) {
	b.fill(now)
	b.add(b.cfg.Share)
}

// Spend takes one retry, and tells whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	if !b.Left(now) {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}

// Left tells whether a retry is left.
func (b *Budget) Left(now time.Time) bool {
	b.fill(now)
	return b.tokens >= tokensPerRetry
}

// fill pays in the minimum for the whole milliseconds that have passed. A clock
// that goes back pays nothing; one that goes on pays a burst at most.
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
	b.add(int(passed.Milliseconds()) * max(0, b.cfg.Minimum)) // a thousandth each ms for each retry a second
}

func (b *Budget) add(n int) {
	b.tokens = min(b.tokens+n, b.cfg.Burst*tokensPerRetry)
}
