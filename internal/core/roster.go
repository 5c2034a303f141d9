package core

import (
	"maps"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/owner"
)

// rosterState is the state of the maintenance of the place's roster.
type rosterState struct {
	read       bool      // the roster has been read from the platform at least once
	nextChange time.Time // earliest time of the next change
	leaving    bool      // this instance is in a planned stop
	pruneAt    time.Time // when this instance removes previous entries; zero if there are none
}

// swapEvery is the minimum interval between this instance's attempts to change the
// roster.
const swapEvery = 500 * time.Millisecond

// rosterRead processes the platform's own copy, which confirms this instance's lease.
func (n *Node) rosterRead(now time.Time, ev RosterRead) {
	n.roster.read = true
	n.setRoster(now, ev.Roster)
	n.owners.Confirm(ev.Sent, ev.Roster.Version)
	n.maintainRoster(now)
	n.serveQueue(now)
}

func (n *Node) setRoster(now time.Time, r owner.Roster) {
	if n.owners.SetRoster(now, r) && n.snapshot != nil {
		n.probeAt = now
		clear(n.peerSlots) // the reports were based on the previous ownership
		n.updateCaps(now)
		n.serveQueue(now)
	}
}

// Roster returns the newest roster that this instance has received.
func (n *Node) Roster() owner.Roster { return n.owners.Roster() }

// MayAck reports whether this instance may acknowledge a peer's heartbeat. An
// acknowledgement is a promise not to take over the peer's targets for a term.
func (n *Node) MayAck(now time.Time, peer string, incarnation, version uint64) bool {
	return n.owners.MayAck(now, peer, incarnation, version)
}

// Release returns what this instance still holds of targets that it does not own.
func (n *Node) Release() owner.Release { return n.owners.Release() }

// Confirmed reports whether this instance's ownership lease is confirmed.
func (n *Node) Confirmed(now time.Time) bool { return n.owners.LeaseState(now) == owner.LeaseConfirmed }

// maintainRoster requests the next change that the roster needs.
func (n *Node) maintainRoster(now time.Time) {
	if !n.roster.read || now.Before(n.roster.nextChange) {
		return
	}
	if n.roster.leaving || n.drained() || n.yieldsTargets() || n.rejoining() {
		n.leaveRoster(now)
		return
	}
	r := n.owners.Roster()
	if next, err := r.Join(n.cfg.Instance, n.cfg.Incarnation); err == nil {
		n.swap(now, SwapRoster{Next: next, Reason: ReasonJoin})
		return
	}
	if n.removeDead(now, r) || n.supersedeRemoval(now, r) {
		return
	}
	n.prunePrevious(now, r)
}

// prunePrevious removes previous entries that are proved to hold nothing. They cost no
// capacity and one write is enough, so the members take turns.
func (n *Node) prunePrevious(now time.Time, r owner.Roster) {
	entries := n.owners.FinishedPrevious(now)
	if len(entries) == 0 {
		n.roster.pruneAt = time.Time{}
		return
	}
	if n.roster.pruneAt.IsZero() {
		turn := slices.IndexFunc(r.Members, func(m owner.Member) bool { return m.Instance == n.cfg.Instance })
		n.roster.pruneAt = now.Add(time.Duration(turn) * swapEvery)
	}
	if !now.Before(n.roster.pruneAt) {
		n.roster.pruneAt = time.Time{}
		n.swap(now, SwapRoster{Next: r.WithoutPrevious(entries), Reason: ReasonTidy})
	}
}

// drained reports whether the settings take this instance out of service.
func (n *Node) drained() bool {
	return n.snapshot != nil && n.snapshot.InstanceDrained(n.cfg.Instance)
}

// rejoining reports whether this instance is to own targets again while its roster entry
// is still marked as leaving. It joins again once that entry is removed.
func (n *Node) rejoining() bool {
	m, ok := n.owners.Roster().Member(n.cfg.Instance)
	return ok && m.Incarnation == n.cfg.Incarnation && m.Leaving()
}

// leaveRoster marks this instance's entry as leaving, and removes it when nothing is in
// flight any more.
func (n *Node) leaveRoster(now time.Time) {
	r := n.owners.Roster()
	if next, err := r.MarkLeaving(n.cfg.Instance, n.cfg.Incarnation); err == nil {
		n.swap(now, SwapRoster{Next: next, Reason: ReasonLeave})
		return
	}
	if !n.owners.Idle() {
		return
	}
	if next, err := r.Remove(n.cfg.Instance, n.cfg.Incarnation, true); err == nil {
		n.swap(now, SwapRoster{Next: next, Reason: ReasonLeave})
	}
}

