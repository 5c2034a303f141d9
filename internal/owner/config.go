// Package owner decides which instance of a place may use which target, and
// counts the slots of the targets that this instance owns. Each target has a
// single owner, which enforces its limits by counting requests instead of
// relying on reports. The package performs no I/O, reads no clock, and is not
// safe for concurrent use. See docs/design/ownership.md for its guarantees.
package owner

import (
	"strings"
	"time"

	"github.com/firlever/firlever/internal/invariant"
)

// Default values of Config.
const (
	DefaultTerm   = 3 * time.Second
	DefaultSkew   = 0.05
	DefaultLag    = 30 * time.Second
	DefaultSettle = 10 * time.Second
)

// Config configures New. All instances of a place must agree on Term, Skew and Settle.
type Config struct {
	Self        string        // this instance's ID
	Incarnation uint64        // of this process; increases with each start
	Place       string        // place whose roster applies
	Term        time.Duration // how long one confirmation extends the ownership lease
	Skew        float64       // two clocks measure the same interval within a factor of 1+Skew
	Lag         time.Duration // the platform's list is at most this old
	ListProves  bool          // the list names a process until it has certainly ended, even if it is partitioned
	Settle      time.Duration // a changed document is in force everywhere within this
	Checks      *invariant.Counter
}

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	if c.Term == 0 {
		c.Term = DefaultTerm
	}
	if c.Skew == 0 {
		c.Skew = DefaultSkew
	}
	if c.Lag == 0 {
		c.Lag = DefaultLag
	}
	if c.Settle == 0 {
		c.Settle = DefaultSettle
	}
}

// Validate returns a *ConfigError that names every fault, or nil.
func (c *Config) Validate() error {
	var faults []string
	check := func(ok bool, fault string) {
		if !ok {
			faults = append(faults, fault)
		}
	}
	check(c.Self != "", "Self is empty")
	check(c.Incarnation != 0, "Incarnation is 0")
	check(c.Place != "", "Place is empty")
	check(c.Term > 0, "Term must be over 0")
	check(c.Skew > 0 && c.Skew < 1, "Skew must be between 0 and 1")
	check(c.Lag > 0, "Lag must be over 0")
	check(c.Settle > 0, "Settle must be over 0")
	if faults != nil {
		return &ConfigError{Faults: faults}
	}
	return nil
}

// ConfigError names every fault of a Config.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string { return "owner: config: " + strings.Join(e.Faults, "; ") }
