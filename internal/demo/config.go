// Package demo runs a whole deployment in one process, over loopback: an emulated
// platform, real instances, emulated targets and callers, with the latencies of
// the real places between them. It reports what was measured.
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

// Config describes a run.
type Config struct {
	Name      string              // name of the deployment in the report
	Documents []settings.Document // the operators' documents
	Duration  time.Duration       // how long callers send requests
	Rate      float64             // load as a fraction of the sites' capacity
	Seed      uint64              // of arrivals, service times and the schedule of faults
	Policy    core.Policy
	Faults    []FaultKind // kinds of faults to inject; may be empty
	Log       *log.Logger // of the instances; nil logs nothing
}

// Bounds of a Config.
const (
	minDuration = 2 * time.Second
	maxDuration = time.Hour
	maxRate     = 4.0
)

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	if c.Duration == 0 {
		c.Duration = 10 * time.Second
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

// ConfigError lists all invalid values of a Config.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string { return "demo: " + strings.Join(e.Faults, "; ") }

// Validate returns a *ConfigError that lists all invalid values, or nil.
func (c *Config) Validate() error {
	var faults []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	policies := []core.Policy{core.PolicyOwner, core.PolicyRandom, core.PolicyTwoChoices}
	check(len(c.Documents) > 0, "there are no documents")
	check(c.Duration >= minDuration && c.Duration <= maxDuration, "for is %s, want %s to %s", c.Duration, minDuration, maxDuration)
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