func (n *Node) removeDead(now time.Time, r owner.Roster) bool {
	for _, m := range r.Members {
		if !n.dead(now, m) || !n.owners.Removable(now, m.Instance) {
			continue
		}
		next, err := n.owners.Remove(now, m.Instance)
		if err != nil {
			continue
		}
		n.swap(now, SwapRoster{Next: next, Removed: m.Instance, Reason: ReasonDead})
		return true
	}
	return false
}

// supersedeRemoval writes the roster again, unchanged, when a removal with a lost answer
// still keeps this instance from acknowledging a live peer. Only one of the two writes
// can be applied, which rules out the other.
func (n *Node) supersedeRemoval(now time.Time, r owner.Roster) bool {
	for _, m := range r.Members {
		if p, ok := n.peer(m.Instance); ok && p.Incarnation == m.Incarnation && n.owners.RemovalPending(m.Instance) {
			n.swap(now, SwapRoster{Next: r.WithoutPrevious(nil), Reason: ReasonTidy})
			return true
		}
	}
	return false
}

// dead reports whether a roster member has been silent for longer than a term.
func (n *Node) dead(now time.Time, m owner.Member) bool {
	s := n.lastSeen[m.Instance]
	if s.incarnation < m.Incarnation {
		// It has only just joined: no peer may have reported it yet.
		s = lastSeen{incarnation: m.Incarnation, at: now}
		n.lastSeen[m.Instance] = s
	}
	if m.Instance == n.cfg.Instance || now.Before(n.started.Add(n.cfg.Grace)) {
		return false
	}
	if p, ok := n.peer(m.Instance); ok && p.Incarnation == m.Incarnation {
		return false
	}
	return s.incarnation > m.Incarnation || now.Sub(s.at) > n.cfg.Term
}

// lastSeen is when an incarnation was last seen alive.
type lastSeen struct {
	incarnation uint64
	at          time.Time
}

func (n *Node) swap(now time.Time, d SwapRoster) {
	n.roster.nextChange = now.Add(swapEvery + n.jitter(swapEvery))
	n.decide(d)
}

func (n *Node) jitter(most time.Duration) time.Duration {
	return time.Duration(n.cfg.Rand.Int64N(int64(most)))
}

// stop begins a planned stop: other instances take over this instance's targets as its
// work ends. Keys that callers got from a look-up stay valid until the look-up expires.
func (n *Node) stop(now time.Time) {
	n.stopping = true
	n.roster.leaving = true
	n.keysCloseAt = now.Add(n.cfg.Cache)
	n.maintainRoster(now)
}

// closeKeys stops accepting keyed requests once the look-ups that issued keys before the
// planned stop have expired.
func (n *Node) closeKeys(now time.Time) {
	if n.stopping && !now.Before(n.keysCloseAt) {
		n.once.Close()
	}
}

// Idle reports whether this instance has no requests and its entry has left the roster.
// An entry of an earlier incarnation does not count.
func (n *Node) Idle() bool {
	m, ok := n.owners.Roster().Member(n.cfg.Instance)
	return len(n.requests) == 0 && (!ok || m.Incarnation != n.cfg.Incarnation)
}

// InFlight returns the number of requests in this instance.
func (n *Node) InFlight() int { return len(n.requests) }

// peersChanged applies a new list of live peers.
func (n *Node) peersChanged(now time.Time, ev PeersChanged) {
	live := make(map[string]uint64, len(ev.Peers))
	for _, p := range ev.Peers {
		n.lastSeen[p.ID] = lastSeen{incarnation: p.Incarnation, at: now}
		live[p.ID] = p.Incarnation
	}
	for _, p := range n.peers.all {
		if live[p.ID] != p.Incarnation {
			n.holdings.Forget(p.ID)
			delete(n.peerSlots, p.ID)
		}
	}
	for id := range n.peerSlots {
		if _, ok := live[id]; !ok {
			delete(n.peerSlots, id)
		}
	}
	maps.DeleteFunc(n.lookupUntil, func(id string, _ time.Time) bool {
		_, ok := live[id]
		return !ok && id != n.cfg.Instance
	})
	before := n.peers
	n.peers = newPeerList(ev.Peers)
	n.notifyNewPeers(before, n.peers)
	n.serveQueue(now)
}

// listed applies the platform's list of instances.
func (n *Node) listed(now time.Time, ev Listed) {
	list := make([]owner.Listing, 0, len(ev.Instances))
	for _, in := range ev.Instances {
		list = append(list, owner.Listing{Instance: in.ID, Incarnation: in.Incarnation})
	}
	n.owners.RecordList(now, ev.Sent, ev.Epoch, list)
}
