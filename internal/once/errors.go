package once

import "fmt"

// KeyError reports why a text can't be parsed as a key.
type KeyError struct {
	Part   string // invalid part of the key
	Reason string
}

func (e *KeyError) Error() string { return fmt.Sprintf("once: invalid key: %s %s", e.Part, e.Reason) }

// NameError reports an instance name that is not allowed in a key.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return fmt.Sprintf("once: instance name %q must be 1 to %d characters of A-Z a-z 0-9 . _ -", e.Name, MaxInstance)
}

// Fault describes one invalid configuration field.
type Fault struct {
	Field  string
	Reason string
}

// ConfigError lists all invalid fields of a configuration.
type ConfigError struct{ Faults []Fault }

func (e *ConfigError) Error() string {
	s := "once: invalid configuration:"
	for _, f := range e.Faults {
		s += fmt.Sprintf(" %s %s;", f.Field, f.Reason)
	}
	return s[:len(s)-1]
}
