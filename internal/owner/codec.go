package owner

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
)

// RosterError reports why bytes are not a valid roster.
type RosterError struct {
	Fault string
	Err   error // may be nil
}

func (e *RosterError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("owner: roster: %s: %v", e.Fault, e.Err)
	}
	return "owner: roster: " + e.Fault
}

// Unwrap returns the cause.
func (e *RosterError) Unwrap() error { return e.Err }

// Encode returns the roster as it is stored in the platform.
func (r Roster) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, &RosterError{Fault: "encode", Err: err}
	}
	return b, nil
}

// Decode parses a roster that the platform stores under the given version.
// Every fault gives *RosterError.
func Decode(b []byte, version uint64) (Roster, error) {
	var r Roster
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return Roster{}, &RosterError{Fault: "invalid JSON", Err: err}
	}
	if _, err := d.Token(); err != io.EOF {
		return Roster{}, &RosterError{Fault: "trailing data"}
	}
	if r.Version != version {
		return Roster{}, &RosterError{Fault: fmt.Sprintf("encoded as version %d, stored as %d", r.Version, version)}
	}
	if fault := r.fault(); fault != "" {
		return Roster{}, &RosterError{Fault: fault}
	}
	return r, nil
}

// fault describes the first rule that the roster violates, or returns "".
func (r Roster) fault() string {
	if r.Version == 0 {
		return "version 0"
	}
	for i, m := range r.Members {
		if fault := m.fault(r.Version); fault != "" {
			return fault
		}
		if i > 0 && byInstance(r.Members[i-1], m) >= 0 {
			return m.Instance + " is duplicated or out of order"
		}
	}
	for _, f := range r.Previous {
		if fault := f.fault(r.Version); fault != "" {
			return fault
		}
		if f.Until <= max(f.Since, f.LeavingSince) || f.Until > r.Version {
			return f.Instance + " has an invalid version of its removal"
		}
	}
	return ""
}

func (m Member) fault(version uint64) string {
	switch {
	case m.Instance == "":
		return "entry without an instance"
	case m.Incarnation == 0:
		return m.Instance + " has no incarnation"
	case m.Since == 0 || m.Since > version:
		return m.Instance + " has an invalid version of its joining"
	case m.LeavingSince != 0 && (m.LeavingSince <= m.Since || m.LeavingSince > version):
		return m.Instance + " has an invalid version of its leaving"
	}
	return ""
}

func byInstance(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) }
