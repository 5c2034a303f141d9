package rollout

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
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

// MaxBarred bounds the versions that are remembered as not completed.
const MaxBarred = 8

// Record is the status of a rollout with what the next one has to know of it.
type Record struct {
	Status
	Version string
	Barred  []string // versions of earlier orders that were not completed; MaxBarred at most, nil if not known
}

// BarredNext returns the versions that are barred when an order for a version follows.
func (r Record) BarredNext(version string) []string {
	barred := slices.Clone(r.Barred)
	if r.Phase != Completed && !slices.Contains(barred, r.Version) {
		barred = append(barred, r.Version)
	}
	barred = slices.DeleteFunc(barred, func(v string) bool { return v == version || v == "" })
	return barred[max(0, len(barred)-MaxBarred):]
}

// LaterOrder reports whether an order was given after another one for the same service and in the same
// epoch of the store. IDs begin with the revision of the order.
func LaterOrder(id, other string) bool {
	at, err := orderRevision(id)
	otherAt, otherErr := orderRevision(other)
	return err == nil && otherErr == nil && at > otherAt
}

func orderRevision(id string) (uint64, error) {
	revision, _, _ := strings.Cut(id, "-")
	return strconv.ParseUint(revision, 10, 64)
}
