// Package metrics collects an instance's metrics and serves them to Prometheus.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/firlever/firlever/internal/invariant"
)

// Names of the metrics, without the prefix.
const (
	prefix               = "firlever"
	nameDecisions        = "decisions"            // counter; labels kind, service, reason
	nameLatency          = "latency_seconds"      // histogram; label service; answered requests, from arrival to the last byte
	nameAnswerTime       = "answer_seconds"       // histogram; labels service, kind; estimated and measured time until a target's answer is back
	nameChecks           = "invariant_checks"     // gauge; label invariant
	nameViolations       = "invariant_violations" // gauge; label invariant; a value other than 0 is a bug in firlever
	nameLimit            = "limit"                // gauge; label service; slots that this instance may use now
	nameInFlight         = "in_flight"            // gauge; label service; slots in use
	nameQueued           = "queued"               // gauge; queued requests
	namePeers            = "peers"                // gauge; peers considered alive
	nameConfirmed        = "confirmed"            // gauge; 1 while the ownership lease on targets is confirmed
	namePlatformFailures = "platform_failures"    // counter; label call
)

const reportInterval = time.Second

// latencyBuckets are the upper bounds of the latency histogram, in seconds.
var latencyBuckets = tally.ValueBuckets{
	0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30,
}

// sanitize replaces characters that Prometheus doesn't allow in names. Label values may
// also hold the characters of service and instance names.
var sanitize = tally.SanitizeOptions{
	NameCharacters:       reporter.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        reporter.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune{'_', '-', '/', '.'}},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// Decision holds the labels of a counter of decisions.
type Decision struct {
	Kind    string
	Service string
	Reason  string
}

// Set holds an instance's metrics. It is safe for concurrent use. The methods that record
// values do nothing on a nil Set.
type Set struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler

	mu               sync.Mutex
	decisions        map[Decision]tally.Counter // guarded by mu
	latency          map[string]tally.Histogram // by service; guarded by mu
	returns          map[string]answerTimes     // by service; guarded by mu
	quotaByWorkspace map[string]quotaCounters   // by workspace; guarded by mu
}

// New returns an empty set, which must be closed after use.
func New() *Set {
	registry := prometheus.NewRegistry()
	rep := reporter.NewReporter(reporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         rep,
		Separator:              reporter.DefaultSeparator,
		SanitizeOptions:        &sanitize,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Set{
		scope:            scope,
		closer:           closer,
		handler:          promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		decisions:        make(map[Decision]tally.Counter),
		latency:          make(map[string]tally.Histogram),
		returns:          make(map[string]answerTimes),
		quotaByWorkspace: make(map[string]quotaCounters),
	}
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler { return s.handler }

// Close reports the latest values once more and stops the periodic reports.
func (s *Set) Close() error { return s.closer.Close() }

// CountDecision counts a decision.
func (s *Set) CountDecision(d Decision) {
	if s == nil {
		return
	}
	s.mu.Lock()
	c, ok := s.decisions[d]
	if !ok {
		c = s.scope.Tagged(map[string]string{
			"kind": d.Kind, "service": d.Service, "reason": d.Reason,
		}).Counter(nameDecisions)
		s.decisions[d] = c
	}
	s.mu.Unlock()
	c.Inc(1)
}

// RecordLatency records the latency of an answered request.
func (s *Set) RecordLatency(service string, took time.Duration) {
	if s == nil {
		return
	}
	s.mu.Lock()
	h, ok := s.latency[service]
	if !ok {
		h = s.scope.Tagged(map[string]string{"service": service}).Histogram(nameLatency, latencyBuckets)
		s.latency[service] = h
	}
	s.mu.Unlock()
	h.RecordValue(took.Seconds())
}

// answerTimes are the times until the answers of a service's targets are back.
type answerTimes struct{ estimated, measured tally.Histogram }

// RecordAnswerTime records after which time a target's answer was expected back, and after which it was.
func (s *Set) RecordAnswerTime(service string, estimated, measured time.Duration) {
	if s == nil {
		return
	}
	s.mu.Lock()
	r, ok := s.returns[service]
	if !ok {
		histogram := func(kind string) tally.Histogram {
			return s.scope.Tagged(map[string]string{"service": service, "kind": kind}).Histogram(nameAnswerTime, latencyBuckets)
		}
		r = answerTimes{estimated: histogram("estimated"), measured: histogram("measured")}
		s.returns[service] = r
	}
	s.mu.Unlock()
	r.estimated.RecordValue(estimated.Seconds())
	r.measured.RecordValue(measured.Seconds())
}

// CountPlatformFailure counts a failed call to the platform.
func (s *Set) CountPlatformFailure(call string) {
	if s == nil {
		return
	}
	s.scope.Tagged(map[string]string{"call": call}).Counter(namePlatformFailures).Inc(1)
}

// Service holds the values of a service's gauges.
type Service struct {
	Name     string
	Limit    int // slots that this instance may use now
	InFlight int // slots in use
}

// Gauges holds the values of the gauges.
type Gauges struct {
	Services  []Service
	Queued    int
	Peers     int
	Confirmed bool
	Counts    []invariant.Count
}

// SetGauges sets the gauges.
func (s *Set) SetGauges(st Gauges) {
	if s == nil {
		return
	}
	for _, v := range st.Services {
		scope := s.scope.Tagged(map[string]string{"service": v.Name})
		scope.Gauge(nameLimit).Update(float64(v.Limit))
		scope.Gauge(nameInFlight).Update(float64(v.InFlight))
	}
	s.scope.Gauge(nameQueued).Update(float64(st.Queued))
	s.scope.Gauge(namePeers).Update(float64(st.Peers))
	s.scope.Gauge(nameConfirmed).Update(asFloat(st.Confirmed))
	for _, c := range st.Counts {
		scope := s.scope.Tagged(map[string]string{"invariant": string(c.Name)})
		scope.Gauge(nameChecks).Update(float64(c.Checks))
		scope.Gauge(nameViolations).Update(float64(c.Violations))
	}
}

func asFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
