package core

import (
	"maps"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/owner"
)

// rosterState is how the node tends its place's roster.
type rosterState struct {
	read       bool      // the platform has given the roster at least once
	nextChange time.Time // no change is asked for before
	leaving    bool      // this instance is in a planned stop
	pruneAt    time.Time // this instance's turn to forget former lines; zero if there are none
}

// swapEvery spaces this instance's tries to change the roster.
const swapEvery = 500 * time.Millisecond

// rosterRead takes in the platform's own copy, which confirms this instance's rights.
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
		clear(n.peerSlots) // said of what each owned before
		n.updateCaps(now)
		n.serveQueue(now)
	}
}

// Roster is the newest roster that this instance knows.
func (n *Node) Roster() owner.Roster { return n.owners.Roster() }

// MayAck says whether this instance may ack a peer's heartbeat: the ack is a
// promise not to take the peer's targets for a term.
func (n *Node) MayAck(now time.Time, peer string, incarnation, version uint64) bool {
	return n.owners.MayAck(now, peer, incarnation, version)
}

// Release is what this instance still holds of targets that it does not own.
func (n *Node) Release() owner.Release { return n.owners.Release() }

// Confirmed says whether this instance's rights to its targets are confirmed.
func (n *Node) Confirmed(now time.Time) bool { return n.owners.Tenure(now) == owner.Confirmed }

// maintainRoster asks for the next change that the roster needs.
func (n *Node) maintainRoster(now time.Time) {
	if !n.roster.read || now.Before(n.roster.nextChange) {
		return
	}
	if n.roster.leaving || n.drained() || n.rejoining() {
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

// prunePrevious forgets former lines that are proved to hold nothing. They cost no
// capacity, so the members take turns: one write is enough for all.
func (n *Node) prunePrevious(now time.Time, r owner.Roster) {
	lines := n.owners.Forgettable(now)
	if len(lines) == 0 {
		n.roster.pruneAt = time.Time{}
		return
	}
	if n.roster.pruneAt.IsZero() {
		turn := slices.IndexFunc(r.Members, func(m owner.Member) bool { return m.Instance == n.cfg.Instance })
		n.roster.pruneAt = now.Add(time.Duration(turn) * swapEvery)
	}
	if !now.Before(n.roster.pruneAt) {
		n.roster.pruneAt = time.Time{}
		n.swap(now, SwapRoster{Next: r.Forget(lines), Reason: ReasonTidy})
	}
}

// drained says whether the settings take this instance out of service.
func (n *Node) drained() bool {
	return n.snapshot != nil && n.snapshot.InstanceDrained(n.cfg.Instance)
}

// rejoining says whether this instance is to own targets again, and its line
// still says that it leaves: it joins anew when that line is gone.
func (n *Node) rejoining() bool {
	m, ok := n.owners.Roster().Member(n.cfg.Instance)
	return ok && m.Incarnation == n.cfg.Incarnation && m.Leaving()
}

// leaveRoster marks this instance's line as leaving, and removes it when nothing
// is in flight any more.
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

// supersedeRemoval writes the roster anew, unchanged, when a removal whose answer
// was lost still keeps this instance from acking a live peer: one of both writes
// lands, and the other can't any more.
func (n *Node) supersedeRemoval(now time.Time, r owner.Roster) bool {
	for _, m := range r.Members {
		if p, ok := n.peer(m.Instance); ok && p.Incarnation == m.Incarnation && n.owners.Undecided(m.Instance) {
			n.swap(now, SwapRoster{Next: r.Forget(nil), Reason: ReasonTidy})
			return true
		}
	}
	return false
}

// dead says whether a roster member has been silent for longer than a term.
func (n *Node) dead(now time.Time, m owner.Member) bool {
	s := n.lastSeen[m.Instance]
	if s.incarnation < m.Incarnation {
		// It has only just joined: nobody may have told of it yet.
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

// lastSeen is when an incarnation was last known to live.
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

// stop begins a planned stop: others take this instance's targets over as its
// work ends. Keys that callers have got with a look-up are good until it runs out.
func (n *Node) stop(now time.Time) {
	n.stopping = true
	n.roster.leaving = true
	n.keysCloseAt = now.Add(n.cfg.Cache)
	n.maintainRoster(now)
}

// closeKeys begins no keyed request any more once the keys have run out that
// were given before the planned stop.
func (n *Node) closeKeys(now time.Time) {
	if n.stopping && !now.Before(n.keysCloseAt) {
		n.once.Close()
	}
}

// Idle says whether no request is inside this instance, and its line has left
// the roster. The line of an earlier incarnation is not its own.
func (n *Node) Idle() bool {
	m, ok := n.owners.Roster().Member(n.cfg.Instance)
	return len(n.requests) == 0 && (!ok || m.Incarnation != n.cfg.Incarnation)
}

// Open is how many requests are inside this instance.
func (n *Node) Open() int { return len(n.requests) }

// peersChanged takes in the membership's list.
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

// listed takes in the platform's list of instances.
func (n *Node) listed(now time.Time, ev Listed) {
	list := make([]owner.Listing, 0, len(ev.Instances))
	for _, in := range ev.Instances {
		list = append(list, owner.Listing{Instance: in.ID, Incarnation: in.Incarnation})
	}
	n.owners.Listed(now, ev.Sent, ev.Epoch, list)
}
