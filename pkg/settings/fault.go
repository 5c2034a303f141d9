package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxQuoted bounds what a message repeats of its input, in bytes.
const maxQuoted = 80

// Fault is one thing wrong with one document.
type Fault struct {
	Path   string // of the document; empty from a Validate method
	Field  string // e.g. places.bne-north.targets[2].address; empty for the whole document
	Line   int    // in the document, from 1; 0 where it is not known
	Reason string
}

// String is the fault in one line.
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

// FaultsError names every fault found, ordered by path; of one document the
// first hundred.
type FaultsError struct{ Faults []Fault }

func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return fmt.Sprintf("settings: %d faults: %s", len(e.Faults), strings.Join(lines, "; "))
}

// newFaultsError is nil without a fault.
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

// PathError says that a path or a service's name is not one.
type PathError struct {
	Path   string
	Reason string
}

func (e *PathError) Error() string {
	return fmt.Sprintf("settings: path %s: %s", truncate(e.Path), e.Reason)
}

// DurationError says that a text is not a length of time.
type DurationError struct{ Text string }

func (e *DurationError) Error() string {
	return fmt.Sprintf("%q is not a length of time such as 1500ms or 2s", truncate(e.Text))
}

// faultList collects the faults of one document.
type faultList struct{ faults []Fault }

func (l *faultList) add(field, format string, args ...any) {
	if len(l.faults) >= maxFaults {
		return
	}
	l.faults = append(l.faults, Fault{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// check adds a fault unless ok holds.
func (l *faultList) check(ok bool, field, format string, args ...any) {
	if !ok {
		l.add(field, format, args...)
	}
}

// addNested takes over the faults of a part of the document.
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

// AddressError says that a target's address is not an IP and a port to dial.
type AddressError struct{ Address string }

func (e *AddressError) Error() string {
	return fmt.Sprintf("settings: %q is not IP:port", truncate(e.Address))
}
