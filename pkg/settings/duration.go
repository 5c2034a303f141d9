package settings

import "time"

// Duration is a length of time written as Go writes it, e.g. 1500ms. It is
// only how a document is written: programs store deadlines.
type Duration time.Duration

// UnmarshalText reads a duration such as 2s. Anything else gives *DurationError.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return &DurationError{Text: string(b)}
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration as Go writes it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }
