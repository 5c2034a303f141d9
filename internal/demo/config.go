// Package demo runs a whole deployment in one process, over loopback: the
// platform's stand-in, real instances, targets' stand-ins and callers, with the
// latencies of the real places between them, and reports what was measured.
package demo

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/pkg/settings"
)

// Config says what to run.
type Config struct {
	Name      string              // of the deployment, for the report
	Documents []settings.Document // the operators' documents
	For       time.Duration       // how long callers send requests
	Rate      float64             // load as a share of the sites' capacity
	Seed      uint64              // of arrivals, service times and the schedule of faults
	Policy    core.Policy
	Faults    []FaultKind // kinds of faults to inject; none for none
	Log       *log.Logger // of the instances; nil logs nothing
}

// Bounds of a Config.
const (
	minDuration = 2 * time.Second
	maxDuration = time.Hour
	maxRate     = 4.0
)

// Defaults sets what is left at zero.
func (c *Config) Defaults() {
	if c.For == 0 {
		c.For = 10 * time.Second
	}
	if c.Rate == 0 {
		c.Rate = 0.5
	}
	if c.Seed == 0 {
		c.Seed = 1
	}
	if c.Policy == "" {
		c.Policy = core.PolicyOwner
	}
}

// ConfigError names every fault of a Config.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string { return "demo: " + strings.Join(e.Faults, "; ") }

// Validate returns a *ConfigError that names every fault at once, or nil.
func (c *Config) Validate() error {
	var faults []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	policies := []core.Policy{core.PolicyOwner, core.PolicyRandom, core.PolicyTwo}
	check(len(c.Documents) > 0, "there are no documents")
	check(c.For >= minDuration && c.For <= maxDuration, "for is %s, want %s to %s", c.For, minDuration, maxDuration)
	check(c.Rate > 0 && c.Rate <= maxRate, "rate is %g, want more than 0, at most %g", c.Rate, maxRate)
	check(slices.Contains(policies, c.Policy), "policy is %q, want one of %v", c.Policy, policies)
	for _, k := range c.Faults {
		check(slices.Contains(allFaults, k), "fault is %q, want one of %v", k, allFaults)
	}
	if faults == nil {
		return nil
	}
	return &ConfigError{Faults: faults}
}
