// Package routes holds the operators' configuration of requests: the service that a request goes
// to by its host and path, and how the request may be handled.
package routes

import (
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Kind is how the requests of a route may be handled.
type Kind int

// Values of Kind. A bulk request is idempotent and has a large answer.
const (
	NonIdempotent Kind = iota
	Idempotent
	Bulk
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k != NonIdempotent }

// String returns the name of the kind for log lines.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Bulk:
		return "bulk"
	default:
		return "non-idempotent"
	}
}

// Config is one complete version of the configuration.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace // if empty, requests need no key
	Limits     Limits
}

// Route is the configuration of the requests of a host whose paths begin with a prefix.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration     // maximum time that a caller waits; 0: until its deadline
	Objective time.Duration     // latency within which an answer is worth most
	Attempts  int               // maximum number of targets that one request may be sent to
	Priority  int               // 0 is served first
	Split     []WeightedService // services by weight; at least one
	Affinity  bool              // whether a target that recently served the same object is faster
	Regions   Regions           // where requests may be served
	Open      bool              // whether requests need no key
}

// WeightedService is one service of a route.
type WeightedService struct {
	Service string
	Weight  float64 // share of the requests, relative to the sum of the weights
}

// Workspace is the configuration of the callers that hold certain API keys.
type Workspace struct {
	Name     string
	Keys     []string // API keys of its callers; each belongs to one workspace
	Priority *int     // overrides the priority of the route; nil: the route's applies
	Rate     float64  // requests per second over all instances; 0: no limit
	Burst    float64  // requests allowed on top of the rate
	Regions  Regions  // where its requests may be served
}

// Service is the configuration that all targets of a service share.
type Service struct {
	Name       string
	HealthPath string        // path of the targets' health check; "" if not set
	MaxConns   int           // connections that a target accepts from all instances; 0: not set
	Warmup     time.Duration // how long a target stays cold after a start
	ColdRate   float64       // requests per second that a cold target can serve
}

// Limits are the limits of what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // of a connection without requests
}

// Defaults of Limits, used until a configuration is loaded. They are the defaults of net/http's
// server or what its documentation recommends.
const (
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Defaults sets every field that is zero to its default.
func (l *Limits) Defaults() {
	orDefault(&l.HeaderBytes, defaultHeaderBytes)
	orDefault(&l.BodyBytes, defaultBodyBytes)
	orDefault(&l.HeaderTimeout, defaultHeaderTimeout)
	orDefault(&l.IdleTimeout, defaultIdleTimeout)
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// WorkspaceError lists the faults of the workspaces and regions of a configuration. It never
// contains a key.
type WorkspaceError struct{ Faults []string }

func (e *WorkspaceError) Error() string { return "routes: " + strings.Join(e.Faults, "; ") }

// Validate returns a *WorkspaceError that lists every fault, or nil. Faults are a workspace that
// is defined twice, a key of two workspaces, a negative rate or burst, and a region that the
// deployment does not have.
func (c *Config) Validate(deployed Regions) error {
	var faults []string
	holders := make(map[string]string)
	names := make(map[string]bool)
	for _, w := range c.Workspaces {
		if names[w.Name] {
			faults = append(faults, "workspace "+w.Name+" is defined twice")
		}
		names[w.Name] = true
		if w.Rate < 0 || w.Burst < 0 {
			faults = append(faults, fmt.Sprintf("workspace %s: rate %g or burst %g is negative", w.Name, w.Rate, w.Burst))
		}
		for _, key := range w.Keys {
			if other, taken := holders[key]; taken && other != w.Name {
				faults = append(faults, "workspaces "+other+" and "+w.Name+" hold the same key")
			}
			holders[key] = w.Name
		}
		faults = append(faults, unknownRegions("workspace "+w.Name, w.Regions, deployed)...)
	}
	for _, r := range c.Routes {
		faults = append(faults, unknownRegions("route "+r.Name, r.Regions, deployed)...)
	}
	if faults == nil {
		return nil
	}
	return errors.Trace(&WorkspaceError{Faults: faults})
}

// unknownRegions returns a fault for each region that the deployment does not have.
func unknownRegions(owner string, regions, deployed Regions) []string {
	var faults []string
	for _, region := range regions {
		if !deployed.Allows(region) {
			faults = append(faults, owner+": region "+region+" is not known")
		}
	}
	return faults
}
