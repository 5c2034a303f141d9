// Package load is an open-loop load generator: it sends requests at planned times, whether
// or not earlier ones have been answered, and reports their results. Latency counts from
// the intended start, so that a slow system can't hide its own delays.
package load

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/emulator/clock"
)

// Plan describes what to send, and for how long.
type Plan struct {
	Streams  []Stream
	For      time.Duration // time for which requests are sent; their answers may take longer
	Ramp     time.Duration // time in which the rates grow from 0, part of For
	Seed     uint64        // the same seed gives the same requests at the same times
	InFlight int           // most requests in flight; further ones are delayed and counted
	Prefix   string        // prefix of the request IDs; must be unique to a run
	Clock    *clock.Clock  // clock for the intended starts; may be nil
}

// Stream is one kind of request, which arrives at random times.
type Stream struct {
	Service    string  // team/service
	Place      string  // home place of the callers
	Class      string  // class of the service; not used by this package
	Rate       float64 // requests/s
	Method     string
	Path       string // path below the service
	Size       int64  // expected bytes of the answer
	Body       int64  // bytes of the request's body
	Idempotent bool
	Timeout    time.Duration // counted from the intended start
}

// PlanError lists all faults of a Plan.
type PlanError struct{ Faults []string }

func (e *PlanError) Error() string { return "load: " + strings.Join(e.Faults, "; ") }

// Defaults sets the fields that are zero.
func (p *Plan) Defaults() {
	setDefault(&p.For, 10*time.Second)
	setDefault(&p.InFlight, 4096)
	setDefault(&p.Prefix, "load")
	for i := range p.Streams {
		s := &p.Streams[i]
		setDefault(&s.Method, http.MethodGet)
		setDefault(&s.Path, "/")
		setDefault(&s.Timeout, 5*time.Second)
	}
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Validate returns a *PlanError that lists every fault, or nil.
func (p *Plan) Validate() error {
	var faults []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	check(len(p.Streams) > 0, "there are no streams")
	check(p.For > 0, "for is %s, want more than 0", p.For)
	check(p.Ramp >= 0 && p.Ramp <= p.For, "ramp is %s, want 0 to %s", p.Ramp, p.For)
	check(p.InFlight > 0, "in flight is %d, want 1 or more", p.InFlight)
	for i, s := range p.Streams {
		check(s.Service != "", "stream %d: service is empty", i)
		check(s.Rate > 0 && s.Rate <= maxRate, "stream %d: rate is %g, want more than 0, at most %d", i, s.Rate, maxRate)
		check(s.Size >= 0, "stream %d: size is %d, want 0 or more", i, s.Size)
		check(s.Body >= 0, "stream %d: body is %d, want 0 or more", i, s.Body)
		check(s.Timeout > 0, "stream %d: timeout is %s, want more than 0", i, s.Timeout)
	}
	if faults == nil {
		return nil
	}
	return &PlanError{Faults: faults}
}

// maxRate is the highest rate of one stream, in requests/s.
const maxRate = 1_000_000
