package store

import (
	"fmt"
	"strings"
	"time"
)

// Config says how the store behaves when nothing fails.
type Config struct {
	Writes float64       // writing calls/s taken; bursts of one second's worth
	Reads  float64       // reading calls/s taken; bursts of one second's worth
	Lag    time.Duration // how old the answers to stale reads are
	Seed   uint64        // of what happens by chance
}

// Defaults returns the rates of the platforms of today.
func Defaults() Config { return Config{Writes: 400, Reads: 2000, Lag: 2 * time.Second, Seed: 1} }

// ConfigError names every fault of a Config.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string {
	return fmt.Sprintf("store: invalid configuration: %s", strings.Join(e.Faults, "; "))
}

// Validate returns a *ConfigError that names every fault, or nil.
func (c Config) Validate() error {
	var faults []string
	if c.Writes < 1 {
		faults = append(faults, "writes must be at least 1 a second")
	}
	if c.Reads < 1 {
		faults = append(faults, "reads must be at least 1 a second")
	}
	if c.Lag < 0 {
		faults = append(faults, "lag must not be negative")
	}
	if faults != nil {
		return &ConfigError{Faults: faults}
	}
	return nil
}

// Faults are what goes wrong. The zero value is a store without faults.
type Faults struct {
	Refuse bool      // calls are answered 503
	Silent bool      // calls are not answered
	Until  time.Time // Refuse and Silent end then; zero: with the next SetFaults
	Deaf   bool      // watches hear nothing of changes

	Delay     time.Duration // calls are done at once and answered so much later
	LateShare float64       // 0 to 1; share of the writes that are done only after Delay, and not answered
	LoseNext  int           // so many of the next writes are done and not answered
	LoseShare float64       // 0 to 1; share of the other writes that are done and not answered
	Closed    []string      // IP addresses of callers that are answered 429, while others are served
}

// expired says whether Refuse and Silent have ended.
func (f *Faults) expired(now time.Time) bool { return !f.Until.IsZero() && !now.Before(f.Until) }
