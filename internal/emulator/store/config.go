package store

import (
	"fmt"
	"strings"
	"time"
)

// Config describes how the store behaves without faults.
type Config struct {
	Writes float64       // writing calls/s that are accepted; bursts of one second's worth
	Reads  float64       // reading calls/s that are accepted; bursts of one second's worth
	Lag    time.Duration // age of the state that stale reads return
	Seed   uint64        // of the random faults
}

// Defaults returns the rate limits of current platforms.
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

// Faults are the injected faults. The zero value is a store without faults.
type Faults struct {
	Refuse         bool      // calls are answered 503
	Silent         bool      // calls are not answered
	Until          time.Time // end of those two faults; zero: they last until the next SetFaults
	SuppressEvents bool      // watches return no changes
	PauseLeases    bool      // leases don't run

	Delay       time.Duration // calls are executed at once and answered this much later
	LateShare   float64       // 0 to 1; share of the writes that are executed only after Delay, and not answered
	LoseNext    int           // number of the next writes that are executed and not answered
	LoseShare   float64       // 0 to 1; share of the other writes that are executed and not answered
	RateLimited []string      // IP addresses of callers that are answered 429; others are served
}

// expired reports whether the faults that Until limits have ended.
func (f *Faults) expired(now time.Time) bool { return !f.Until.IsZero() && !now.Before(f.Until) }
