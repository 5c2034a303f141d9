// Package steer selects the target for each request, or refuses the request and computes when the
// caller should retry. It keeps track of the targets, the requests that this instance has in
// flight at each of them, and the load that each target reported.
//
// Any instance sends to any target. By rendezvous hashing, an object has one home among the
// targets of a service. The home is the same at every instance of a region, which keeps the
// target's cache warm for its objects; see docs/design/programs.md.
//
// The package does no input or output and is not safe for concurrent use.
package steer

import (
	"strings"
	"time"

	"github.com/juju/errors"
)

// Config holds the settings of a Fleet.
type Config struct {
	Instance string            // this instance's name
	Domain   string            // its failure domain
	Regions  map[string]string // region of each failure domain
	Started  time.Time         // start of this process, before which it knows nothing; zero: long ago

	Bounds

	ByteCost  float64 // nanoseconds of latency that one byte between failure domains is worth
	Admission bool    // requests are admitted by priority while a service is short of room
}

// Bounds are limits that hold over all instances together.
type Bounds struct {
	RetryRatio  float64       // additional attempts per request within a window
	RetrySlack  int           // additional attempts per window on top of the ratio
	RetryWindow time.Duration // length of the window; 0: default
	ColdFactor  float64       // multiple of its cold rate that a cold target may get in one second
	ColdSlack   float64       // requests per second on top of that
	CanaryShare float64       // share of a service's requests for a version that is not proved good; 0: default
}

// Defaults of Config.
const (
	// defaultByteCost: 3 ms for 1 KB. An answer of 90 KB stays in its failure domain unless that
	// costs 270 ms, and one of 5 KB is served nearly anywhere. A value of 1.2 ms per KB earns
	// 0.5% more credit, net of traffic prices, where traffic between domains is cheap, and 0.9%
	// less where it costs three times as much. Operators should set it by their own traffic
	// price.
	defaultByteCost = 3000.0
	// defaultRetryWindow is the retry window that current platforms use.
	defaultRetryWindow = 10 * time.Second
)

// ConfigError lists all faults of a Config.
type ConfigError struct{ Faults []string }

// Error lists the faults.
func (e *ConfigError) Error() string { return "steer: " + strings.Join(e.Faults, "; ") }

// Defaults sets every field that is zero to its default.
func (c *Config) Defaults() {
	if c.ByteCost == 0 {
		c.ByteCost = defaultByteCost
	}
	c.Bounds.Defaults()
}

// Defaults sets every field that is zero to its default.
func (b *Bounds) Defaults() {
	if b.RetryWindow == 0 {
		b.RetryWindow = defaultRetryWindow
	}
	if b.CanaryShare == 0 {
		b.CanaryShare = defaultCanaryShare
	}
}

// Validate returns a *ConfigError that lists every fault, or nil.
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
	if b.CanaryShare < 0 || b.CanaryShare > 1 {
		faults = append(faults, "canary share is not within 0 and 1")
	}
	if min(b.ColdFactor, b.ColdSlack, float64(b.RetrySlack), float64(b.RetryWindow)) < 0 {
		faults = append(faults, "a bound is negative")
	}
	return faults
}

// Durations and weights for selecting targets. Credit in the comments below is what the answers
// of a day earn; an answer within the objective of its route earns most.
const (
	// loadReportTTL is how long a target's load report counts; its weight falls to 0 over this
	// time. Between two answers of a busy target, an instance waits 0.5 s if there are 8
	// instances, and 10 s if there are 70. A value of 1 s loses 1.7% of the credit of a day of
	// high load with 70 instances.
	loadReportTTL = 5 * time.Second
	// typicalLoadWeight is the weight of one report in the typical load of a service's targets.
	// The typical load replaces reports that have aged: treating targets without a report as idle
	// loses 2% to 3% of the credit on days of high load.
	typicalLoadWeight = 0.05
	// shedPeriod is how long a target counts as full after it refused a request for lack of
	// capacity.
	shedPeriod = 200 * time.Millisecond
	// dividedShare is the part of a bound over all instances that is divided among them. The rest
	// is reserved for instances that have not discovered each other yet.
	dividedShare = 0.8
	// uncountedShare is the part of a bound that is divided among the instances which the others
	// don't count.
	uncountedShare = 0.15
	// newcomerDelay is how long an instance that others don't know yet has no share of the bounds: until
	// all of them divide the bounds among one instance more.
	newcomerDelay = 2 * time.Second
	// coldWindow is the window of the bound on requests to a cold target.
	coldWindow = time.Second
	// domainHomeCost and regionHomeCost are the costs of using an object's home in the own
	// failure domain or region instead of its home among all targets: an answer cached there
	// serves fewer requests. With these values, answers of up to about 15 KB stay at the one
	// home.
	domainHomeCost = 45 * time.Millisecond
	regionHomeCost = 30 * time.Millisecond
	// missCostFactor is the cost, as a multiple of the service's latency, of a target that is not
	// a home of the object and has to do the work cold.
	missCostFactor = 1.5
	// homeCount is how many targets keep an object warm: its home, and a second one for requests
	// that exceed the capacity of the home. Other targets do the work cold, which takes three
	// times as long, and get requests for the object only while their load is below idleShare of
	// their slots. With three homes and half of the slots, a service that was overloaded while
	// cold took 20 s to warm up instead of 8 s.
	homeCount = 2
	idleShare = 0.1
	// slowFactor is the multiple of the service's latency above which a target's latency counts
	// as slowness. Cold work takes up to three times as long, and a target that gets new objects
	// must not lose them again for being slow: a factor of 2 loses 0.3% of the credit on days on
	// which targets are replaced or slow for seconds.
	slowFactor = 4.0
	// slowDomainFactor is the multiple of the service's latency from which the latency of a
	// failure domain is used for its own targets. Using it at any difference earns 0.3% less on
	// days with overloaded regions; at twice the latency, only half as many late failures are
	// avoided.
	slowDomainFactor = 1.5
	// maxDistanceLatency is more than a round trip between regions adds to the duration of a
	// request: a domain does not count as slow for its distance.
	maxDistanceLatency = 100 * time.Millisecond
	// hedgeFactor is the multiple of a service's latency after which a second target gets the
	// request in parallel. Cold work takes up to three times as long and must not cause a hedge.
	// With a fifth of the targets unreachable, not answering or hanging in turn, 89 of 45,286
	// reads failed instead of 256.
	hedgeFactor = 4
	// slownessHalfLife is the time in which the measured slowness of a target halves while there
	// are no new measurements.
	slownessHalfLife = 3 * time.Second
	// smoothingWeight is the weight of a new sample in a running mean: about the last ten samples
	// count.
	smoothingWeight = 0.1
)
