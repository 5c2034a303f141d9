package metrics

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// Names of the gauges of an instance on the users' platform, without the prefix.
const (
	namePartitioned   = "partitioned"       // 1 if the instance reaches no target, else 0
	nameReady         = "ready"             // 1 if the instance can serve, else 0
	nameVersion       = "config_version"    // of the configuration in force
	nameRevision      = "store_revision"    // latest known revision of the store, within its epoch
	nameEpoch         = "store_epoch"       // number of times that the store was restored from a snapshot
	nameStoreAge      = "store_age_seconds" // time since the store last confirmed that revision
	nameInstances     = "instances"         // registered instances
	nameConnections   = "connections"       // open connections of callers
	nameAccepted      = "accepted"          // open connections of all ports
	nameAcceptedLimit = "accepted_limit"    // upper bound of accepted, beside the reserves of the ports
	nameBodyBytes     = "body_bytes"        // held for callers and targets
	nameBodyLimit     = "body_bytes_limit"  // upper bound of body_bytes
	nameOverloadShare = "overload_share"    // fraction of new requests refused because the process is overloaded
	nameStoredTargets = "targets_stored"    // registrations in the store, as last known
	nameKeptItems     = "items_kept"        // in use although the store lacks them or has an older state
	nameHiddenItems   = "items_hidden"      // in the store and not in use, as they had been removed before
	nameRedundant     = "changes_redundant" // of the store since the start that were not applied
	nameTargets       = "targets"           // by service: registered targets
	nameUsableTargets = "targets_usable"    // by service: targets that are neither leaving, evacuated, ejected nor backing off
	nameKeptObjects   = "kept_objects"      // by service: objects that each target keeps warm; not set before it is known
	nameKeptRoom      = "kept_room"         // by service: objects of this region that all targets keep
	nameKeptNeeded    = "kept_needed"       // by service: objects that they would have to keep so that each object has all its homes
)

// Names of the gauges of the plan of a service's homes.
const (
	namePlacedObjects    = "placement_objects"      // with known work
	nameDisplacedObjects = "placement_displaced"    // not at the target that their hash alone gives
	namePlacementMoves   = "placement_moves"        // of objects since the start of the process
	namePlacementWork    = "placement_work_slots"   // slots that the region's objects keep busy if warm
	namePlacementHighest = "placement_load_highest" // greatest planned load of a target as a multiple of its bound
)

// nameAdmittedShare is a gauge of the share of the requests for a service that is admitted: service,
// priority.
const nameAdmittedShare = "admitted_share"

// Names of the gauges of a bound over all instances, with labels bound and service. Those of quotas
// are in tokens per second, of all workspaces together.
const (
	nameBoundShare = "bound_share" // what this instance may use
	nameBoundUsed  = "bound_used"  // what it has used within the window of the bound
	nameBoundLent  = "bound_lent"  // what others use of its share
	nameBoundLost  = "bound_lost"  // shares of instances that count although their records are gone
)

const (
	// nameQuotaRequests is a counter of requests for which a token of a workspace's quota was
	// requested: workspace, outcome.
	nameQuotaRequests = "quota_requests"
	// maxWorkspaces is the maximum number of workspaces with counters of their own; the
	// others share one. Counters of 5,000 workspaces would add 2 MB to each scrape.
	maxWorkspaces    = 200
	otherWorkspaces  = "other"
	outcomeAllowed   = "allowed"
	outcomeOverQuota = "over-quota"
)

// EdgeGauges holds the values of the gauges of an instance on the users' platform.
type EdgeGauges struct {
	Ready            bool
	Partitioned      bool
	ConfigVersion    uint64
	Revision         uint64
	Epoch            uint64
	StoreAge         time.Duration
	Instances        int
	Connections      int
	Accepted         int
	AcceptedLimit    int
	BodyBytes        int64   // bytes of bodies that are held for callers and targets
	BodyLimit        int64   // upper bound of BodyBytes
	OverloadShare    float64 // fraction of new requests that are refused, 0 to 1
	TargetsStored    int     // registrations in the store
	ItemsKept        int     // in use although the store lacks them or has an older state
	ItemsHidden      int     // in the store and not in use
	RedundantDropped int64   // changes of the store that were not applied
	Services         []EdgeService
	Bounds           []Bound
}

