package core

import (
	"time"

	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// TargetStatus is the status of one target, as seen by its owner.
type TargetStatus struct {
	Key            owner.TargetKey
	Address        string
	Owner          string
	Limit          int // share of the service's limit
	Usable         int // slots that this instance may use now; 0 unless it is the owner
	InFlight       int // requests of this instance
	Health         string
	Drained        bool
	AverageLatency time.Duration // average latency of recent answers; 0 before the first
}

// ServiceStatus is the status of one service at this instance.
type ServiceStatus struct {
	Service  settings.ServiceID
	Limit    int // of the service in this place
	Usable   int // slots that this instance may use now
	InFlight int // requests of this instance at its targets
	Free     int // slots that could take a request now
	Shifted  int // shifted requests admitted in this second
	Cap      int // maximum growth of shifted requests per second, over all owners
}

// Status is the state of a node for operators and metrics.
type Status struct {
	Services  []ServiceStatus
	Targets   []TargetStatus
	Queued    int
	InFlight  int
	Peers     int
	Confirmed bool
	Stopping  bool
}

// Status returns the node's current status.
func (n *Node) Status(now time.Time) Status {
	st := Status{
		Queued: n.queue.Len(), InFlight: len(n.requests), Peers: len(n.peers.all),
		Confirmed: n.Confirmed(now), Stopping: n.stopping,
	}
	if n.snapshot == nil {
		return st
	}
	for _, id := range n.snapshot.Services() {
		compiled, _ := n.snapshot.Service(id)
		site, ok := compiled.Site(n.cfg.Place)
		if !ok {
			continue
		}
		targets := n.targetStatus(now, id)
		st.Targets = append(st.Targets, targets...)
		s := ServiceStatus{Service: id, Limit: site.Limit, Cap: compiled.Shift(), Free: n.owners.FreeService(now, id)}
		s.Shifted = n.state(now, id).ramp.Counts(now).Admitted
		for _, t := range targets {
			s.Usable += t.Usable
			s.InFlight += t.InFlight
		}
		st.Services = append(st.Services, s)
	}
	return st
}

func (n *Node) targetStatus(now time.Time, id settings.ServiceID) []TargetStatus {
	s := n.state(now, id)
	list := make([]TargetStatus, 0, len(s.keys))
	for _, key := range s.keys {
		list = append(list, TargetStatus{
			Key: key, Address: n.addresses[key], Owner: n.owners.Owner(key),
			Limit: s.limits[key], Usable: n.owners.UsableSlots(now, key), InFlight: n.owners.InFlight(key),
			Health:         string(s.health.State(now, key)),
			AverageLatency: s.health.Latency(key),
			Drained:        n.snapshot.TargetDrained(id, key.Name) || n.snapshot.PlaceDrained(id, n.cfg.Place),
		})
	}
	return list
}
