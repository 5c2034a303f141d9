// Package routes holds the operators' configuration of requests: which service a
// request goes to by its host and path, and what may be done with it.
package routes

import (
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Kind says what may be done with the requests of a route.
type Kind int

// The kinds. A bulk request is idempotent and has a large answer.
const (
	NonIdempotent Kind = iota
	Idempotent
	Bulk
)

// Repeatable says whether a request may run more than once.
func (k Kind) Repeatable() bool { return k != NonIdempotent }

// String names the kind in log lines.
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

// Config is one version of the configuration, whole.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace // none: requests need no key
	Limits     Limits
}

// Route says what happens to the requests of a host below a prefix.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // longest that a caller is kept waiting; 0: until its deadline
	Objective time.Duration // latency within which an answer is worth most
	Attempts  int           // most targets that one request may be sent to
	Priority  int           // 0 goes first
	Split     []Part        // services by weight; one at least
	Affinity  bool          // a target that lately served the same object is faster
	Regions   Regions       // where requests may be served
	Open      bool          // requests need no key
}

// Part is one service of a route.
type Part struct {
	Service string
	Weight  float64 // share of the requests, over the sum of the weights
}

// Workspace is who the callers with some API keys work for.
type Workspace struct {
	Name     string
	Keys     []string // of its callers; each belongs to one workspace
	Priority *int     // goes before that of the route; nil: the route's holds
	Rate     float64  // requests a second over all instances; 0: no limit
	Burst    float64  // requests besides
	Regions  Regions  // where its requests may be served
}

// Service is what all targets of a service have in common.
type Service struct {
	Name     string
	MaxConns int           // connections that a target takes from all instances; 0 if not said
	Warmup   time.Duration // how long a target stays cold after a start
	ColdRate float64       // requests a second that a cold target bears
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // of a connection without requests
}

// Defaults of Limits, for the time before a configuration is known: what
// net/http's server takes by default or what its documentation recommends.
const (
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Defaults fills what is not set.
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

// WorkspaceError says why the workspaces or regions of a configuration can't be used.
// It never holds a key.
type WorkspaceError struct{ Faults []string }

func (e *WorkspaceError) Error() string { return "routes: " + strings.Join(e.Faults, "; ") }

// Validate returns a *WorkspaceError that names every fault: a key of two workspaces, a
// negative rate, or a region that is not among those of the deployment.
func (c *Config) Validate(known Regions) error {
	var faults []string
	holders := make(map[string]string)
	names := make(map[string]bool)
	for _, w := range c.Workspaces {
		if names[w.Name] {
			faults = append(faults, "workspace "+w.Name+" stands twice")
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
		faults = append(faults, unknownRegions("workspace "+w.Name, w.Regions, known)...)
	}
	for _, r := range c.Routes {
		faults = append(faults, unknownRegions("route "+r.Name, r.Regions, known)...)
	}
	if faults == nil {
		return nil
	}
	return errors.Trace(&WorkspaceError{Faults: faults})
}

// unknownRegions lists the regions of a route or workspace that the deployment doesn't have.
func unknownRegions(owner string, regions, known Regions) []string {
	var faults []string
	for _, region := range regions {
		if !known.Allow(region) {
			faults = append(faults, owner+": region "+region+" is not known")
		}
	}
	return faults
}
