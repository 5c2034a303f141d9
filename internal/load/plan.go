// Package load sends requests at planned times, whether or not earlier ones
// have been answered, and reports how they fared. Latency counts from the
// intended start, so that a slow system can't hide its own delays.
package load

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/emulator/clock"
)

// Plan says what to send, and for how long.
type Plan struct {
	Streams  []Stream
	For      time.Duration // requests are sent for this long; their answers may take longer
	Ramp     time.Duration // over which the rates grow from 0, part of For
	Seed     uint64        // the same seed gives the same requests at the same times
	InFlight int           // requests in flight at most; those over it are held up and counted
	Prefix   string        // of the request ids; must be unique to a run
	Clock    *clock.Clock  // keeps the intended starts; may be nil
}

// Stream is one kind of request that arrives at random times.
type Stream struct {
	Service    string  // team/service
	Place      string  // home place of the callers
	Class      string  // of the service; only carried along
	Rate       float64 // requests/s
	Method     string
	Path       string // below the service
	Size       int64  // bytes of the answer
	Body       int64  // bytes of the request's body
	Idempotent bool
	Timeout    time.Duration // from the intended start
}

// PlanError names every fault of a Plan.
type PlanError struct{ Faults []string }

func (e *PlanError) Error() string { return "load: " + strings.Join(e.Faults, "; ") }

// Defaults sets what is left at zero.
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

// Validate returns a *PlanError that names every fault at once.
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

// maxRate is the most requests/s of one stream.
const maxRate = 1_000_000