// Bound holds the values of the gauges of a bound over all instances.
type Bound struct {
	Name    string
	Service string // "" if the bound is on no service
	Share   float64
	Used    float64
	Lent    float64
	Lost    float64
}

// EdgeService holds the values of a service's gauges.
type EdgeService struct {
	Name      string
	Targets   int
	Usable    int
	Kept      int // objects that each target keeps warm; 0 if not known
	Room      int // objects of this region that all targets keep
	Needed    int // objects that they would have to keep so that each has all its homes
	Placement Placement
	Admitted  map[int]float64 // by priority, the share of the requests that is admitted, 0 to 1
}

// Placement holds the values of the gauges of the plan of a service's homes.
type Placement struct {
	Objects   int
	Displaced int
	Moves     uint64
	Work      float64
	Highest   float64
}

// SetEdgeGauges sets the gauges of an instance on the users' platform.
func (s *Set) SetEdgeGauges(e EdgeGauges) {
	if s == nil {
		return
	}
	for name, value := range map[string]float64{
		nameReady: asFloat(e.Ready), namePartitioned: asFloat(e.Partitioned), nameVersion: float64(e.ConfigVersion), nameRevision: float64(e.Revision), nameEpoch: float64(e.Epoch),
		nameStoreAge: e.StoreAge.Seconds(), nameInstances: float64(e.Instances), nameConnections: float64(e.Connections), nameAccepted: float64(e.Accepted), nameAcceptedLimit: float64(e.AcceptedLimit),
		nameBodyBytes: float64(e.BodyBytes), nameBodyLimit: float64(e.BodyLimit),
		nameOverloadShare: e.OverloadShare, nameStoredTargets: float64(e.TargetsStored), nameKeptItems: float64(e.ItemsKept),
		nameHiddenItems: float64(e.ItemsHidden), nameRedundant: float64(e.RedundantDropped),
	} {
		s.scope.Gauge(name).Update(value)
	}
	for _, v := range e.Services {
		scope := s.scope.Tagged(map[string]string{"service": v.Name})
		scope.Gauge(nameTargets).Update(float64(v.Targets))
		scope.Gauge(nameUsableTargets).Update(float64(v.Usable))
		if v.Kept > 0 {
			scope.Gauge(nameKeptObjects).Update(float64(v.Kept))
			scope.Gauge(nameKeptRoom).Update(float64(v.Room))
			scope.Gauge(nameKeptNeeded).Update(float64(v.Needed))
		}
		if p := v.Placement; p.Objects > 0 {
			scope.Gauge(namePlacedObjects).Update(float64(p.Objects))
			scope.Gauge(nameDisplacedObjects).Update(float64(p.Displaced))
			scope.Gauge(namePlacementMoves).Update(float64(p.Moves))
			scope.Gauge(namePlacementWork).Update(p.Work)
			scope.Gauge(namePlacementHighest).Update(p.Highest)
		}
		for priority, share := range v.Admitted {
			scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)}).Gauge(nameAdmittedShare).Update(share)
		}
	}
	for _, b := range e.Bounds {
		scope := s.scope.Tagged(map[string]string{"bound": b.Name, "service": b.Service})
		scope.Gauge(nameBoundShare).Update(b.Share)
		scope.Gauge(nameBoundUsed).Update(b.Used)
		scope.Gauge(nameBoundLent).Update(b.Lent)
		scope.Gauge(nameBoundLost).Update(b.Lost)
	}
}

// CountQuotaRequest counts a request for which a token of its workspace's quota was requested.
func (s *Set) CountQuotaRequest(workspace string, allowed bool) {
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

// newQuotaCounters returns the counters of a workspace.
func (s *Set) newQuotaCounters(workspace string) quotaCounters {
	counter := func(outcome string) tally.Counter {
		return s.scope.Tagged(map[string]string{"workspace": workspace, "outcome": outcome}).Counter(nameQuotaRequests)
	}
	return quotaCounters{allowed: counter(outcomeAllowed), refused: counter(outcomeOverQuota)}
}
