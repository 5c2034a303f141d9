package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxQuoted is the maximum length of an input value quoted in a message, in bytes.
const maxQuoted = 80

// Fault is one fault of one document.
type Fault struct {
	Path   string // path of the document; empty from a Validate method
	Field  string // e.g. places.bne-north.targets[2].address; empty for the whole document
	Line   int    // line in the document, from 1; 0 if unknown
	Reason string
}

// String formats the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.Path)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Field != "" {
		b.WriteString(" " + f.Field)
	}
	return strings.TrimSpace(b.String() + ": " + f.Reason)
}

// FaultsError lists the faults found, ordered by path, with at most one hundred
// for each document.
type FaultsError struct{ Faults []Fault }

func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return fmt.Sprintf("settings: %d faults: %s", len(e.Faults), strings.Join(lines, "; "))
}

// newFaultsError returns the sorted faults as *FaultsError, or nil if there are none.
func newFaultsError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, compareFaults)
	return &FaultsError{Faults: faults}
}

func compareFaults(a, b Fault) int {
	return cmp.Or(strings.Compare(a.Path, b.Path), cmp.Compare(a.Line, b.Line), strings.Compare(a.Field, b.Field))
}

// PathError reports an invalid path or service name.
type PathError struct {
	Path   string
	Reason string
}

func (e *PathError) Error() string {
	return fmt.Sprintf("settings: path %s: %s", truncate(e.Path), e.Reason)
}

// DurationError reports a text that is not a duration.
type DurationError struct{ Text string }

func (e *DurationError) Error() string {
	return fmt.Sprintf("%q is not a duration such as 1500ms or 2s", truncate(e.Text))
}

// faultList collects up to maxFaults faults of one document.
type faultList struct{ faults []Fault }

func (l *faultList) add(field, format string, args ...any) {
	if len(l.faults) >= maxFaults {
		return
	}
	l.faults = append(l.faults, Fault{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// check adds a fault unless ok is true.
func (l *faultList) check(ok bool, field, format string, args ...any) {
	if !ok {
		l.add(field, format, args...)
	}
}

// addNested adds the faults of a part of the document, with field as the prefix of their fields.
func (l *faultList) addNested(field string, part faultList) {
	for _, f := range part.faults {
		if len(l.faults) >= maxFaults {
			return
		}
		f.Field = field + "." + f.Field
		l.faults = append(l.faults, f)
	}
}

func truncate(s string) string {
	if len(s) <= maxQuoted {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuoted], "") + "..."
}

// AddressError reports a target address that is not an IP address and port that can be dialled.
type AddressError struct{ Address string }

func (e *AddressError) Error() string {
	return fmt.Sprintf("settings: %q is not IP:port", truncate(e.Address))
}
