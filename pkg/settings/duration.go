package settings

import "time"

// Duration is a duration in Go's text format, such as 1500ms. It serves only to
// decode and encode documents; use time.Duration elsewhere.
type Duration time.Duration

// UnmarshalText parses a duration such as 2s. It returns a *DurationError for other text.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return &DurationError{Text: string(b)}
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the duration in Go's text format.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }
