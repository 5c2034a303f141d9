package core

import (
	"time"

	"github.com/firlever/firlever/internal/health"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/retry"
	"github.com/firlever/firlever/internal/shift"
	"github.com/firlever/firlever/pkg/settings"
)

// serviceState is the state of one service, kept across snapshots.
type serviceState struct {
	ramp    *shift.Ramp
	health  *health.Tracker[owner.TargetKey] // of the service's targets in this place
	budget  *retry.Budget
	shares  map[owner.TargetKey]shift.Share // each target's share of the shift cap
	limits  map[owner.TargetKey]int         // each target's allowance
	keys    []owner.TargetKey               // the place's targets, in the document's order
	version uint64                          // version of the service's document

	constraints map[owner.TargetKey]*constraint // of targets that have announced any
}

// newService creates the state of a service. The configurations are constant and valid,
// so their errors can't happen.
func (n *Node) newService(now time.Time) *serviceState {
	s := &serviceState{constraints: make(map[owner.TargetKey]*constraint)}
	s.ramp, _ = shift.New(shift.Config{Counter: n.cfg.Checks})
	s.health, _ = health.New(health.Config{}, compareTargets, n.cfg.Rand)
	s.budget, _ = retry.NewBudget(now, retry.Config{})
	return s
}

// state returns the state of a service, and creates it if necessary.
func (n *Node) state(now time.Time, id settings.ServiceID) *serviceState {
	s, ok := n.services[id]
	if !ok {
		s = n.newService(now)
		n.services[id] = s
	}
	return s
}

// update applies the service's targets of a new snapshot.
func (s *serviceState) update(c *settings.CompiledService, site settings.Site, rev uint64) {
	allowances := owner.Allowances(site)
	shares := shift.Divide(c.Shift(), allowances)
	s.version = rev
	old := s.limits
	s.keys = s.keys[:0]
	s.shares = make(map[owner.TargetKey]shift.Share, len(shares))
	s.limits = make(map[owner.TargetKey]int, len(shares))
	for i, t := range site.Targets {
		key := owner.TargetKey{Service: c.ID(), Name: t.Name}
		s.keys = append(s.keys, key)
		s.shares[key] = shares[i]
		s.limits[key] = allowances[i]
	}
	for key := range old {
		if _, ok := s.limits[key]; !ok {
			s.health.Remove(key)
			delete(s.constraints, key)
		}
	}
}

// updateCap gives the ramp the cap shares of the targets that this instance may use now.
// A previous owner whose lease has expired keeps the lower part of a share, and the new
// owner gets the upper part.
func (n *Node) updateCap(now time.Time, s *serviceState) {
	expired := n.owners.LeaseState(now) == owner.LeaseExpired
	shares := make([]shift.Share, 0, len(s.keys))
	for _, key := range s.keys {
		usable, limit := n.owners.UsableSlots(now, key), s.limits[key]
		s.health.SetOwned(key, usable > 0 || n.baseline())
		if usable == 0 || limit == 0 {
			continue
		}
		if expired {
			shares = append(shares, s.shares[key].Lower(usable, limit))
		} else {
			shares = append(shares, s.shares[key].Upper(limit-usable, limit))
		}
	}
	s.ramp.SetCap(now, shift.Cap{Version: s.version, Shares: shares})
}

// ownSlots returns how many slots of a service this instance may use now, including used
// ones.
func (n *Node) ownSlots(now time.Time, id settings.ServiceID) int {
	total := 0
	for _, key := range n.state(now, id).keys {
		total += n.owners.UsableSlots(now, key)
	}
	return total
}
