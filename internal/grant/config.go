package grant

import (
	"strings"
	"time"

	"github.com/firlever/firlever/internal/invariant"
)

// Config bounds the grants that are issued.
type Config struct {
	Life     time.Duration      // how long a grant may be used
	Skew     float64            // bound on the relative difference between two clocks' rates
	Remember time.Duration      // how long an ask counts as demand
	Most     int                // most requests granted by one answer
	Checks   *invariant.Counter // may be nil
}

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	if c.Life == 0 {
		c.Life = 500 * time.Millisecond
	}
	if c.Remember == 0 {
		c.Remember = 100 * time.Millisecond
	}
	if c.Most == 0 {
		c.Most = 64
	}
}

// ConfigError lists every fault of a Config at once.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string { return "grant: " + strings.Join(e.Faults, "; ") }

// Validate returns a *ConfigError that names every fault, or nil.
func (c *Config) Validate() error {
	var faults []string
	if c.Life <= 0 {
		faults = append(faults, "life is not positive")
	}
	if c.Skew < 0 || c.Skew >= 1 {
		faults = append(faults, "skew is not in [0, 1)")
	}
	if c.Remember <= 0 {
		faults = append(faults, "remember is not positive")
	}
	if c.Most < 1 {
		faults = append(faults, "most is below 1")
	}
	if faults == nil {
		return nil
	}
	return &ConfigError{Faults: faults}
}
