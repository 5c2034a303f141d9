package metrics

import "time"

// Names of the gauges of an instance on the users' platform, below the prefix.
const (
	nameReady       = "ready"             // 1 if the instance can serve
	nameVersion     = "config_version"    // of the configuration in force
	nameRevision    = "store_revision"    // up to which changes are known
	nameStoreAge    = "store_age_seconds" // since the store confirmed that
	nameInstances   = "instances"         // that are registered
	nameConnections = "connections"       // of callers that are open
	nameTargets     = "targets"           // by service: registered
	nameUsable      = "targets_usable"    // by service: neither leaving, evacuated nor ejected
)

// Edge is what the gauges of an instance on the users' platform show.
type Edge struct {
	Ready       bool
	Version     uint64
	Revision    uint64
	StoreAge    time.Duration
	Instances   int
	Connections int
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
		nameReady: asFloat(e.Ready), nameVersion: float64(e.Version), nameRevision: float64(e.Revision),
		nameStoreAge: e.StoreAge.Seconds(), nameInstances: float64(e.Instances), nameConnections: float64(e.Connections),
	} {
		s.scope.Gauge(name).Update(value)
	}
	for _, v := range e.Services {
		scope := s.scope.Tagged(map[string]string{"service": v.Name})
		scope.Gauge(nameTargets).Update(float64(v.Targets))
		scope.Gauge(nameUsable).Update(float64(v.Usable))
	}
}
