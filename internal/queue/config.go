// Package queue holds the requests of one instance that wait for a slot. It
// refuses at once requests that can't be served before their deadline, takes
// interactive requests before bulk ones, and shares pops among teams by weight.
//
// The package performs no I/O and is not safe for concurrent use.
package queue

import (
	"fmt"
	"time"
)

// Config bounds a Queue.
type Config struct {
	Length    int           // most requests waiting at one time
	BulkEvery int           // while both classes wait, one pop in BulkEvery is bulk
	Window    time.Duration // over which completions are averaged
	RetryMin  time.Duration // shortest delay to the retry that a refusal names
	RetryMax  time.Duration // longest delay to the retry that a refusal names
}

// Defaults returns the configuration of a small instance.
func Defaults() Config {
	return Config{
		Length:    4096,
		BulkEvery: 10,
		Window:    2 * time.Second,
		RetryMin:  20 * time.Millisecond,
		RetryMax:  5 * time.Second,
	}
}

// Validate reports every fault at once, as a *ConfigError.
func (c Config) Validate() error {
	var faults []Fault
	check := func(ok bool, field, reason string) {
		if !ok {
			faults = append(faults, Fault{Field: field, Reason: reason})
		}
	}
	check(c.Length > 0, "Length", "must be over 0")
	check(c.BulkEvery > 1, "BulkEvery", "must be over 1")
	check(c.Window > 0, "Window", "must be over 0")
	check(c.RetryMin > 0, "RetryMin", "must be over 0")
	check(c.RetryMax >= c.RetryMin, "RetryMax", "must not be under RetryMin")
	if len(faults) > 0 {
		return &ConfigError{Faults: faults}
	}
	return nil
}

// Fault is one fault of a configuration.
type Fault struct {
	Field  string
	Reason string
}

// ConfigError lists all faults of a configuration.
type ConfigError struct{ Faults []Fault }

func (e *ConfigError) Error() string {
	s := "queue: configuration:"
	for _, f := range e.Faults {
		s += fmt.Sprintf(" %s %s;", f.Field, f.Reason)
	}
	return s[:len(s)-1]
}
