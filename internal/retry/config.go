package retry

import (
	"strings"

	"github.com/juju/errors"
)

// Defaults of Config.
const (
	DefaultShare    = 100 // retries for a thousand requests
	DefaultMinimum  = 1
	DefaultBurst    = 10
	DefaultAttempts = 3
	DefaultSamples  = 100
)

// NoMinimum as Minimum allows only the retries that requests add to the budget.
const NoMinimum = -1

// Config configures a Budget and a Policy.
type Config struct {
	Share    int  // retries allowed for a thousand requests
	Minimum  int  // additional retries per second, so that a service with few requests can still retry; NoMinimum for none
	Burst    int  // most retries that the budget can hold
	Attempts int  // most attempts for one request, including the first
	Hedge    bool // enables hedged requests
	Samples  int  // number of measured latencies required for a hedged request
}

// ConfigError lists all faults of a Config.
type ConfigError struct{ Faults []string }

// Error lists the faults.
func (e *ConfigError) Error() string { return "retry: " + strings.Join(e.Faults, "; ") }

// Defaults sets the fields that are zero.
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

// Validate returns a *ConfigError that lists every fault, or nil.
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
