package core

import (
	"time"

	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// Decision is an action for the shell to carry out.
type Decision interface{ decision() }

// Reason is a short code for why a decision was taken. It is logged and, for a refusal,
// sent to the caller.
type Reason string

// Reasons for decisions.
const (
	ReasonOwnFree         Reason = "own-free"        // a target that this instance owns has a free slot
	ReasonPeerFree        Reason = "peer-free"       // a peer of this place reported a free slot
	ReasonGrant           Reason = "grant"           // an owner in another place granted it
	ReasonUngranted       Reason = "ungranted"       // sent without a grant, which also requests one
	ReasonNoGrant         Reason = "no-grant"        // no owner in the place has granted anything
	ReasonReleased        Reason = "released"        // unused grants are returned
	ReasonQueue           Reason = "queue"           // a slot became free for a queued request
	ReasonRetry           Reason = "retry"           // the previous attempt ran nothing
	ReasonKeyHome         Reason = "key-home"        // the key belongs to another instance
	ReasonFull            Reason = "full"            // every option is at its limit
	ReasonDeadline        Reason = "deadline"        // the deadline can't be met
	ReasonCallerGone      Reason = "caller-gone"     // the caller cancelled the request
	ReasonShiftCap        Reason = "shift-cap"       // the shift cap is reached
	ReasonDrained         Reason = "drained"         // everything that could serve it is being drained
	ReasonNoService       Reason = "no-service"      // no such service
	ReasonNoTargets       Reason = "no-targets"      // no target can be reached
	ReasonNoKey           Reason = "no-key"          // a non-idempotent request has no key
	ReasonBadKey          Reason = "bad-key"         // the key is malformed, forged, or of another request
	ReasonKeyExpired      Reason = "key-expired"     // the key's deadline has passed
	ReasonKeyRunning      Reason = "key-running"     // the first request with the key is in flight
	ReasonKeyUnknown      Reason = "key-unknown"     // the first request with the key ended without an answer
	ReasonHomeGone        Reason = "key-home-gone"   // the key's home has ended, and its records with it
	ReasonHomeUnreachable Reason = "key-home-cut"    // the key's home is unreachable
	ReasonKeysFull        Reason = "keys-full"       // no memory for another key record
	ReasonTargetError     Reason = "target-failed"   // the target failed after the request was sent
	ReasonStopping        Reason = "stopping"        // the instance is in a planned stop
	ReasonNoSettings      Reason = "no-settings"     // no configuration has arrived yet
	ReasonOldSettings     Reason = "old-settings"    // no such service, but the settings may lack a document that is in force elsewhere
	ReasonBadRequest      Reason = "bad-request"     // the request is invalid
	ReasonReplay          Reason = "repeat"          // the recorded answer of the key's first request
	ReasonNotKept         Reason = "answer-not-kept" // the key's request was answered, but the answer was too large to record
	ReasonPoisonRequest   Reason = "ends-targets"    // the request crashed the targets that ran it
	ReasonBackingOff      Reason = "resting"         // the targets are backing off
	ReasonLimited         Reason = "limited"         // the targets are at the limits that they announced
	ReasonPartitioned     Reason = "partitioned"     // this instance reaches no target
	ReasonOverloaded      Reason = "overloaded"      // this process has no processor time to spare
	ReasonNoMemory        Reason = "no-memory"       // this process has no memory to spare
	ReasonNoEnd           Reason = "answer-no-end"   // a complete answer can't be distinguished from a truncated one
)

// Passed is an option that was considered and not taken.
type Passed struct {
	Way    string // place, instance or target
	Reason Reason
}

// Serve sends a request to a target that this instance owns.
type Serve struct {
	ID         ID
	Target     owner.TargetKey
	Address    string
	Deadline   time.Time
	Attempt    int
	Shifted    bool
	Detached   bool  // the attempt continues if the caller disconnects
	AnswerRate int64 // limit in bytes/s for an answer that leaves this place; 0 for none
	Home       string
	Reason     Reason
	Passed     []Passed
}

// HandOff hands a request off to a peer, which serves it from its own targets.
type HandOff struct {
	ID         ID
	Peer       Peer
	Deadline   time.Time
	Attempt    int
	Detached   bool  // the attempt continues if the caller disconnects
	AnswerRate int64 // limit in bytes/s for an answer that leaves this place; 0 for none
	UploadRate int64 // limit in bytes/s for a body that leaves this place; 0 for none
	Home       string
	Granted    bool // the peer has granted it
	Want       int  // further grants that the peer is asked for
	Reason     Reason
	Passed     []Passed
}

// AskGrant asks a peer of another place for grants, or returns some. Nothing waits for
// the answer: if it is lost, the node asks again.
type AskGrant struct {
	Peer    Peer
	Service settings.ServiceID
	Home    string // the callers' home place
	Want    int    // number of requests
	Release int    // number of unused grants returned
}

// Forward sends a request to its key's home.
type Forward struct {
	ID       ID
	Peer     Peer
	Deadline time.Time
	Home     string // the caller's home place
	Reason   Reason
}

// Hold reports that a request was queued; another decision on it follows.
type Hold struct {
	ID     ID
	Until  time.Time
	Passed []Passed
}

// Refuse is the final answer to a request that got none from a target. With Unknown set,
// the request may have run; otherwise it has not run and will not.
type Refuse struct {
	ID      ID
	Unknown bool
	Reason  Reason
	RetryAt time.Time // earliest time to retry; zero if a retry can't succeed
	Passed  []Passed
}

// Replay answers a request with the recorded answer of its key's first request.
type Replay struct {
	ID     ID
	Answer once.Outcome
}

// SwapRoster replaces the place's roster on the platform by compare-and-swap.
type SwapRoster struct {
	Next    owner.Roster // its version is one above the version that was read
	Removed string       // the peer that Next removes, if any
	Reason  Reason
}

// Probe asks a target for its health and load.
type Probe struct {
	Target        owner.TargetKey
	Address       string
	Sent          time.Time // copied into the result
	NewConnection bool      // over a new connection: a kept one may belong to a process that has ended
	Check         bool      // part of a check of the path to the targets, and no evidence about this one
}

// Reasons for roster changes.
const (
	ReasonJoin  Reason = "join"
	ReasonLeave Reason = "leave"
	ReasonDead  Reason = "dead"
	ReasonTidy  Reason = "tidy" // previous entries that are proved to hold nothing
)

func (Serve) decision()      {}
func (HandOff) decision()    {}
func (Forward) decision()    {}
func (Hold) decision()       {}
func (Refuse) decision()     {}
func (Replay) decision()     {}
func (SwapRoster) decision() {}
func (Probe) decision()      {}
func (AskGrant) decision()   {}

// Lookup is the answer to a caller's look-up.
type Lookup struct {
	Service   settings.ServiceID
	Place     string // the caller's home place; empty if no block contains the caller
	Instances []Peer // in the order to try
	Until     time.Time
	Keys      []string
}

// RequestOf returns the request that a decision is about, if any.
func RequestOf(d Decision) (ID, bool) {
	switch d := d.(type) {
	case Serve:
		return d.ID, true
	case HandOff:
		return d.ID, true
	case Forward:
		return d.ID, true
	case Hold:
		return d.ID, true
	case Refuse:
		return d.ID, true
	case Replay:
		return d.ID, true
	}
	return 0, false
}
