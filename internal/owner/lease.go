package owner

import (
	"maps"
	"time"

	"github.com/juju/errors"
)

// LeaseState is the state of an instance's ownership lease. It determines how much
// the instance may use of the targets that it owns.
type LeaseState int

// States of the ownership lease.
const (
	LeaseNone      LeaseState = iota // the newest roster has no entry of this instance: it may only finish requests in flight
	LeaseExpired                     // nothing confirms that the entry is still in the roster: half of each allowance
	LeaseConfirmed                   // the entry is confirmed: all of each allowance
)

func (s LeaseState) String() string {
	switch s {
	case LeaseConfirmed:
		return "confirmed"
	case LeaseExpired:
		return "lapsed"
	default:
		return "none"
	}
}

// peer is the cached state of another instance of the place.
type peer struct {
	incarnation    uint64
	rosterVersion  uint64    // newest roster version that it is known to have
	leaseUntil     time.Time // end of the lease that its last ack extends
	keepUntil      time.Time // this instance's last ack forbids removing it before then
	removing       bool      // a write that removes it may be in flight: send it no ack
	release        Release   // newest
	releaseAt      time.Time // when release arrived
	hasRelease     bool
	prevRelease    Release   // newest one under a roster that was known here when release arrived, if release is under a newer one
	prevReleaseAt  time.Time // when prevRelease arrived
	hasPrevRelease bool
}

// process is one incarnation of an instance.
type process struct {
	instance    string
	incarnation uint64
}

// findPeer returns the state kept of an incarnation that may have ended, or nil.
// What it reported about its requests in flight stays valid after its end.
func (t *Table) findPeer(instance string, incarnation uint64) *peer {
	if p, ok := t.peers[instance]; ok && p.incarnation == incarnation {
		return p
	}
	return t.previous[process{instance, incarnation}]
}

// prunePrevious drops the state of ended incarnations without an entry in the roster.
func (t *Table) prunePrevious() {
	inRoster := make(map[process]bool)
	for _, s := range t.roster.spans() {
		inRoster[process{s.Instance, s.Incarnation}] = true
	}
	maps.DeleteFunc(t.previous, func(p process, _ *peer) bool { return !inRoster[p] })
}

// peer returns the state kept for an incarnation, creating it if there is none,
// or nil if a newer incarnation is known.
func (t *Table) peer(instance string, incarnation uint64) *peer {
	p, ok := t.peers[instance]
	if ok && p.incarnation > incarnation {
		return nil
	}
	if !ok || p.incarnation < incarnation {
		if ok && p.hasRelease {
			t.previous[process{instance, p.incarnation}] = p
		}
		p = &peer{incarnation: incarnation}
		t.peers[instance] = p
	}
	return p
}

// Confirm records that the platform answered a read, sent at the given time,
// with this roster version. If the roster is newer, pass it to SetRoster first.
func (t *Table) Confirm(sent time.Time, version uint64) {
	if t.own.Instance == "" || version < t.own.Since || version > t.roster.Version {
		return
	}
	t.platformUntil = later(t.platformUntil, sent.Add(t.cfg.Term))
}

// RecordAck records a peer's ack of a heartbeat that was sent at the given time;
// version is the peer's roster version. The ack commits the peer not to remove
// this instance before Term after that time.
func (t *Table) RecordAck(peer string, incarnation uint64, sent time.Time, version uint64) {
	p := t.peer(peer, incarnation)
	if p == nil {
		return
	}
	t.markAlive(sent, peer, incarnation)
	p.rosterVersion = max(p.rosterVersion, version)
	p.leaseUntil = later(p.leaseUntil, sent.Add(t.cfg.Term))
}

// MayAck decides whether to ack a heartbeat of a peer that has the given roster
// version, and records the commitment that the ack makes. If it returns false,
// no ack may be sent.
func (t *Table) MayAck(now time.Time, peer string, incarnation, version uint64) bool {
	t.observeIncarnation(now, peer, incarnation)
	p := t.peer(peer, incarnation)
	if p == nil {
		return false
	}
	t.markAlive(now, peer, incarnation)
	p.rosterVersion = max(p.rosterVersion, version)
	m, ok := t.roster.Member(peer)
	if !ok || m.Incarnation != incarnation || p.removing {
		return false
	}
	p.keepUntil = now.Add(t.withSkew(t.cfg.Term))
	return true
}

// LeaseState returns the state of the ownership lease at now.
func (t *Table) LeaseState(now time.Time) LeaseState {
	switch {
	case t.own.Instance == "":
		return LeaseNone
	case now.Before(t.platformUntil), t.acked(now):
		return LeaseConfirmed
	default:
		return LeaseExpired
	}
}

// acked reports whether the last ack of every other member is still valid.
func (t *Table) acked(now time.Time) bool {
	for _, m := range t.roster.Members {
		if m.Instance == t.own.Instance {
			continue
		}
		p, ok := t.peers[m.Instance]
		if !ok || p.incarnation != m.Incarnation || !now.Before(p.leaseUntil) {
			return false
		}
	}
	return true
}

// Removable reports whether this instance may write a roster without the peer.
// This instance's last ack to the peer must have expired, and the peer must have
// a roster in which it needs this instance's ack or is no longer listed; or a
// newer incarnation proves that the peer has ended.
func (t *Table) Removable(now time.Time, peer string) bool {
	m, ok := t.roster.Member(peer)
	if !ok || t.own.Instance == "" || peer == t.own.Instance {
		return false
	}
	e, ended := t.ended[peer]
	ended = ended && e.incarnation >= m.Incarnation
	if ended && !e.listed {
		return true
	}
	p := t.peer(peer, m.Incarnation)
	if p == nil || now.Before(p.keepUntil) {
		return false
	}
	return ended || m.Since > t.own.Since || p.rosterVersion >= t.own.Since
}

// Remove returns the roster without the peer, to be written at once. From now
// on the peer gets no ack until a newer roster still lists it or the removal is
// abandoned.
func (t *Table) Remove(now time.Time, peer string) (Roster, error) {
	if !t.Removable(now, peer) {
		return Roster{}, &NotRemovableError{Instance: peer}
	}
	m, _ := t.roster.Member(peer)
	next, err := t.roster.Remove(peer, m.Incarnation, t.finished(now, m))
	if err != nil {
		return Roster{}, errors.Annotate(err, "Book.Remove")
	}
	if p := t.peer(peer, m.Incarnation); p != nil {
		p.removing = true
	}
	return next, nil
}

// RemovalPending reports whether a write that removes the peer may still take effect.
// Until a newer roster is known, the peer gets no ack.
func (t *Table) RemovalPending(peer string) bool {
	p, ok := t.peers[peer]
	return ok && p.removing
}

// AbandonRemoval records that the write begun by Remove is proved not to have been
// sent. A write with an uncertain outcome may still take effect and must not be
// abandoned.
func (t *Table) AbandonRemoval(peer string) {
	if p, ok := t.peers[peer]; ok {
		p.removing = false
	}
}

// NotRemovableError reports that a peer may not be removed yet.
type NotRemovableError struct{ Instance string }

func (e *NotRemovableError) Error() string { return "owner: may not remove " + e.Instance + " yet" }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
