// Package neighbor decides which instances count as dead around an outage of the store. Leases may pause
// while the store is down, so that a dead instance keeps its record for up to a lease after the outage. Each
// instance therefore checks its neighbors from its first failed renewal until a lease after the outage. After
// it, the records of those that can't be reached are marked as unconfirmed, and an owner that is alive writes
// its record again.
//
// The package does no input or output and is not safe for concurrent use.
package neighbor

import "time"

// Record identifies what an instance has registered.
type Record struct {
	Run         int64 // of the instance's process
	Change      int   // number of the record within the run
	Unconfirmed bool  // another instance has marked the record
}

// Instance is another instance.
type Instance struct {
	Name   string
	Record Record
}

// Unreachable is an instance that failed several checks in a row.
type Unreachable struct {
	Instance

	Misses int    // failed checks in a row
	Result Result // of the last check
	Rank   int    // how many other instances mark its record before this one
}

// Begins reports whether the instance was still taken for reachable in the round before.
func (u Unreachable) Begins() bool { return u.Misses == unreachableMisses }

const (
	// liveNeighbors is the number of live neighbors that an instance looks for, and so the number of
	// instances that check a dead one.
	liveNeighbors = 3
	// maxChecks bounds the checks of a round, as many instances may be dead.
	maxChecks = 16
	// unreachableMisses allows for one lost packet.
	unreachableMisses = 2
	// RoundInterval is the time between two rounds of checks.
	RoundInterval = 500 * time.Millisecond
)

// Monitor holds what one instance has found out about its neighbors during and after an outage.
type Monitor struct {
	lease time.Duration

	lost    bool              // the store is down, as far as this instance knows
	backAt  time.Time         // when the last outage ended; zero during an outage and before the first
	seen    map[string]Record // as first seen in this outage, by instance
	misses  map[string]int    // failed checks in a row in this outage, by instance
	settled map[string]bool   // instances whose records need no mark in this outage
}

// New returns a monitor for an instance whose lease has a duration.
func New(lease time.Duration) *Monitor { return &Monitor{lease: lease} }

// StoreLost records the begin of an outage, and forgets the last one.
func (m *Monitor) StoreLost() {
	m.lost, m.backAt = true, time.Time{}
	m.seen, m.misses, m.settled = make(map[string]Record), make(map[string]int), make(map[string]bool)
}

// StoreBack records the end of an outage.
func (m *Monitor) StoreBack(now time.Time) { m.lost, m.backAt = false, now }

// BackAt returns when the last outage ended; zero during an outage and before the first.
func (m *Monitor) BackAt() time.Time { return m.backAt }

// Due reports whether neighbors are to be checked: during an outage, and until the leases have ended that
// paused in it.
func (m *Monitor) Due(now time.Time) bool {
	return m.lost || !m.backAt.IsZero() && now.Before(m.backAt.Add(m.lease))
}

// confirmed reports whether the owner of a record has written it since it was first seen in this outage.
func (m *Monitor) confirmed(i Instance) bool {
	first, ok := m.seen[i.Name]
	if !ok {
		m.seen[i.Name] = i.Record
		return false
	}
	return !i.Record.Unconfirmed && i.Record != first
}

// Marks returns those of the unreachable instances whose records are to be marked now: none during an
// outage, and each only after those that rank before this instance have had time to mark it.
func (m *Monitor) Marks(now time.Time, list []Unreachable) []Unreachable {
	if m.backAt.IsZero() {
		return nil
	}
	var due []Unreachable
	for _, u := range list {
		if u.Record.Unconfirmed {
			m.Settle(u.Name)
		}
		if !m.settled[u.Name] && !now.Before(m.backAt.Add(time.Duration(u.Rank)*RoundInterval)) {
			due = append(due, u)
		}
	}
	return due
}

// Settle records that an instance's record needs no mark any more in this outage.
func (m *Monitor) Settle(name string) { m.settled[name] = true }
