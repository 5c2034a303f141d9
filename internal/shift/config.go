package shift

import (
	"strings"
	"time"

	"github.com/firlever/firlever/internal/invariant"
)

// Default values of Config.
const (
	DefaultSpread = 3 * time.Second
	DefaultBurst  = 8
)

// Config configures a Ramp.
type Config struct {
	Spread  time.Duration      // longest time until a settings document is in force everywhere
	Burst   int                // 1/Burst of a window's budget may be admitted at once
	Counter *invariant.Counter // counts checks of invariant.ShiftCap; may be nil
}

// ConfigError lists all faults of a Config.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string { return "shift: " + strings.Join(e.Faults, "; ") }

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	if c.Spread == 0 {
		c.Spread = DefaultSpread
	}
	if c.Burst == 0 {
		c.Burst = DefaultBurst
	}
}

// Validate returns a *ConfigError that names every fault, or nil.
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
