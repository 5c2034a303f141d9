// Package quota keeps the requests of a workspace within its quota over all instances,
// without a coordinator.
//
// The quota is divided into buckets of tokens at some of the instances, its holders. A
// bucket begins empty and fills at its part of the rate; a request takes a token. Tokens
// move: who has none asks holders, and what a holder gives away it has no more. So in any
// window no more tokens are spent than all buckets hold and take in, whatever instances
// are killed, restarted or cut off, and however late a message comes. See
// docs/design/quotas.md.
//
// Ledger does no input or output and is not safe for concurrent use; Exchange is both.
package quota

import (
	"strings"
	"time"

	"github.com/juju/errors"
)

// Limit is what a workspace may send.
type Limit struct {
	Rate  float64 // requests a second
	Burst float64 // requests besides
}

// Bounds say how far the requests of a workspace, over all instances, may exceed its
// limit.
type Bounds struct {
	Window time.Duration // in any span of this length; 0: the default
	Over   float64       // part of the limit
	Slack  float64       // requests besides
}

// Config sets up a Ledger.
type Config struct {
	Self   string // name of this instance
	Domain string // its failure domain
	Region string

	Bounds
}

const (
	// defaultWindow is the window of the platforms of today.
	defaultWindow = 5 * time.Second
	// boundShare is the part of a bound that is divided into buckets. The rest is for instances
	// that don't know of each other yet: a newcomer has no tokens for settleTime, in which
	// all in touch hear of it, and one of 12 holders that is cut off then keeps a twelfth
	// of its own too much.
	boundShare = 0.95
	// tokenLifetime is how long a token from another instance counts, from when it was asked
	// for: some round trips between regions. Tokens that are on their way count beside
	// those in buckets, so that a window holds what comes in within Window and tokenLifetime.
	tokenLifetime = 200 * time.Millisecond
	// rateLoanDuration is how long a part of a share is lent: as long as callers need to be named
	// other instances.
	rateLoanDuration = 2 * time.Second
	// minBorrowDemand is the demand from which an instance borrows a part of a share, in
	// requests a second; with less it asks for single tokens.
	minBorrowDemand = 5.0
	// headroom is how much more than its demand an instance wants to have, or to keep: the
	// demand of a second differs so much from that of the next.
	headroom = 1.3
	// minStock is the least that a holder's bucket can hold, in tokens: with one, a
	// second request within a second finds none.
	minStock = 4.0
	// minStockShare is the least part of a bound that buckets can hold; a workspace without
	// a burst has no other.
	minStockShare = 0.1
	// holderExpiry is how long an instance counts as a holder after its record went: it may
	// be cut off and serve on. Longer cuts can exceed the bound by the part of those that
	// are cut off.
	holderExpiry = 5 * time.Minute
	// newcomerDelay is how long a newcomer's buckets stay empty: until all in touch have
	// heard of it and hold less.
	newcomerDelay = 2 * time.Second
)

// ConfigError lists all faults of a Config.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string { return "quota: " + strings.Join(e.Faults, "; ") }

// Defaults fills what is not set.
func (b *Bounds) Defaults() {
	if b.Window == 0 {
		b.Window = defaultWindow
	}
}

// Validate returns a *ConfigError that names every fault.
func (c *Config) Validate() error {
	var faults []string
	if c.Self == "" {
		faults = append(faults, "self is missing")
	}
	if min(c.Over, c.Slack, float64(c.Window)) < 0 {
		faults = append(faults, "a bound is negative")
	}
	if faults == nil {
		return nil
	}
	return errors.Trace(&ConfigError{Faults: faults})
}

// budget divides what a window may hold at all buckets: what comes in each second, and
// what they can hold together.
func (b Bounds) budget(l Limit) (rate, stock float64) {
	most := boundShare * ((l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Over) + b.Slack)
	span := (b.Window + tokenLifetime).Seconds()
	stock = max((most-l.Rate*span)/2, minStockShare*most)
	return (most - stock) / span, stock
}
