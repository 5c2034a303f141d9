package core

import (
	"time"

	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// Decision is something that the shell has to carry out.
type Decision interface{ decision() }

// Reason is the word that says why a decision was taken; it is logged and, for
// a refusal, sent to the caller.
type Reason string

// Reasons of decisions.
const (
	ReasonOwnFree         Reason = "own-free"        // a target that this instance owns has a free slot
	ReasonPeerFree        Reason = "peer-free"       // a peer of the place has said it has room
	ReasonGrant           Reason = "grant"           // an owner of another place has granted it
	ReasonUngranted       Reason = "ungranted"       // tried without a grant, so that one is asked for
	ReasonNoGrant         Reason = "no-grant"        // no owner of the place has granted anything
	ReasonReleased        Reason = "released"        // what was granted has no use any more
	ReasonQueue           Reason = "queue"           // a slot came free for a waiting request
	ReasonRetry           Reason = "retry"           // the attempt before ran nothing
	ReasonKeyHome         Reason = "key-home"        // the key belongs to another instance
	ReasonFull            Reason = "full"            // every way is at its limit
	ReasonDeadline        Reason = "deadline"        // the deadline can't be met
	ReasonCallerGone      Reason = "caller-gone"     // the caller broke the request off
	ReasonShiftCap        Reason = "shift-cap"       // the shift cap holds the request back
	ReasonDrained         Reason = "drained"         // all that could serve it is being drained
	ReasonNoService       Reason = "no-service"      // no such service
	ReasonNoTargets       Reason = "no-targets"      // no target within reach
	ReasonNoKey           Reason = "no-key"          // a non-idempotent request came without a key
	ReasonBadKey          Reason = "bad-key"         // the key is malformed, forged, or of another request
	ReasonKeyExpired      Reason = "key-expired"     // the key's deadline has passed
	ReasonKeyRunning      Reason = "key-running"     // the first request with the key is under way
	ReasonKeyUnknown      Reason = "key-unknown"     // the first request with the key ended without an answer
	ReasonHomeGone        Reason = "key-home-gone"   // the key's home has gone; its records went with it
	ReasonHomeUnreachable Reason = "key-home-cut"    // the key's home can't be reached now
	ReasonKeysFull        Reason = "keys-full"       // no memory for another record
	ReasonTargetError     Reason = "target-failed"   // the target failed after the request was sent
	ReasonStopping        Reason = "stopping"        // the instance is in a planned stop
	ReasonNoSettings      Reason = "no-settings"     // no configuration has arrived yet
	ReasonBadRequest      Reason = "bad-request"     // the request can't be understood
	ReasonRepeat          Reason = "repeat"          // the recorded answer of the key's first request
	ReasonNotKept         Reason = "answer-not-kept" // the key's request was answered, but the answer was too large to keep
	ReasonPoisonRequest   Reason = "ends-targets"    // it has ended the targets that ran it
	ReasonBackingOff      Reason = "resting"         // the targets have asked for rest
	ReasonLimited         Reason = "limited"         // the targets have named limits, and had as much
	ReasonOverloaded      Reason = "overloaded"      // this process has more to do than its processors can
	ReasonNoEnd           Reason = "answer-no-end"   // the end of the target's answer can't be told from a cut
)

// Passed is a way that was weighed and not taken.
type Passed struct {
	Way    string // place, instance or target
	Reason Reason
}

// Serve sends a request to a target that this instance owns.
type Serve struct {
	ID       ID
	Target   owner.TargetKey
	Address  string
	Deadline time.Time
	Attempt  int
	Shifted  bool
	RunOn    bool  // the attempt goes on when the caller goes away
	Link     int64 // bytes/s for the answers that leave this place; 0 sets no limit
	Home     string
	Reason   Reason
	Passed   []Passed
}

// Hand hands a request off to a peer, which serves it from its own targets.
type Hand struct {
	ID       ID
	Peer     Peer
	Deadline time.Time
	Attempt  int
	RunOn    bool  // the attempt goes on when the caller goes away
	Link     int64 // bytes/s for the answers that leave this place; 0 sets no limit
	Upload   int64 // bytes/s for the bodies that leave this place; 0 sets no limit
	Home     string
	Granted  bool // the peer has granted it
	Want     int  // requests that the peer is asked to grant beyond those it has
	Reason   Reason
	Passed   []Passed
}

// AskGrant asks a peer of another place for grants, or gives some back. Nothing
// waits for the answer: if it is lost, the node asks again.
type AskGrant struct {
	Peer    Peer
	Service settings.ServiceID
	Home    string // the callers' home place
	Want    int    // requests
	Release int    // requests that were granted and have no use
}

// Forward sends a request to its key's home.
type Forward struct {
	ID       ID
	Peer     Peer
	Deadline time.Time
	Home     string // the caller's home place
	Reason   Reason
}

// Hold says that a request waits in the queue; another decision follows.
type Hold struct {
	ID     ID
	Until  time.Time
	Passed []Passed
}

// Refuse is the final answer of a request that has none from a target. Unknown
// says that it may have run; otherwise it has not run, and won't.
type Refuse struct {
	ID      ID
	Unknown bool
	Reason  Reason
	RetryAt time.Time // when to come back; zero if coming back does not help
	Passed  []Passed
}

// Repeat gives the recorded answer of a key's first request.
type Repeat struct {
	ID     ID
	Answer once.Outcome
}

// SwapRoster asks the platform to replace the place's roster by compare-and-swap.
type SwapRoster struct {
	Next    owner.Roster // its version is one more than the one that was read
	Removed string       // the peer that Next leaves out, if any
	Reason  Reason
}

// Probe asks a target for its health and load.
type Probe struct {
	Target  owner.TargetKey
	Address string
	Asked   time.Time // goes back with the answer
	Look    bool      // by a new connection, as those that were kept may tell of a process that has ended
}

// Reasons of changes to a roster.
const (
	ReasonJoin  Reason = "join"
	ReasonLeave Reason = "leave"
	ReasonDead  Reason = "dead"
	ReasonTidy  Reason = "tidy" // former lines that are proved to hold nothing
)

func (Serve) decision()      {}
func (Hand) decision()       {}
func (Forward) decision()    {}
func (Hold) decision()       {}
func (Refuse) decision()     {}
func (Repeat) decision()     {}
func (SwapRoster) decision() {}
func (Probe) decision()      {}
func (AskGrant) decision()   {}

// Lookup is the answer to a caller's look-up.
type Lookup struct {
	Service   settings.ServiceID
	Place     string // the caller's home place; empty if no block has it
	Instances []Peer // in the order to try
	Until     time.Time
	Keys      []string
}

// RequestOf tells which request a decision is about, if any.
func RequestOf(d Decision) (ID, bool) {
	switch d := d.(type) {
	case Serve:
		return d.ID, true
	case Hand:
		return d.ID, true
	case Forward:
		return d.ID, true
	case Hold:
		return d.ID, true
	case Refuse:
		return d.ID, true
	case Repeat:
		return d.ID, true
	}
	return 0, false
}
