package demo

import (
	"encoding/json"
	"io"
	"slices"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/emulator/target"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/load"
	"github.com/firlever/firlever/pkg/caller"
)

// Report holds the results of a run. Latencies are in milliseconds, from the
// intended start of a request to the last byte of its answer.
type Report struct {
	Settings string      `json:"settings"`
	Policy   core.Policy `json:"policy"`
	Seed     uint64      `json:"seed"`
	load.Counts
	Checks     uint64            `json:"checks"`
	Violations uint64            `json:"violations"`
	Held       uint64            `json:"held"`
	Seconds    float64           `json:"seconds"`
	Services   []load.Service    `json:"services"`
	Added      *Added            `json:"added,omitempty"`
	Places     []Headroom        `json:"places"`
	Shifts     []Shift           `json:"shifts"`
	Drains     []Drain           `json:"drains,omitempty"`
	Changes    []Change          `json:"changes"`
	Faults     []Event           `json:"faults,omitempty"`
	Invariants []invariant.Count `json:"invariants"`
	Details    []string          `json:"details,omitempty"` // of the first violations
}

// Added is the latency that the instance between caller and target adds to the
// median. The other latencies are medians too, unless stated otherwise.
type Added struct {
	Service   string  `json:"service"`
	Direct    float64 `json:"direct"`
	Through   float64 `json:"through"`
	Added     float64 `json:"added"`
	DirectP99 float64 `json:"slow"` // p99 of the direct calls; far above their median on a busy machine
}

// Headroom compares the peak of requests at a place, or of a service at it, with the limit.
type Headroom struct {
	Place   string `json:"place"`
	Service string `json:"service,omitempty"`
	Limit   int    `json:"limit"`
	Peak    int    `json:"peak"`
	Least   int    `json:"least"` // headroom at the peak: Limit - Peak
}

// Shift counts the requests of a service that were shifted to a place, as its
// targets received them.
type Shift struct {
	Place     string `json:"place"`
	Service   string `json:"service"`
	Cap       int    `json:"cap"`
	MaxGrowth int    `json:"growth"` // largest growth from one second to the next
	Total     int    `json:"total"`
}

func (r *run) report(result *load.Report) *Report {
	f := r.f
	r.checkStops(result)
	rep := &Report{
		Settings: f.cfg.Name, Policy: f.cfg.Policy, Seed: f.cfg.Seed,
		Held: result.Held, Seconds: result.Seconds,
		Drains: r.drains, Changes: r.changes, Faults: r.events,
		Invariants: sumCounts(f.instanceChecks.Counts(), f.observerChecks.Counts()),
	}
	rep.addServices(result.Services, r.planner)
	for _, c := range rep.Invariants {
		rep.Checks += c.Checks
		rep.Violations += c.Violations
	}
	rep.Places = r.headroom()
	rep.Shifts = r.shifts()
	rep.Details = f.details.list()
	return rep
}

// checkStops checks that no caller lost an answer, as planned stops promise. It
// checks nothing in runs with a fault of kind kill, kill-all, cut or platform.
func (r *run) checkStops(result *load.Report) {
	for _, k := range []FaultKind{FaultKill, FaultKillAll, FaultCut, FaultPlatform} {
		if slices.Contains(r.f.cfg.Faults, k) {
			return
		}
	}
	for _, s := range result.Services {
		for _, e := range s.Errors {
			lost := e.Text == caller.ReasonLost || e.Text == reasonIncomplete
			r.f.observerChecks.Check(invariant.GracefulStop, !lost, func() string { return s.Name + " lost answers" })
		}
	}
}

// addServices adds the results of the services to the report and its totals. Direct
// calls only serve to compute the added latency.
func (rep *Report) addServices(services []load.Service, p planner) {
	measured, ok := p.measuredService()
	var direct, through, slow float64
	for _, s := range services {
		if ok && s.Name == directName(measured.ID()) {
			direct, slow = s.P50, s.P99
			continue
		}
		if ok && s.Name == measured.ID().String() {
			through = s.P50
		}
		rep.Services = append(rep.Services, s)
		rep.Requests += s.Requests
		rep.Answered += s.Answered
		rep.Refused += s.Refused
		rep.Unknown += s.Unknown
		rep.Wrong += s.Wrong
	}
	if ok && direct > 0 {
		rep.Added = &Added{Service: measured.ID().String(), Direct: direct, Through: through, Added: through - direct, DirectP99: slow}
	}
}

// sumCounts adds two lists of counts that have the same names in the same order.
func sumCounts(a, b []invariant.Count) []invariant.Count {
	sum := slices.Clone(a)
	for i := range sum {
		sum[i].Checks += b[i].Checks
		sum[i].Violations += b[i].Violations
	}
	return sum
}

func (r *run) headroom() []Headroom {
	var list []Headroom
	for _, name := range r.f.snapshot.Places() {
		p, _ := r.f.snapshot.Place(name)
		list = append(list, headroomOf(target.Scope{Place: name}, p.Limit, r.f.journal.PlaceUsage(name).Peak))
		for _, id := range r.f.snapshot.Services() {
			service, _ := r.f.snapshot.Service(id)
			if site, ok := service.Site(name); ok {
				scope := target.Scope{Place: name, Service: id.String()}
				list = append(list, headroomOf(scope, site.Limit, r.f.journal.Usage(scope).Peak))
			}
		}
	}
	return list
}

func headroomOf(s target.Scope, limit, peak int) Headroom {
	return Headroom{Place: s.Place, Service: s.Service, Limit: limit, Peak: peak, Least: limit - peak}
}

func (r *run) shifts() []Shift {
	var list []Shift
	for _, id := range r.f.snapshot.Services() {
		service, _ := r.f.snapshot.Service(id)
		for _, place := range service.Places() {
			s := Shift{Place: place, Service: id.String(), Cap: service.Shift()}
			for _, n := range r.f.journal.Shifts(s.Service, place) {
				s.Total += n
			}
			s.MaxGrowth = r.f.journal.ShiftGrowth(s.Service, place)
			if s.Total > 0 {
				list = append(list, s)
			}
		}
	}
	return list
}

// WriteJSON writes the report as one line of JSON.
func (rep *Report) WriteJSON(w io.Writer) error {
	return errors.Annotate(json.NewEncoder(w).Encode(rep), "Report.WriteJSON")
}
