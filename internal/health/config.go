package health

import (
	"strings"
	"time"

	"github.com/juju/errors"
)

// Config configures a Tracker. Its durations are added to the current time when an event is
// recorded.
type Config struct {
	Failures int // consecutive failures that eject a target
	Percent  int // percentage of failures among recent outcomes that ejects a target
	Samples  int // outcomes needed before Percent applies
	Floor    int // percentage of the targets that may be ejected at one time

	Eject  time.Duration // length of the first ejection; each further one doubles it
	Most   time.Duration // longest ejection
	Jitter int           // percentage by which an ejection may be shortened at random
	Probe  time.Duration // timeout of a probe, after which the next is due

	Fresh  time.Duration // time for which an own observation overrides the target's reports
	Idle   time.Duration // time without own observations after which a target is cold
	Step   time.Duration // shortest time between two changes of a cold target's slots
	Silent time.Duration // time without observations and reports after which the weight begins to age
	Age    time.Duration // time between two steps of ageing, each of which doubles the weight
}

// ConfigError lists all faults of a Config.
type ConfigError struct{ Faults []string }

// Error lists the faults.
func (e *ConfigError) Error() string { return "health: " + strings.Join(e.Faults, "; ") }

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	setDefault(&c.Failures, 5)
	setDefault(&c.Percent, 50)
	setDefault(&c.Samples, 20)
	setDefault(&c.Floor, 50)
	setDefault(&c.Eject, time.Second)
	setDefault(&c.Most, time.Minute)
	setDefault(&c.Jitter, 20)
	setDefault(&c.Probe, time.Second)
	setDefault(&c.Fresh, 5*time.Second)
	setDefault(&c.Idle, 5*time.Minute)
	setDefault(&c.Step, 500*time.Millisecond)
	setDefault(&c.Silent, 30*time.Second)
	setDefault(&c.Age, 10*time.Second)
}

// Validate returns a *ConfigError that lists every fault, or nil.
func (c *Config) Validate() error {
	var faults []string
	check := func(ok bool, fault string) {
		if !ok {
			faults = append(faults, fault)
		}
	}
	check(c.Failures > 0, "failures is below 1")
	check(c.Percent > 0 && c.Percent <= 100, "percent is not within 1 and 100")
	check(c.Samples > 0, "samples is below 1")
	check(c.Floor >= 0 && c.Floor <= 100, "floor is not within 0 and 100")
	check(c.Jitter >= 0 && c.Jitter <= 100, "jitter is not within 0 and 100")
	check(c.Eject > 0 && c.Eject <= c.Most, "eject is not within 0 and most")
	check(min(c.Probe, c.Fresh, c.Step, c.Age) > 0, "probe, fresh, step or age is not above 0")
	check(c.Fresh <= c.Silent && c.Silent <= c.Idle, "fresh, silent and idle don't grow in this order")
	if faults == nil {
		return nil
	}
	return errors.Trace(&ConfigError{Faults: faults})
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
