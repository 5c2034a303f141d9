// Package invariant counts checks of the product's invariants and their
// violations. Tests fail on the first violation; a running instance exports both
// counts as metrics.
package invariant

import "sync/atomic"

// Name identifies an invariant.
type Name string

// The invariants, each checked where the decision is made.
const (
	ShiftCap         Name = "shift-cap"      // a traffic shift never exceeds its cap
	RegionLimit      Name = "region-limit"   // no steering decision overloads a place or region
	WholeAnswer      Name = "whole-answer"   // a caller receives the complete response to its own request
	NotRunTrue       Name = "not-run-true"   // a request refused as not run has not run
	AtMostOnce       Name = "at-most-once"   // a non-idempotent request runs at most once
	Leaving          Name = "leaving"        // a leaving target receives no new requests
	GracefulStop     Name = "graceful-stop"  // a planned stop aborts no request
	ConfigForward    Name = "config-forward" // an accepted configuration never reverts
	PoisonSuppressed Name = "contained"      // a poison request, which crashes the targets that run it, is suppressed
	WithinNotices    Name = "wanted"         // a target receives only requests that its notices allow
	RetryBound       Name = "retry-bound"    // a service gets no more retries than its requests and time have earned
)

// allNames lists all invariants in the order in which Counts returns them.
var allNames = [...]Name{
	ShiftCap, RegionLimit, WholeAnswer, NotRunTrue,
	AtMostOnce, Leaving, GracefulStop, ConfigForward, PoisonSuppressed, WithinNotices, RetryBound,
}

// Count holds the counts of one invariant.
type Count struct {
	Name       Name   `json:"name"`
	Checks     uint64 `json:"checks"`
	Violations uint64 `json:"violations"`
}

type tally struct {
	checks     atomic.Uint64
	violations atomic.Uint64
}

// Counter counts checks and violations. It is safe for concurrent use. A nil
// Counter accepts checks and counts nothing.
type Counter struct {
	tallies     map[Name]*tally // one for each of allNames; not modified after New
	onViolation func(Name, string)
}

// New returns a counter. onViolation is called for each violation with its detail;
// it may be nil.
func New(onViolation func(Name, string)) *Counter {
	c := &Counter{tallies: make(map[Name]*tally, len(allNames)), onViolation: onViolation}
	for _, n := range allNames {
		c.tallies[n] = &tally{}
	}
	return c
}

// Check counts one check of n, and a violation unless ok. detail is called only for
// a violation, and only if the counter has a callback.
func (c *Counter) Check(n Name, ok bool, detail func() string) {
	if c == nil {
		return
	}
	t := c.tallies[n]
	t.checks.Add(1)
	if ok {
		return
	}
	t.violations.Add(1)
	if c.onViolation != nil {
		c.onViolation(n, detail())
	}
}

// Counts returns the counts of all invariants, always in the same order; nil for a
// nil Counter.
func (c *Counter) Counts() []Count {
	if c == nil {
		return nil
	}
	counts := make([]Count, 0, len(allNames))
	for _, n := range allNames {
		t := c.tallies[n]
		counts = append(counts, Count{Name: n, Checks: t.checks.Load(), Violations: t.violations.Load()})
	}
	return counts
}

// Violations returns the total number of violations of all invariants.
func (c *Counter) Violations() uint64 {
	var n uint64
	for _, count := range c.Counts() {
		n += count.Violations
	}
	return n
}
