package core

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// stage is where a request stands inside the instance.
type stage int

const (
	stageNew     stage = iota
	stageQueued        // waits for a slot
	stageTarget        // holds a slot of f.target
	stagePeer          // handed to f.peer
	stageForward       // forwarded to its key's home
)

// inFlight is one request from its arrival to its final answer.
type inFlight struct {
	id      ID
	req     Request
	origin  Origin
	service *settings.CompiledService
	home    string // the caller's home place; never empty

	idempotent bool
	keyed      bool     // this instance is the home of key, which is begun
	key        once.Key // valid if keyed
	keyAttempt uint32   // attempt of the key's record, valid if keyed

	queueUntil time.Time // it waits in the queue no longer; at most the deadline

	stage         stage
	target        owner.TargetKey // valid in stageTarget
	peer          string          // valid in stagePeer and stageForward
	mayHaveRun    bool            // an attempt may have run: "not run" would no longer be true
	unowned       bool            // sent by a baseline policy: holds no slot
	attempts      int
	dest          destination // what the latest hand-off to another place uses
	ungranted     bool        // handed off without a grant, and counted
	awaitsGrant   bool        // a grant may come for it
	granted       bool        // the peer that handed it off held a grant
	slotsReported bool        // the peer of this place that it went to has told its free slots
	demandCounted []string    // other places that have counted it as one that could go there
	tried         []string    // targets and instances that have refused it; never tried again
	passed        []Passed    // ways weighed and not taken in the latest try
	heldReason    Reason      // why it was last held back
	retryAt       time.Time   // soonest time at which a refusing peer would take it
}

// shifted says whether serving f in a place counts against the shift cap.
func (f *inFlight) shifted(place string) bool { return f.home != place }

// startDeadline is until when f may startDeadline: the caller gives an attempt up whose answer
// doesn't begin in time, so starting it later would be work for nothing.
func (f *inFlight) startDeadline() time.Time {
	if f.req.Start.IsZero() || f.req.Start.After(f.req.Deadline) {
		return f.req.Deadline
	}
	return f.req.Start
}

func (f *inFlight) hasTried(name string) bool { return slices.Contains(f.tried, name) }

func (f *inFlight) lowerRetryAt(at time.Time) {
	if f.retryAt.IsZero() || at.Before(f.retryAt) {
		f.retryAt = at
	}
}
