package once

import "fmt"

// KeyError says why a text is no key.
type KeyError struct {
	Part   string // which part of the key is at fault
	Reason string
}

func (e *KeyError) Error() string { return fmt.Sprintf("once: key: %s %s", e.Part, e.Reason) }

// NameError says that an instance's name can't stand in a key.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return fmt.Sprintf("once: instance name %q must be 1 to %d of A-Z a-z 0-9 . _ -", e.Name, MaxInstance)
}

// Fault is one fault of a configuration.
type Fault struct {
	Field  string
	Reason string
}

// ConfigError lists all faults of a configuration.
type ConfigError struct{ Faults []Fault }

func (e *ConfigError) Error() string {
	s := "once: configuration:"
	for _, f := range e.Faults {
		s += fmt.Sprintf(" %s %s;", f.Field, f.Reason)
	}
	return s[:len(s)-1]
}
