package block

import (
	"fmt"
	"strings"
)

// Reason is the kind of a fault.
type Reason string

// Reasons of a fault.
const (
	ReasonPrefix    Reason = "not a prefix in CIDR form"
	ReasonHost      Reason = "bits set below the length of the prefix"
	ReasonPlace     Reason = "names no place"
	ReasonDuplicate Reason = "prefix stands twice in the document"
)

// Fault is one fault of a document.
type Fault struct {
	Block  int // position in the document, from 0; -1 if the fault concerns two blocks
	Prefix string
	Reason Reason
}

// DocumentError is returned for an invalid document and lists all of its faults.
type DocumentError struct {
	Document string
	Faults   []Fault
}

// Error names the document and each fault.
func (e *DocumentError) Error() string {
	parts := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		parts[i] = fmt.Sprintf("block %d %q: %s", f.Block, f.Prefix, f.Reason)
	}
	return fmt.Sprintf("%s: %s", e.Document, strings.Join(parts, "; "))
}

// FullError is returned if a table has no positions left for documents or places.
type FullError struct {
	What string // documents or places
}

// Error names what there is too much of.
func (e *FullError) Error() string {
	return fmt.Sprintf("block table holds no more than %d %s", maxPositions, e.What)
}
