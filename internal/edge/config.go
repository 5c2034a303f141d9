// Package edge is an instance on the users' platform: it answers look-ups, carries
// requests from callers to targets, and follows the platform's store.
package edge

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/overload"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

// Config sets up a Node.
type Config struct {
	Settings platform.Settings
	Log      *log.Logger
	Metrics  *metrics.Set
	Load     *overload.Meter // of this process; nil refuses nothing for it
	ByteCost float64         // nanoseconds of latency that one byte between failure domains is worth; 0: the default
	LogRate  int             // lines a second about requests that went well
	TTL      time.Duration   // how long callers keep a look-up's answer
}

// Defaults of Config.
const (
	// DefaultLogRate: 100 lines of about 300 bytes are 30 KB a second at most.
	DefaultLogRate = 100
	// DefaultTTL: a planned stop has a few seconds, and some callers keep an answer
	// three times as long, so that the last has asked again 3 s after the signal.
	DefaultTTL = time.Second
)

// Defaults fills what is not set.
func (c *Config) Defaults() {
	if c.LogRate == 0 {
		c.LogRate = DefaultLogRate
	}
	if c.TTL == 0 {
		c.TTL = DefaultTTL
	}
}

// Check returns an error that names every fault of what a Node would be made of.
func (c *Config) Check() error {
	c.Defaults()
	cfg := c.steer()
	cfg.Defaults()
	return cfg.Validate()
}

// steer is the configuration of the choice of targets.
func (c *Config) steer() steer.Config {
	s := &c.Settings
	return steer.Config{
		Instance: s.Instance, Domain: s.Domain, Regions: s.Regions,
		Bounds: steerBounds(s.Bounds), ByteCost: c.ByteCost,
	}
}

// leaseTime is how long an instance counts as alive without a renewal.
func (c *Config) leaseTime() time.Duration {
	b := &c.Settings.Bounds
	return max(b.Stable+leaseBeyond, leaseLeast, b.LeaseMin)
}

// Times of an instance's life.
const (
	// leaseBeyond is by how much longer than the platform's calm an instance counts as
	// alive without a renewal. It must not be named any more 3 s after that calm, which
	// leaves 2 s until all have heard. leaseLeast is for platforms that name no calm.
	leaseBeyond = time.Second
	leaseLeast  = 4 * time.Second
	// renewals is how many renewals a lease has: the second may fail, and the third still
	// comes in time after a retry. A renewal each second was 40% of the calls to the store
	// on a calm day of 195 instances.
	renewals   = 2.5
	renewRetry = time.Second
	// renewTimeout is how long a renewal may take before the path to the store
	// counts as lost; a slow store needs a quarter of a second.
	renewTimeout = 900 * time.Millisecond
	// leaveTime is how long a stopping instance serves as before, beyond the time
	// for which callers keep its address; writing that it leaves takes that long.
	leaveTime = 200 * time.Millisecond
	// keptLonger is how many times as long as told some callers keep an address.
	keptLonger = 3
	// stopMargin is left of the time between SIGTERM and SIGKILL for the end of the
	// record, the last log lines, and a processor that is shared.
	stopMargin = time.Second
	// restoreSpread is over how long instances see to their registrations when the store has
	// come back from a copy: others keep those that it has lost for 2 s.
	restoreSpread = time.Second
	// endTimeout bounds the call that removes the record; without it the record goes with the
	// lease.
	endTimeout = 300 * time.Millisecond
	// storeTimeout bounds one write to the store.
	storeTimeout = 2 * time.Second
	// reloadEvery is how often the settings file is looked at for silent changes.
	reloadEvery = 2 * time.Second
)
