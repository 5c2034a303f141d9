package core

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/firlever/firlever/internal/crash"
	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// ID identifies one request within one instance. The shell assigns a new one to each
// request.
type ID uint64

// Event is something that happened to an instance. The shell passes each event to
// Node.Step and carries out the decisions that it returns.
type Event interface{ event() }

// Request holds the properties of a request that decide where it goes.
type Request struct {
	Service          settings.ServiceID
	Method           string
	Path             string // below the service; starts with "/"
	Caller           netip.Addr
	Home             string // the caller's home place, if a peer has already determined it
	From             string // the instance that handed the request off; empty otherwise
	Name             string // request ID as the caller sees it
	Key              string // idempotency key; empty if the caller sent none
	Fingerprint      once.Fingerprint
	CrashFingerprint crash.Fingerprint // fingerprint for crash reports: equal if the same caller sends the request again
	Deadline         time.Time
	StartDeadline    time.Time // deadline for the start of the answer; zero if it is Deadline
	OverloadedUntil  time.Time // when to retry, as this process is overloaded; zero if it is not
	Replayable       bool      // the body can be sent again; Finished reports when it no longer can
}

// Origin is where a request came from.
type Origin int

// Origins of a request.
const (
	FromCaller  Origin = iota // directly from a caller
	FromPeer                  // handed off by the instance that the caller asked
	FromForward               // forwarded to this instance because it is the key's home
)

// Arrived reports a new request.
type Arrived struct {
	ID      ID
	Origin  Origin
	Request Request
}

// Result is how one attempt ended.
type Result int

// Results of an attempt.
const (
	Answered Result = iota // the complete answer was relayed
	NotRun                 // proof that nothing ran: a refused connection, or a refusal that says so
	Failed                 // anything else: the request may have run
)

// Finished reports the end of the latest attempt of a request, which holds its slot until
// then.
type Finished struct {
	ID           ID
	Result       Result
	Status       int
	Took         time.Duration
	Header       http.Header // for the record of a non-idempotent request
	Body         []byte      // for the same record
	Proof        once.Proof  // for NotRun
	Dropped      bool        // the answer was too large to keep Header and Body
	Reason       Reason      // a peer's reason for not running it
	RetryAt      time.Time
	Final        bool // part of the answer was sent to the caller, so no other attempt is possible
	CallerGone   bool // the caller cancelled it, which says nothing about the target
	LackedHere   bool // not sent for want of descriptors, memory, ports or a whole body here, which says nothing about the target
	BodyConsumed bool // the body can't be sent again
	Aborted      bool // the target closed the connection before a complete answer, without a timeout or cancellation
}

// ConnectionEnded reports that the connection of an aborted attempt has ended at the target as
// well, so that the target no longer works on the attempt.
type ConnectionEnded struct {
	ID     ID
	Target owner.TargetKey
	Reset  bool // the connection was reset, which does not show that the target's work has ended
}

// Cancelled reports that the caller has disconnected or its deadline has passed.
type Cancelled struct{ ID ID }

// FreeSlots is an owner's report of its free capacity for one service.
type FreeSlots struct {
	Service settings.ServiceID
	Free    int
	Queued  int
}

// FreeSlotsReceived delivers a peer's reports of its free capacity.
type FreeSlotsReceived struct {
	Peer     string
	Services []FreeSlots
}

// GrantReceived delivers a peer's offer, sent with an answer or in response to a request for
// grants.
type GrantReceived struct {
	ID          ID // of the request that was handed off; 0 if the peer was asked directly
	Peer        string
	Incarnation uint64 // of the peer that was asked
	Service     settings.ServiceID
	Home        string // the callers' home place in the hand-off or the request for grants
	Free        int
	Grant       int
	Until       time.Time // by this instance's clock, counted from before it sent the hand-off or the request
}

// Peer is another instance, as reported by the membership protocol.
type Peer struct {
	ID             string
	Incarnation    uint64
	Address        string
	CallersAddress string
	Place          string
	Domain         string
	Region         string
	Leaving        bool
}

// PeersChanged replaces the list of live peers. The list is sorted by ID and leaves out
// this instance.
type PeersChanged struct{ Peers []Peer }

// Applied delivers a new snapshot of the operators' documents.
type Applied struct{ Snapshot *settings.Snapshot }

// SettingsConfirmed reports until when the settings are known to have every document that must
// be in force everywhere.
type SettingsConfirmed struct{ Until time.Time }

// RosterRead delivers the roster as read from the platform. Sent is when the read was
// sent.
type RosterRead struct {
	Roster owner.Roster
	Sent   time.Time
}

// RosterReceived delivers a roster received from a peer.
type RosterReceived struct{ Roster owner.Roster }

// PeerAcked reports that a peer acknowledged a heartbeat that was sent at Sent, with the
// promise that an acknowledgement makes.
type PeerAcked struct {
	Peer        string
	Incarnation uint64
	Sent        time.Time
	Roster      uint64
}

// Listed delivers the platform's list of instances, which lags. Sent is when the read was
// sent.
type Listed struct {
	Instances []docstore.Instance
	Sent      time.Time
	Epoch     uint64 // of the platform's store
}

// Released delivers what a peer still holds of targets that it does not own.
type Released struct{ Release owner.Release }

// SwapFailed reports that a roster write is proved not to have been applied.
type SwapFailed struct{ Removed string }

// Probed delivers the answer to a health probe, or reports that there was none.
type Probed struct {
	Target  owner.TargetKey
	Sent    time.Time // copied from the Probe
	Err     bool
	Refused bool // the target's address refuses connections; only with Err
	Healthy bool
	Slots   int
	Busy    int

	Check     bool // copied from the Probe
	Connected bool // a connection was opened; set if Check is
}

// Stopping reports that this instance has begun a planned stop.
type Stopping struct{}

// Tick reports that time has passed.
type Tick struct{}

func (Arrived) event()           {}
func (Finished) event()          {}
func (Cancelled) event()         {}
func (ConnectionEnded) event()   {}
func (FreeSlotsReceived) event() {}
func (GrantReceived) event()     {}
func (PeersChanged) event()      {}
func (Applied) event()           {}
func (SettingsConfirmed) event() {}
func (RosterRead) event()        {}
func (RosterReceived) event()    {}
func (PeerAcked) event()         {}
func (Listed) event()            {}
func (Released) event()          {}
func (SwapFailed) event()        {}
func (Probed) event()            {}
func (Stopping) event()          {}
func (Tick) event()              {}
