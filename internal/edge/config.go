// Package edge implements an instance on the users' platform: it answers look-ups, forwards
// requests from callers to targets, and follows the platform's store.
package edge

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/overload"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

// Config configures a Node.
type Config struct {
	Settings       platform.Settings
	Log            *log.Logger
	Metrics        *metrics.Set
	DialTargets    http1.Dial      // nil: TCP from the instance's address, with the time-outs of package tcp
	Overload       *overload.Meter // of this process; with nil, no request is refused because of overload
	Admission      bool            // requests are admitted by priority while a service is short of room
	ByteCost       float64         // nanoseconds of latency that one byte between failure domains is worth; 0: the default
	SuccessLogRate int             // lines a second about successful requests
	LookupTTL      time.Duration   // how long callers may cache the answer to a look-up
}

// Defaults of Config.
const (
	// DefaultSuccessLogRate: 100 lines of about 300 bytes are at most 30 KB a second.
	DefaultSuccessLogRate = 100
	// DefaultLookupTTL: a planned stop has a few seconds, and some callers cache an answer three
	// times as long as its TTL: with 1 s, the last of them has looked up again 3 s after the
	// signal.
	DefaultLookupTTL = time.Second
)

// Defaults sets the fields that are zero to their defaults.
func (c *Config) Defaults() {
	if c.SuccessLogRate == 0 {
		c.SuccessLogRate = DefaultSuccessLogRate
	}
	if c.LookupTTL == 0 {
		c.LookupTTL = DefaultLookupTTL
	}
}

// Check returns an error that names every invalid field of the configuration.
func (c *Config) Check() error {
	c.Defaults()
	cfg := c.steer()
	cfg.Defaults()
	return cfg.Validate()
}

// steer returns the configuration of target selection.
func (c *Config) steer() steer.Config {
	s := &c.Settings
	return steer.Config{
		Instance: s.Instance, Domain: s.Domain, Regions: s.Regions,
		Bounds: steerBounds(s.Bounds), ByteCost: c.ByteCost, Admission: c.Admission,
	}
}

// leaseDuration is how long an instance counts as alive without a renewal.
func (c *Config) leaseDuration() time.Duration {
	b := &c.Settings.Bounds
	return max(b.Stable+leaseMargin, minLease, b.LeaseMin)
}

// Timing of registration, stop and reload.
const (
	// leaseMargin is added to the platform's stable window to get the lease duration. Look-ups
	// must not return a dead instance later than 3 s after that window, which leaves 2 s to
	// propagate the removal. minLease is for platforms whose settings name no stable window.
	leaseMargin = time.Second
	minLease    = 4 * time.Second
	// renewalsPerLease: the second renewal may fail, and the third still comes in time after
	// a retry. Renewing once a second was 40% of the calls to the store on a quiet day with
	// 195 instances.
	renewalsPerLease = 2.5
	renewRetry       = time.Second
	// renewTimeout bounds a renewal; after it, the path to the store counts as lost. A slow
	// store needs 250 ms.
	renewTimeout = 900 * time.Millisecond
	// leaveMargin is how long a stopping instance serves on beyond the time for which callers
	// cache its address: writing that it leaves takes that long.
	leaveMargin = 200 * time.Millisecond
	// cacheOverrun is how many times the TTL some callers cache an address.
	cacheOverrun = 3
	// stopMargin is left between the end of draining and SIGKILL, for removing the record,
	// writing the last log lines, and running on a shared processor.
	stopMargin = time.Second
	// restoreSpread is the time over which instances check their registrations after the store
	// was restored from a snapshot. Others keep registrations that it has lost for 2 s.
	restoreSpread = time.Second
	// partitionSpread is the time over which instances write that they have begun or ceased to reach
	// targets.
	partitionSpread = 300 * time.Millisecond
	// deregisterTimeout bounds the call that removes the record. If it fails, the record is
	// removed when the lease expires.
	deregisterTimeout = 300 * time.Millisecond
	// storeTimeout bounds one write to the store.
	storeTimeout = 2 * time.Second
	// reloadInterval is how often the settings file is checked for changes without a signal.
	reloadInterval = 2 * time.Second
)
