package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Phase is a stage of a rollout.
type Phase string

// Phases of a rollout. They follow each other in this order; each that isn't final may be followed by
// RolledBack.
const (
	Canary     Phase = "canary"      // some targets of the new version get a bounded share of the requests
	Promoting  Phase = "promoting"   // the new version takes over
	Completed  Phase = "completed"   // the old version gets no requests and may stop
	RolledBack Phase = "rolled-back" // the new version gets no requests
)

// phases are all phases in their order.
var phases = []Phase{Canary, Promoting, Completed, RolledBack}

// Compare returns a negative number if p comes before o, zero if they are equal, and a positive
// number otherwise. Unknown phases come before all others.
func (p Phase) Compare(o Phase) int {
	return cmp.Compare(slices.Index(phases, p), slices.Index(phases, o))
}

// Final reports whether no phase follows.
func (p Phase) Final() bool { return p == Completed || p == RolledBack }

// Order is an operator's order to move a service to a version.
type Order struct {
	ID      string // identifies the order among all for its service
	Epoch   uint64 // of the store when the order was read
	Service string
	Version string
	Schedule
}

// Status is how far a rollout is, as its instances agree on.
type Status struct {
	Order    string // ID of the order
	Phase    Phase
	Reason   string    // why it was rolled back; "" otherwise
	Deadline time.Time // of the order, by the clock of the instance that wrote the status
}

// Follows reports whether s may replace o. A final status of an order is not replaced.
func (s Status) Follows(o Status) bool {
	return s.Order != o.Order || !o.Phase.Final() && s.Phase.Compare(o.Phase) > 0
}
