package shift

import (
	"strings"
	"time"

	"github.com/firlever/firlever/internal/invariant"
)

// Defaults of Config.
const (
	DefaultSpread = 3 * time.Second
	DefaultBurst  = 8
)

// Config sets up a Ramp.
type Config struct {
	Spread  time.Duration      // longest that a settings document takes to be in force everywhere
	Burst   int                // one in so many of a window's budget may be admitted at once
	Counter *invariant.Counter // counts checks of invariant.ShiftCap; may be nil
}

// ConfigError lists all faults of a Config.
type ConfigError struct{ Faults []string }

// Error lists the faults.
func (e *ConfigError) Error() string { return "shift: " + strings.Join(e.Faults, "; ") }

// Defaults fills what is not set.
func (c *Config) Defaults() {
	if c.Spread == 0 {
		c.Spread = DefaultSpread
	}
	if c.Burst == 0 {
		c.Burst = DefaultBurst
	}
}

// Validate returns a *ConfigError that names every fault.
func (c *Config) Validate() error {
	var faults []string
	if c.Spread < 0 {
		faults = append(faults, "spread is negative")
	}
	if c.Burst < 1 {
		faults = append(faults, "burst is below 1")
	}
	if faults == nil {
		return nil
	}
	return &ConfigError{Faults: faults}
}
