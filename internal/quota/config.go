// Package quota keeps the requests of a workspace within its quota over all instances, without a
// coordinator.
//
// The quota is divided into token buckets at some of the instances, its holders. A bucket starts
// empty and fills at its part of the rate; each request takes a token. Tokens move: an instance
// without tokens requests some from holders, and what a holder gives away is removed from its
// bucket. So in any window no more tokens are spent than all buckets hold and take in, whichever
// instances are killed, restarted or partitioned, and however late a message arrives. See
// docs/design/quotas.md.
//
// Ledger does no input or output and is not safe for concurrent use; Exchange is both.
package quota

import (
	"strings"
	"time"

	"github.com/juju/errors"
)

// Limit is the rate limit of a workspace.
type Limit struct {
	Rate  float64 // requests per second
	Burst float64 // requests beyond the rate
}

// Bounds limit how far the requests of a workspace, over all instances, may exceed its limit.
type Bounds struct {
	Window    time.Duration // in any span of this length; 0 for the default
	OverRatio float64       // fraction of the limit
	Slack     float64       // requests in addition
}

// Config configures a Ledger.
type Config struct {
	Self   string // name of this instance
	Domain string // its failure domain
	Region string

	Bounds
}

const (
	// defaultWindow is the window of today's platforms.
	defaultWindow = 5 * time.Second
	// boundShare is the part of a bound that is divided into buckets. The rest covers instances
	// that don't know of each other yet: a newcomer has no tokens for newcomerDelay, within which
	// all connected instances learn of it, and one of 12 holders that is partitioned then keeps a
	// twelfth of its own share too much.
	boundShare = 0.95
	// tokenLifetime is how long a token from another instance is valid, from the time of the
	// request for it: some round trips between regions. Tokens in transit count in addition to
	// those in buckets, so a window can hold the tokens of Window plus tokenLifetime.
	tokenLifetime = 200 * time.Millisecond
	// rateLoanDuration is how long a part of a share is lent: as long as it takes until callers are
	// directed to other instances.
	rateLoanDuration = 2 * time.Second
	// minBorrowDemand is the demand from which an instance borrows a part of a share, in requests
	// per second; below it, it requests single tokens.
	minBorrowDemand = 5.0
	// headroom is the factor by which the rate that an instance borrows or keeps exceeds its
	// demand, because the demand varies that much from one second to the next.
	headroom = 1.3
	// minStock is the smallest capacity of a holder's bucket, in tokens: with a capacity of one, a
	// second request within a second is refused.
	minStock = 4.0
	// minStockShare is the smallest part of a bound that is left for the capacity of buckets; a
	// workspace without a burst has no other.
	minStockShare = 0.1
	// holderExpiry is how long an instance counts as a holder after its record was removed, because
	// it may be partitioned and still serve. A longer partition can exceed the bound by the share
	// of the partitioned instances.
	holderExpiry = 5 * time.Minute
	// newcomerDelay is how long the buckets of a new instance stay empty: until all connected
	// instances know of it and have reduced their shares.
	newcomerDelay = 2 * time.Second
)

// ConfigError lists all faults of a Config.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string { return "quota: " + strings.Join(e.Faults, "; ") }

// Defaults sets the default for what is not set.
func (b *Bounds) Defaults() {
	if b.Window == 0 {
		b.Window = defaultWindow
	}
}

// Validate returns a *ConfigError that lists all faults.
func (c *Config) Validate() error {
	var faults []string
	if c.Self == "" {
		faults = append(faults, "self is missing")
	}
	if min(c.OverRatio, c.Slack, float64(c.Window)) < 0 {
		faults = append(faults, "a bound is negative")
	}
	if faults == nil {
		return nil
	}
	return errors.Trace(&ConfigError{Faults: faults})
}

// budget divides what a window may hold into the rate at which all buckets fill, in tokens per
// second, and their capacity, in tokens.
func (b Bounds) budget(l Limit) (rate, stock float64) {
	most := boundShare * ((l.Rate*b.Window.Seconds()+l.Burst)*(1+b.OverRatio) + b.Slack)
	span := (b.Window + tokenLifetime).Seconds()
	stock = max((most-l.Rate*span)/2, minStockShare*most)
	return (most - stock) / span, stock
}
