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

// ID names one request inside one instance. The shell gives each request a new one.
type ID uint64

// Event is something that happened to an instance. The shell tells the node of
// each by Node.Step and carries out the decisions that come back.
type Event interface{ event() }

// Request is what the node needs to know of a request to place it.
type Request struct {
	Service    settings.ServiceID
	Method     string
	Path       string // below the service, starts with "/"
	Caller     netip.Addr
	Home       string // the caller's home place if a peer has already found it
	From       string // the instance that handed the request off; empty otherwise
	Name       string // request id as the caller sees it
	Key        string // idempotency key; empty if the caller sent none
	Print      once.Fingerprint
	Sent       crash.Print // the same for a request that is sent again by the same caller
	Deadline   time.Time
	Start      time.Time // by when the answer must begin; zero if by Deadline
	Again      time.Time // when to come back, as this process has no time for it; zero if it has
	Replayable bool      // the body can be sent again; Finished says when that is over
}

// Origin says who brought a request.
type Origin int

// Origins of a request.
const (
	FromCaller  Origin = iota // straight from a caller
	FromPeer                  // handed off by the instance that the caller asked
	FromForward               // forwarded to this instance because it is the key's home
)

// Arrived tells of a new request.
type Arrived struct {
	ID      ID
	Origin  Origin
	Request Request
}

// Result is how one attempt ended.
type Result int

// Results of an attempt.
const (
	Answered Result = iota // the whole answer was passed on
	NotRun                 // proof that nothing ran: refused connection or a refusal that says so
	Failed                 // anything else: the work may have run
)

// Finished tells how the latest attempt of a request ended. A slot is held
// until then.
type Finished struct {
	ID      ID
	Result  Result
	Status  int
	Took    time.Duration
	Header  http.Header // for the record of a non-idempotent request
	Body    []byte      // for the same
	Proof   once.Proof  // of NotRun
	Dropped bool        // the answer was too large to give Header and Body
	Reason  Reason      // a peer's reason for not running it
	Retry   time.Time
	Final   bool // bytes of the answer have gone to the caller: no other attempt
	Gone    bool // the caller broke it off, which tells nothing of the target
	Spent   bool // the body can't be sent again
	Broken  bool // the target ended the connection before a whole answer, and not the time or the caller
}

// Ended tells that the connection of an attempt that was broken off has ended at the
// target too, which works on nothing of it any more.
type Ended struct {
	ID     ID
	Target owner.TargetKey
	Cut    bool // it was cut instead, which shows nothing of the target
}

// Cancelled tells that the caller has gone, or its deadline has passed.
type Cancelled struct{ ID ID }

// Room is what an owner says of its free capacity for one service.
type Room struct {
	Service settings.ServiceID
	Free    int
	Queued  int
}

// RoomHeard brings a peer's rooms.
type RoomHeard struct {
	Peer  string
	Rooms []Room
}

// GrantHeard brings what a peer offered with an answer, or when it was asked.
type GrantHeard struct {
	ID          ID // of the request that was handed off; 0 if the peer was asked directly
	Peer        string
	Incarnation uint64 // of the peer that was asked
	Service     settings.ServiceID
	Home        string // the callers' home place that the hand-off or the ask named
	Free        int
	Grant       int
	Until       time.Time // by this instance's clock, from before it sent what is answered
}

// Peer is another instance as the membership sees it.
type Peer struct {
	ID          string
	Incarnation uint64
	Address     string
	Callers     string
	Place       string
	Domain      string
	Region      string
	Leaving     bool
}

// PeersChanged replaces the list of live peers, sorted by id, without this instance.
type PeersChanged struct{ Peers []Peer }

// Applied brings a new snapshot of the operators' documents.
type Applied struct{ Snapshot *settings.Snapshot }

// RosterRead brings the roster as the platform gave it. Sent is when the call went out.
type RosterRead struct {
	Roster owner.Roster
	Sent   time.Time
}

// RosterHeard brings a roster that a peer passed on.
type RosterHeard struct{ Roster owner.Roster }

// PeerAcked tells that a peer acked a heartbeat sent at Sent, with the promise
// that goes with it.
type PeerAcked struct {
	Peer        string
	Incarnation uint64
	Sent        time.Time
	Roster      uint64
}

// Listed brings the platform's lagging list of instances. Sent is when the call
// went out.
type Listed struct {
	Instances []docstore.Instance
	Sent      time.Time
	Epoch     uint64 // of the platform's store
}

// Released brings what a peer still holds of targets that it does not own.
type Released struct{ Release owner.Release }

// SwapFailed tells that a roster's write is proved not to have landed.
type SwapFailed struct{ Removed string }

// Probed brings the answer of a health probe, or says that there was none.
type Probed struct {
	Target  owner.TargetKey
	Asked   time.Time // by the Probe that it answers
	Err     bool
	Refused bool // nothing listens at the target's address; only with Err
	Healthy bool
	Slots   int
	Busy    int
}

// Stopping tells that this instance has begun a planned stop.
type Stopping struct{}

// Tick tells that time has passed.
type Tick struct{}

func (Arrived) event()      {}
func (Finished) event()     {}
func (Cancelled) event()    {}
func (Ended) event()        {}
func (RoomHeard) event()    {}
func (GrantHeard) event()   {}
func (PeersChanged) event() {}
func (Applied) event()      {}
func (RosterRead) event()   {}
func (RosterHeard) event()  {}
func (PeerAcked) event()    {}
func (Listed) event()       {}
func (Released) event()     {}
func (SwapFailed) event()   {}
func (Probed) event()       {}
func (Stopping) event()     {}
func (Tick) event()         {}
