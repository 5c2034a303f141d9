package retry

import (
	"strings"

	"github.com/juju/errors"
)

// Defaults of Config.
const (
	DefaultShare    = 100 // thousandths
	DefaultMinimum  = 1
	DefaultBurst    = 10
	DefaultAttempts = 3
	DefaultSamples  = 100
)

// NoMinimum as Minimum allows no retries but those that requests pay for.
const NoMinimum = -1

// Config sets up a Budget and a Policy.
type Config struct {
	Share    int  // retries allowed for a thousand requests
	Minimum  int  // retries allowed each second besides, so that a quiet service still retries; NoMinimum for none
	Burst    int  // the most retries that can be saved up
	Attempts int  // the most attempts for one request, the first among them
	Hedge    bool // allows hedged requests
	Samples  int  // latencies that must have been measured before a hedge
}

// ConfigError lists all faults of a Config.
type ConfigError struct{ Faults []string }

// Error lists the faults.
func (e *ConfigError) Error() string { return "retry: " + strings.Join(e.Faults, "; ") }

// Defaults fills what is not set.
func (c *Config) Defaults() {
	fields := map[*int]int{
		&c.Share: DefaultShare, &c.Minimum: DefaultMinimum, &c.Burst: DefaultBurst,
		&c.Attempts: DefaultAttempts, &c.Samples: DefaultSamples,
	}
	for field, value := range fields {
		if *field == 0 {
			*field = value
		}
	}
}

// Validate returns a *ConfigError that names every fault.
func (c *Config) Validate() error {
	var faults []string
	if c.Share < 0 || c.Share > tokensPerRetry {
		faults = append(faults, "share is not within 0 and 1000")
	}
	if c.Minimum < NoMinimum {
		faults = append(faults, "minimum is below -1")
	}
	if c.Burst < 1 {
		faults = append(faults, "burst is below 1")
	}
	if c.Attempts < 1 {
		faults = append(faults, "attempts is below 1")
	}
	if c.Samples < 1 {
		faults = append(faults, "samples is below 1")
	}
	if faults == nil {
		return nil
	}
	return errors.Trace(&ConfigError{Faults: faults})
}
