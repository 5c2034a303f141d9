package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Names of the gauges of an instance on the users' platform, below the prefix.
const (
	nameReady         = "ready"             // 1 if the instance can serve
	nameVersion       = "config_version"    // of the configuration in force
	nameRevision      = "store_revision"    // up to which changes are known, within its epoch
	nameEpoch         = "store_epoch"       // how often the store has come back from a copy of itself
	nameStoreAge      = "store_age_seconds" // since the store confirmed that
	nameInstances     = "instances"         // that are registered
	nameConnections   = "connections"       // of callers that are open
	nameOverloadShare = "overload_share"    // of new requests that is refused, as the process has too much to do
	nameTargets       = "targets"           // by service: registered
	nameUsableTargets = "targets_usable"    // by service: neither leaving, evacuated, ejected nor at rest
)

const (
	// nameQuotaRequests counts requests for which a token of a workspace's quota was asked: workspace, outcome.
	nameQuotaRequests = "quota_requests"
	// maxWorkspaces bounds the workspaces that have a counter of their own; the others
	// share one. 5,000 of them would be 2 MB of text each time.
	maxWorkspaces    = 200
	otherWorkspaces  = "other"
	outcomeAllowed   = "allowed"
	outcomeOverQuota = "over-quota"
)

// Edge is what the gauges of an instance on the users' platform show.
type Edge struct {
	Ready       bool
	Version     uint64
	Revision    uint64
	Epoch       uint64
	StoreAge    time.Duration
	Instances   int
	Connections int
	Refusing    float64 // 0 to 1
	Services    []EdgeService
}

// EdgeService is what they show of a service.
type EdgeService struct {
	Name    string
	Targets int
	Usable  int
}

// ShowEdge sets the gauges.
func (s *Set) ShowEdge(e Edge) {
	if s == nil {
		return
	}
	for name, value := range map[string]float64{
		nameReady: asFloat(e.Ready), nameVersion: float64(e.Version), nameRevision: float64(e.Revision), nameEpoch: float64(e.Epoch),
		nameStoreAge: e.StoreAge.Seconds(), nameInstances: float64(e.Instances), nameConnections: float64(e.Connections),
		nameOverloadShare: e.Refusing,
	} {
		s.scope.Gauge(name).Update(value)
	}
	for _, v := range e.Services {
		scope := s.scope.Tagged(map[string]string{"service": v.Name})
		scope.Gauge(nameTargets).Update(float64(v.Targets))
		scope.Gauge(nameUsableTargets).Update(float64(v.Usable))
	}
}

// Asked counts a request for which a token of its workspace's quota was asked.
func (s *Set) Asked(workspace string, allowed bool) {
	if s == nil {
		return
	}
	s.mu.Lock()
	c, ok := s.quotaByWorkspace[workspace]
	if !ok {
		if len(s.quotaByWorkspace) >= maxWorkspaces {
			workspace = otherWorkspaces
		}
		c = s.newQuotaCounters(workspace)
		s.quotaByWorkspace[workspace] = c
	}
	s.mu.Unlock()
	if allowed {
		c.allowed.Inc(1)
	} else {
		c.refused.Inc(1)
	}
}

// quotaCounters count the requests of a workspace.
type quotaCounters struct{ allowed, refused tally.Counter }

// newQuotaCounters makes the newQuotaCounters of a workspace.
func (s *Set) newQuotaCounters(workspace string) quotaCounters {
	counter := func(outcome string) tally.Counter {
		return s.scope.Tagged(map[string]string{"workspace": workspace, "outcome": outcome}).Counter(nameQuotaRequests)
	}
	return quotaCounters{allowed: counter(outcomeAllowed), refused: counter(outcomeOverQuota)}
}
