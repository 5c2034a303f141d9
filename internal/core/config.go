package core

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/once"
)

// Config is what a node is told at its start.
type Config struct {
	Instance    string
	Incarnation uint64
	Place       string
	Domain      string
	Region      string

	Term       time.Duration // how long a confirmation of the roster lasts
	Skew       float64       // bound on how far two clocks' rates differ, as a share
	ListProves bool          // the platform's list names a process until it has ended for certain
	Lag        time.Duration // bound on how long the platform's list names a dead instance
	Cache      time.Duration // how long callers may keep the answer of a look-up
	ShiftWait  time.Duration // predicted wait at home over which another place is tried
	Probe      time.Duration // time between probes of one target
	Settle     time.Duration // how long a target may go on with an attempt that was broken off
	Grace      time.Duration // time after the start before a silent peer counts as dead
	Queue      int           // requests that may wait
	Keys       int           // records of idempotency keys that may be kept
	Policy     Policy        // how targets and peers are chosen
	Rand       *rand.Rand
	Secret     once.Secret // signs this incarnation's idempotency keys
	Seed       [32]byte    // of the keys' numbers; never the same in two incarnations
	Checks     *invariant.Counter

	handOff handOffMode // a baseline; set by measurements only
}

// Policy names a way of choosing where a request goes.
type Policy string

// Policies. All but PolicyOwner are baselines for measurements.
const (
	PolicyOwner  Policy = "owner"  // firlever's own: targets have one owner each
	PolicyRandom Policy = "random" // any target of the place, without limits
	PolicyTwo    Policy = "two"    // the better of two random targets by reported load
)

// Defaults fills in what is zero.
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

// ConfigError lists every fault of a Config at once.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string { return "core: " + strings.Join(e.Faults, "; ") }

// Validate returns a *ConfigError that names every fault, or nil.
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
	need(c.Policy == PolicyOwner || c.Policy == PolicyRandom || c.Policy == PolicyTwo, "policy is not known")
	if len(faults) > 0 {
		return &ConfigError{Faults: faults}
	}
	return nil
}
