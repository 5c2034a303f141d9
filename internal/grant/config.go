package grant

import (
	"strings"
	"time"

	"github.com/firlever/firlever/internal/invariant"
)

// Config sets up a Book.
type Config struct {
	Life     time.Duration      // a grant may be used for so long
	Skew     float64            // bound on how far two clocks' rates differ, as a share
	Remember time.Duration      // how long a want counts after it was asked for
	Most     int                // requests granted by one answer
	Checks   *invariant.Counter // may be nil
}

// Defaults fills in what is zero.
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
