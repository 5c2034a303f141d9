package member

import (
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/wire"
)

// State is the state of a member.
type State int

// The states of a member.
const (
	Alive State = iota
	Leaving
	Suspect
	Dead
)

// String returns the state as one word.
func (s State) String() string {
	return [...]string{"alive", "leaving", "suspect", "dead"}[s]
}

// Member is a copy of the state held of one member.
type Member struct {
	docstore.Instance
	State State
	Since time.Time // when the state was entered, by the own clock
}

// ChangeKind is the kind of a change of a member.
type ChangeKind int

// The kinds of changes.
const (
	BecameAlive   ChangeKind = iota // new, or no longer suspected or dead
	BecameLeaving                   // announced its planned stop
	BecameSuspect                   // does not answer; may still refute
	BecameDead                      // did not refute in time
	Restarted                       // runs under a new incarnation
	Forgotten                       // no longer held
	Refuted                         // others hold this instance as suspect or dead, and it refuted
	Resumed                         // this process was paused: its rights must be confirmed again
	Replaced                        // a newer incarnation of this instance runs: this process must stop
)

// String returns the kind as one word.
func (k ChangeKind) String() string {
	return [...]string{
		"alive", "leaving", "suspect", "dead", "back", "forgotten", "accused", "woke", "replaced",
	}[k]
}

// Change is one event. For Refuted, Resumed and Replaced the member is this instance.
type Change struct {
	Kind   ChangeKind
	At     time.Time
	Member Member
}

// Ack holds what a peer's own acks prove, by the own clock.
type Ack struct {
	Sent     time.Time // when the latest ping was sent that the peer acked; zero if none was
	Promised time.Time // the same for acks with a roster promise; zero if there was none
	Roster   uint64    // the roster version in the latest promise
}

// Send is a packet to send.
type Send struct {
	To     string // IP:port
	Packet *wire.Packet
}

// member is the state held of one member.
type member struct {
	in         docstore.Instance // Incarnation never decreases while the member is held
	refutation uint64            // never decreases within an incarnation
	state      wire.State
	since      time.Time
	suspectBy  time.Time // set while suspect: dead from then on
	forgetBy   time.Time // set while dead and unlisted
	listed     bool      // the platform's list named it when last read
	ack        Ack       // of this incarnation
	promised   time.Time // when this instance last sent it a promise
}

func (m *member) view() Member {
	return Member{Instance: m.in, State: m.publicState(), Since: m.since}
}

func (m *member) publicState() State {
	switch {
	case m.state == wire.State_STATE_DEAD:
		return Dead
	case m.state == wire.State_STATE_SUSPECT:
		return Suspect
	case m.in.Leaving:
		return Leaving
	}
	return Alive
}

// update returns an update about the member. With full, it includes the addresses and place.
func (m *member) update(full bool) *wire.News {
	n := &wire.News{
		Id: m.in.ID, Incarnation: m.in.Incarnation, Refutation: m.refutation,
		State: m.state, Leaving: m.in.Leaving,
	}
	if full {
		n.Address, n.Callers, n.Operators = m.in.PeerAddress, m.in.CallersAddress, m.in.OperatorsAddress
		n.Place, n.Domain, n.Region = m.in.Place, m.in.Domain, m.in.Region
	}
	return n
}

func instanceOf(n *wire.News) docstore.Instance {
	return docstore.Instance{
		ID: n.GetId(), Incarnation: n.GetIncarnation(), Leaving: n.GetLeaving(),
		PeerAddress: n.GetAddress(), CallersAddress: n.GetCallers(), OperatorsAddress: n.GetOperators(),
		Place: n.GetPlace(), Domain: n.GetDomain(), Region: n.GetRegion(),
	}
}
