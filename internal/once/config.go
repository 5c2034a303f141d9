package once

import "time"

// Config limits the memory of the table and the lifetime of keys.
type Config struct {
	Records int           // maximum number of records
	Bytes   int           // maximum bytes of records and recorded answers
	Answer  int           // maximum bytes of header and body stored for one answer
	Life    time.Duration // maximum lifetime of a key from its issue
}

// Defaults returns the limits of a small instance.
func Defaults() Config {
	return Config{
		Records: 20_000,
		Bytes:   24 << 20,
		Answer:  16 << 10,
		Life:    2 * time.Minute,
	}
}

// Validate returns a *ConfigError that lists all invalid fields, or nil.
func (c Config) Validate() error {
	var faults []Fault
	check := func(ok bool, field, reason string) {
		if !ok {
			faults = append(faults, Fault{Field: field, Reason: reason})
		}
	}
	check(c.Records > 0, "Records", "must be over 0")
	check(c.Bytes >= recordSize, "Bytes", "must hold one record")
	check(c.Answer >= 0, "Answer", "must not be negative")
	check(c.Life >= time.Millisecond, "Life", "must be a millisecond or more")
	if len(faults) > 0 {
		return &ConfigError{Faults: faults}
	}
	return nil
}
