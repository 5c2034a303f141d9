// Package workingset learns how many objects a target of a service keeps warm, and plans how many
// homes objects may have so that what is in use fits.
//
// A target runs an object faster if few other objects ran there since it last ran that one. Nobody
// announces how many: a Learner derives it from how long repeated runs take after how many others.
// A Plan divides the room that follows from it among the objects by their heat. A Gate decides
// which first runs may start while targets are busy. See docs/design/working-set.md.
//
// The package does no input or output and is not safe for concurrent use.
package workingset

import (
	"strings"

	"github.com/juju/errors"
)

// Config holds the settings of a Learner and a Plan.
type Config struct {
	SampledTargets int     // targets of a service whose runs are reported and compared
	MaxKeeps       int     // most objects that a target is taken to keep
	MinColdFactor  float64 // from which factor a cold run counts as slower than a warm one
	MaxPairs       int     // pairs of a target and an object whose last run an instance remembers
	Fill           float64 // fraction of what targets keep that is planned for
	MaxLoad        float64 // fraction of a target's time that is planned for
}

// Defaults of Config.
const (
	defaultSampledTargets = 128
	defaultMaxKeeps       = 512
	// defaultMinColdFactor: below it, a move of objects costs more than warm runs save.
	defaultMinColdFactor = 1.5
	defaultMaxPairs      = 100_000
	// defaultFill leaves room for new objects.
	defaultFill = 0.95
	// defaultMaxLoad is the load up to which few requests wait for longer than they run.
	defaultMaxLoad = 0.8
)

// ConfigError lists all faults of a Config.
type ConfigError struct{ Faults []string }

// Error lists the faults.
func (e *ConfigError) Error() string { return "workingset: " + strings.Join(e.Faults, "; ") }

// Defaults sets every field that is zero to its default.
func (c *Config) Defaults() {
	setDefault(&c.SampledTargets, defaultSampledTargets)
	setDefault(&c.MaxKeeps, defaultMaxKeeps)
	setDefault(&c.MinColdFactor, defaultMinColdFactor)
	setDefault(&c.MaxPairs, defaultMaxPairs)
	setDefault(&c.Fill, defaultFill)
	setDefault(&c.MaxLoad, defaultMaxLoad)
}

func setDefault[V int | float64](v *V, value V) {
	if *v == 0 {
		*v = value
	}
}

// Validate returns a *ConfigError that lists every fault, or nil.
func (c *Config) Validate() error {
	var faults []string
	for _, f := range []struct {
		valid bool
		fault string
	}{
		{c.SampledTargets >= 1 && c.SampledTargets <= 255, "sampled targets are not within 1 and 255"},
		{c.MaxKeeps >= 2 && c.MaxKeeps <= 1<<16, "most objects kept are not within 2 and 65536"},
		{c.MinColdFactor > 1, "least coldFactor is not above 1"},
		{c.MaxPairs >= 2, "remembered pairs are less than 2"},
		{c.Fill > 0 && c.Fill <= 1, "fill is not within 0 and 1"},
		{c.MaxLoad > 0 && c.MaxLoad <= 1, "most load is not within 0 and 1"},
	} {
		if !f.valid {
			faults = append(faults, f.fault)
		}
	}
	if faults == nil {
		return nil
	}
	return errors.Trace(&ConfigError{Faults: faults})
}
