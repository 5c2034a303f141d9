package core

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/once"
)

// Config configures a node.
type Config struct {
	Instance    string
	Incarnation uint64
	Place       string
	Domain      string
	Region      string

	Term       time.Duration // how long a confirmation of the roster is valid
	Skew       float64       // bound on the difference between two clocks' rates, as a fraction
	ListProves bool          // the platform's list names a process until it has certainly ended
	Lag        time.Duration // bound on how long the platform's list names a dead instance
	Cache      time.Duration // how long callers may cache a look-up
	ShiftWait  time.Duration // predicted wait at home above which another place is tried
	Probe      time.Duration // interval between probes of one target
	Settle     time.Duration // how long a target may keep working on an aborted attempt
	Grace      time.Duration // time after the start during which silent peers don't count as dead
	Queue      int           // maximum number of queued requests
	Keys       int           // maximum number of idempotency key records
	Policy     Policy        // how targets and peers are chosen
	Rand       *rand.Rand
	Secret     once.Secret // signs this incarnation's idempotency keys
	Seed       [32]byte    // for the random part of the keys; must differ between incarnations
	Checks     *invariant.Counter

	handOff handOffMode // a baseline; set by measurements only
}

// Policy is a way of choosing where a request goes.
type Policy string

// Policies. All but PolicyOwner are baselines for measurements.
const (
	PolicyOwner      Policy = "owner"  // the production policy: each target has one owner
	PolicyRandom     Policy = "random" // any target of the place, without limits
	PolicyTwoChoices Policy = "two"    // the less loaded of two random targets, by reported load
)

// Defaults replaces zero values by defaults.
func (c *Config) Defaults() {
	setDuration(&c.Term, 3*time.Second)
	setDuration(&c.Lag, 30*time.Second)
	setDuration(&c.Cache, 5*time.Second)
	setDuration(&c.ShiftWait, 60*time.Millisecond)
	setDuration(&c.Probe, time.Second)
	setDuration(&c.Grace, 5*time.Second)
	setDuration(&c.Settle, 250*time.Millisecond)
	if c.Skew == 0 {
		c.Skew = 0.05
	}
	if c.Queue == 0 {
		c.Queue = 4096
	}
	if c.Keys == 0 {
		c.Keys = 100_000
	}
	if c.Policy == "" {
		c.Policy = PolicyOwner
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(c.Incarnation, uint64(len(c.Instance))))
	}
}

func setDuration(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}

// ConfigError lists all faults of a Config.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string { return "core: " + strings.Join(e.Faults, "; ") }

// Validate returns a *ConfigError that lists every fault, or nil.
func (c *Config) Validate() error {
	var faults []string
	need := func(ok bool, fault string) {
		if !ok {
			faults = append(faults, fault)
		}
	}
	need(c.Instance != "", "instance is empty")
	need(c.Incarnation != 0, "incarnation is zero")
	need(c.Place != "", "place is empty")
	need(c.Domain != "", "domain is empty")
	need(c.Region != "", "region is empty")
	need(c.Term > 0, "term is not positive")
	need(c.Skew >= 0 && c.Skew < 1, "skew is not in [0, 1)")
	need(c.Cache > 0, "cache is not positive")
	need(c.Queue > 0, "queue is not positive")
	need(c.Policy == PolicyOwner || c.Policy == PolicyRandom || c.Policy == PolicyTwoChoices, "policy is not known")
	if len(faults) > 0 {
		return &ConfigError{Faults: faults}
	}
	return nil
}
