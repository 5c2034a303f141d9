// Package invariant counts the checks of what must always hold, and the times
// that it did not. Tests fail on the first violation; a running instance
// reports both counts as metrics.
package invariant

import "sync/atomic"

// Name names one invariant.
type Name string

// The invariants of the product, each checked where the decision is taken.
const (
	ShiftCap      Name = "shift-cap"      // a traffic shift never exceeds its cap
	RegionLimit   Name = "region-limit"   // no steering decision overloads a place or region
	WholeAnswer   Name = "whole-answer"   // every caller gets the whole answer to its own request
	NotRunTrue    Name = "not-run-true"   // a refusal saying "not run" is true
	AtMostOnce    Name = "at-most-once"   // a non-idempotent request runs at most once
	Leaving       Name = "leaving"        // a leaving target gets no new work
	GracefulStop  Name = "graceful-stop"  // a planned stop cuts no request
	ConfigForward Name = "config-forward" // an accepted configuration never reverts
	Contained     Name = "contained"      // a request that ends the targets that run it is held back
	Wanted        Name = "wanted"         // a target gets no more than it has said that it wants
)

// allNames lists all invariants: those of the brief in its order, then others.
var allNames = [...]Name{
	ShiftCap, RegionLimit, WholeAnswer, NotRunTrue,
	AtMostOnce, Leaving, GracefulStop, ConfigForward, Contained, Wanted,
}

// Count is the tally of one invariant.
type Count struct {
	Name       Name   `json:"name"`
	Checks     uint64 `json:"checks"`
	Violations uint64 `json:"violations"`
}

type tally struct {
	checks     atomic.Uint64
	violations atomic.Uint64
}

// Counter counts checks and violations. It is safe for concurrent use, and a
// nil Counter takes checks and counts nothing.
type Counter struct {
	tallies     map[Name]*tally // one for each of names; never changed after New
	onViolation func(Name, string)
}

// New makes a counter. fail is called at each violation and may be nil.
func New(onViolation func(Name, string)) *Counter {
	c := &Counter{tallies: make(map[Name]*tally, len(allNames)), onViolation: onViolation}
	for _, n := range allNames {
		c.tallies[n] = &tally{}
	}
	return c
}

// Check counts one check of n. detail is only called at a violation.
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

// Counts returns the tallies in the order of the brief.
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

// Violations returns the number of violations of all invariants together.
func (c *Counter) Violations() uint64 {
	var n uint64
	for _, count := range c.Counts() {
		n += count.Violations
	}
	return n
}
