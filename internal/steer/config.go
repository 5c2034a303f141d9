// Package steer decides which target gets a request, or that it is refused and
// when the caller should come back. It knows the targets, what this instance has
// sent to each, and what each said of its load.
//
// Any instance sends to any target. An object has one home among a service's
// targets by rendezvous hashing, the same at every instance of a region, so that
// targets stay warm for their objects; see docs/design/programs.md.
//
// The package does no input or output and is not safe for concurrent use.
package steer

import (
	"strings"
	"time"

	"github.com/juju/errors"
)

// Config sets up a Fleet.
type Config struct {
	Instance string            // this instance's name
	Domain   string            // its failure domain
	Regions  map[string]string // region of each failure domain

	Bounds

	ByteCost float64 // nanoseconds of latency that one byte between failure domains is worth
}

// Bounds hold over all instances together.
type Bounds struct {
	RetryRatio  float64       // additional attempts for each request within a window
	RetrySlack  int           // additional attempts within a window besides
	RetryWindow time.Duration // length of the window; 0: the default
	ColdFactor  float64       // times its rate that a cold target may get in one second
	ColdSlack   float64       // requests in one second besides
}

// Defaults of Config.
const (
	// defaultByteCost: 3 ms for 1 KB. An answer of 90 KB then stays in its failure domain
	// unless that costs 270 ms, and one of 5 KB goes nearly anywhere. With 1.2 ms, 0.5% more
	// is earned, prices taken off, where bytes between domains are cheap, and 0.9% less
	// where they cost three times as much: it is for operators to set by their price.
	defaultByteCost = 3000.0
	// defaultRetryWindow is the window of the platforms of today.
	defaultRetryWindow = 10 * time.Second
)

// ConfigError lists all faults of a Config.
type ConfigError struct{ Faults []string }

// Error lists the faults.
func (e *ConfigError) Error() string { return "steer: " + strings.Join(e.Faults, "; ") }

// Defaults fills what is not set.
func (c *Config) Defaults() {
	if c.ByteCost == 0 {
		c.ByteCost = defaultByteCost
	}
	c.Bounds.Defaults()
}

// Defaults fills what is not set.
func (b *Bounds) Defaults() {
	if b.RetryWindow == 0 {
		b.RetryWindow = defaultRetryWindow
	}
}

// Validate returns a *ConfigError that names every fault.
func (c *Config) Validate() error {
	var faults []string
	if c.Instance == "" {
		faults = append(faults, "instance is missing")
	}
	if c.Regions[c.Domain] == "" {
		faults = append(faults, "the region of failure domain "+c.Domain+" is missing")
	}
	faults = append(faults, c.Bounds.faults()...)
	if c.ByteCost < 0 {
		faults = append(faults, "byte cost is negative")
	}
	if faults == nil {
		return nil
	}
	return errors.Trace(&ConfigError{Faults: faults})
}

func (b Bounds) faults() []string {
	var faults []string
	if b.RetryRatio < 0 || b.RetryRatio > 1 {
		faults = append(faults, "retry ratio is not within 0 and 1")
	}
	if min(b.ColdFactor, b.ColdSlack, float64(b.RetrySlack), float64(b.RetryWindow)) < 0 {
		faults = append(faults, "a bound is negative")
	}
	return faults
}

// Times and weights of the decisions.
const (
	// loadReportTTL is how long a target's own report of its load counts, less and less.
	// An instance waits 0.5 s between two answers of a busy target where there are 8
	// instances, and 10 s where there are 70. With a life of 1 s, the credit of a day of
	// high load with 70 instances falls by 1.7%.
	loadReportTTL = 5 * time.Second
	// typicalLoadWeight is the weight of one report in the usual load of a service's targets.
	// That stands in for old reports: with targets that have none taken for idle, 2% to
	// 3% of the credit are lost on days of high load.
	typicalLoadWeight = 0.05
	// shedPeriod is how long a target that refused for want of room counts as full.
	shedPeriod = 200 * time.Millisecond
	// dividedShare is the part of a bound over all instances that is divided; the
	// rest is for instances that don't yet know of each other.
	dividedShare = 0.8
	// coldWindow is the window of the bound of cold targets.
	coldWindow = time.Second
	// domainHomeCost and regionHome are what an object's home in the own failure
	// domain or region costs over its home among all targets: its answers warm
	// fewer requests. They keep answers of up to about 15 KB at the one home.
	domainHomeCost = 45 * time.Millisecond
	regionHomeCost = 30 * time.Millisecond
	// missCostFactor is the part of a service's latency that a target costs which is no
	// home of the object and has to do the work cold.
	missCostFactor = 1.5
	// homeCount is how many targets keep an object warm: its home, and one that gets what
	// the home has no room for. Others do its work cold, which takes three times as
	// long, so they get it only while all of their slots are free. With three homeCount
	// and half of the slots, a service that was overloaded when cold needed 20 s
	// instead of 8 s to get warm.
	homeCount = 2
	idleShare = 0.1
	// slowFactor: a target counts as slow by what exceeds this multiple of the service's
	// latency. Work that is done cold takes up to three times as long, and a target that
	// gets new objects would lose them again: with 2, 0.3% of the credit are lost on days
	// on which targets are replaced or slow for seconds.
	slowFactor = 4.0
	// slowDomainFactor is how many times the service's latency a failure domain's must be for
	// its own to count. With any difference counted, 0.3% less is earned on the days of
	// overloaded regions; with twice, half as many late failures are spared.
	slowDomainFactor = 1.5
	// maxDistanceLatency is more than a round trip between regions adds to the time of a request: a
	// domain is not slow by being far away.
	maxDistanceLatency = 100 * time.Millisecond
	// hedgeFactor times a service's latency passes before a request goes to a second
	// target beside the first. Work that a target does cold takes up to three times as
	// long, so that a cold one is not doubled. With a fifth of the targets dark, mute or
	// hanging in turn, 89 of 45,286 reads failed instead of 256.
	hedgeFactor = 4
	// slownessHalfLife halves what is held against a target that isn't measured any more.
	slownessHalfLife = 3 * time.Second
	// smoothingWeight is the weight of a new sample in a mean: about the last ten count.
	smoothingWeight = 0.1
)
