package core

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// stage is the state of a request within the instance.
type stage int

const (
	stageNew     stage = iota
	stageQueued        // waits for a slot
	stageTarget        // holds a slot of f.target
	stagePeer          // handed off to f.peer
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
	keyed      bool     // this instance is the home of key and has begun it
	key        once.Key // valid if keyed
	keyAttempt uint32   // attempt number in the key's record; valid if keyed

	queueUntil time.Time // end of its wait in the queue; at most the deadline

	stage         stage
	target        owner.TargetKey // valid in stageTarget
	peer          string          // valid in stagePeer and stageForward
	mayHaveRun    bool            // an attempt may have run, so "not run" is no longer a true answer
	unowned       bool            // sent by a baseline policy, without a slot
	attempts      int
	dest          destination // of the latest hand-off to another place
	ungranted     bool        // handed off without a grant, and counted as such
	awaitsGrant   bool        // a grant may arrive for it
	granted       bool        // the peer that handed it off held a grant
	slotsReported bool        // the local peer that it was handed off to has reported its free slots
	demandCounted []string    // other places whose demand already counts it
	tried         []string    // targets and instances that refused it; never tried again
	passed        []Passed    // options considered and not taken in the latest try
	heldReason    Reason      // reason for which it was last held back
	retryAt       time.Time   // earliest time at which a refusing peer would accept it
}

// shifted reports whether serving f in a place counts against the shift cap.
func (f *inFlight) shifted(place string) bool { return f.home != place }

// startDeadline returns until when an attempt may start: the caller abandons an attempt
// whose answer does not begin in time, so a later start would be wasted work.
func (f *inFlight) startDeadline() time.Time {
	if f.req.StartDeadline.IsZero() || f.req.StartDeadline.After(f.req.Deadline) {
		return f.req.Deadline
	}
	return f.req.StartDeadline
}

func (f *inFlight) hasTried(name string) bool { return slices.Contains(f.tried, name) }

func (f *inFlight) lowerRetryAt(at time.Time) {
	if f.retryAt.IsZero() || at.Before(f.retryAt) {
		f.retryAt = at
	}
}
