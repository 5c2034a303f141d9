// Package edge is an instance on the users' platform: it answers look-ups, carries
// requests from callers to targets, and follows the platform's store.
package edge

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

// Config sets up a Node.
type Config struct {
	Settings platform.Settings
	Log      *log.Logger
	Metrics  *metrics.Set
	ByteCost float64       // nanoseconds of latency that one byte between failure domains is worth; 0: the default
	LogRate  int           // lines a second about requests that went well
	TTL      time.Duration // how long callers keep a look-up's answer
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

// Times of an instance's life.
const (
	// leaseTime is how long an instance counts as alive without a renewal: four
	// renewals, and within the 6 s after which it must not be named any more.
	leaseTime  = 4 * time.Second
	renewEvery = time.Second
	// renewTimeout is how long a renewal may take before the path to the store
	// counts as lost; a slow store needs a quarter of a second.
	renewTimeout = 900 * time.Millisecond
	// leaveTime is how long a stopping instance serves as before, beyond the time
	// for which callers keep its address; writing that it leaves takes that long.
	leaveTime = 200 * time.Millisecond
	// keptLonger is how many times as long as told some callers keep an address.
	keptLonger = 3
	// stopMargin is left of the time between SIGTERM and SIGKILL for the end of the
	// lease, the last log lines, and a processor that is shared.
	stopMargin = time.Second
	// endTimeout bounds the call that ends the lease; without it the lease lapses.
	endTimeout = 300 * time.Millisecond
	// storeTimeout bounds one write to the store.
	storeTimeout = 2 * time.Second
	// reloadEvery is how often the settings file is looked at for silent changes.
	reloadEvery = 2 * time.Second
)
