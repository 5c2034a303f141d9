package target

import (
	"fmt"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/emulator/clock"
)

// Config describes one emulated target.
type Config struct {
	Service string // team/service
	Place   string
	Name    string // unique in its service

	Slots       int // concurrent requests
	Queue       int // requests that may wait for a slot; further ones are shed
	Connections int // open connections; further ones are closed at once

	ConnectionCost time.Duration // delay before the first byte of a new connection is read
	ProbeCost      time.Duration // delay before a health or load request is answered

	Mean   time.Duration // mean service time when warm
	Spread float64       // sigma of the log-normal service time; 0 makes it constant
	Seed   uint64        // of the service times

	Cold         float64       // factor on the service time of a cold target; 1 for a warm one
	WarmRequests int           // requests after which the target is warm; 0: not by requests
	WarmFor      time.Duration // time after which the target is warm; 0: not by time

	Size int64 // bytes of an answer if the request sets no size
	Pace int64 // bytes/s of one answer's body; 0: no limit

	CrashPath string // path of a poison request, which crashes the target that runs it; "" for none
	OnCrash   func() // called after such a crash; may be nil

	Report Report
	Clock  *clock.Clock // may be nil
}

// Report describes how the health and load answers differ from the actual state.
type Report struct {
	Lag           time.Duration // age of the reported state
	AlwaysIdle    bool
	AlwaysHealthy bool
}

// ConfigError names every fault of a Config.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string { return "target: " + strings.Join(e.Faults, "; ") }

// Defaults sets fields that are zero to those of a warm target that answers in 5 ms.
func (c *Config) Defaults() {
	setDefault(&c.Slots, 4)
	setDefault(&c.Queue, c.Slots)
	setDefault(&c.Connections, 330)
	setDefault(&c.ConnectionCost, time.Millisecond)
	setDefault(&c.Mean, 5*time.Millisecond)
	setDefault(&c.Cold, 1)
	setDefault(&c.Size, 256)
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Validate returns a *ConfigError that names every fault, or nil.
func (c *Config) Validate() error {
	var faults []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	check(c.Service != "", "service is empty")
	check(c.Place != "", "place is empty")
	check(c.Name != "", "name is empty")
	check(c.Slots > 0, "slots is %d, want 1 or more", c.Slots)
	check(c.Queue >= 0, "queue is %d, want 0 or more", c.Queue)
	check(c.Connections > 0, "connections is %d, want 1 or more", c.Connections)
	check(c.Mean > 0, "mean is %s, want more than 0", c.Mean)
	check(c.Spread >= 0, "spread is %g, want 0 or more", c.Spread)
	check(c.Cold >= 1, "cold is %g, want 1 or more", c.Cold)
	check(c.Cold <= 1 || c.WarmRequests > 0 || c.WarmFor > 0, "a cold target needs warm requests or a warm time")
	check(c.Size >= 0 && c.Size <= MaxSize, "size is %d, want 0 to %d", c.Size, int64(MaxSize))
	check(c.Pace >= 0, "pace is %d, want 0 or more", c.Pace)
	if faults == nil {
		return nil
	}
	return &ConfigError{Faults: faults}
}
