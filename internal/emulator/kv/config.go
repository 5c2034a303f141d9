// Package kv is a stand-in of the platform's key-value service: versioned keys,
// compare-and-swap, leases, watches, the lagging list of instances, call rates,
// and the faults that the real one has. It keeps everything in memory.
//
// Service is the core, without input or output. Local is a platform.Store
// straight over it, and Server answers platform.Client over HTTP.
package kv

import (
	"fmt"
	"strings"
	"time"
)

// Config says how the service behaves when nothing fails.
type Config struct {
	Writes  float64       // writes/s taken; bursts of one second's worth
	Reads   float64       // reads/s taken; bursts of one second's worth
	ShowLag time.Duration // from a registration to its line in the list
	GoneLag time.Duration // from the last registration to the line's end
}

// Defaults returns the sizes of the brief: several hundred writes and about two
// thousand reads a second.
func Defaults() Config {
	return Config{
		Writes:  400,
		Reads:   2000,
		ShowLag: 2 * time.Second,
		GoneLag: 30 * time.Second,
	}
}

// ConfigError names every fault of a Config.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string {
	return fmt.Sprintf("kv: invalid configuration: %s", strings.Join(e.Faults, "; "))
}

// Validate returns a *ConfigError that names every fault, or nil.
func (c Config) Validate() error {
	var faults []string
	check := func(ok bool, fault string) {
		if !ok {
			faults = append(faults, fault)
		}
	}
	check(c.Writes >= 1, "writes must be at least 1 a second")
	check(c.Reads >= 1, "reads must be at least 1 a second")
	check(c.ShowLag >= 0, "show lag must not be negative")
	check(c.GoneLag > c.ShowLag, "gone lag must be longer than show lag")
	if faults != nil {
		return &ConfigError{Faults: faults}
	}
	return nil
}
