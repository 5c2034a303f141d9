// Package routes holds the operators' configuration of requests: which service a
// request goes to by its host and path, and what may be done with it.
package routes

import (
	"time"
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
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
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
	Regions   []string      // where requests may be served; empty: everywhere
}

// Part is one service of a route.
type Part struct {
	Service string
	Weight  float64 // share of the requests, over the sum of the weights
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
