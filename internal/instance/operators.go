package instance

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/member"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/operator"
	"github.com/firlever/firlever/pkg/settings"
)

// finishFactor is how many average service times a drain is predicted to take.
const finishFactor = 3

// NoSettingsError reports that no configuration has arrived yet.
type NoSettingsError struct{}

func (e *NoSettingsError) Error() string { return "instance: no configuration has arrived yet" }

// NoLeaseError reports that this instance's ownership leases are not confirmed.
type NoLeaseError struct{}

func (e *NoLeaseError) Error() string {
	return "instance: ownership leases of targets are not confirmed; half of each target's slots are used"
}

// operatorHandler returns the handler of the operators' address.
func (in *Instance) operatorHandler() (http.Handler, error) {
	logger := in.cfg.Log
	if logger == nil {
		logger = log.New(io.Discard)
	}
	set := in.cfg.Metrics
	if set == nil {
		set = metrics.New()
		in.metrics = set
	}
	s, err := operator.New(operator.Config{
		Store:            in.operatorStore(),
		Snapshot:         in.snapshot,
		Documents:        in.docs.Documents,
		Apply:            in.applyDocuments,
		Status:           in.operatorStatus,
		Fleet:            operator.Gather(in.fleet),
		Metrics:          set.Handler(),
		Ready:            in.ready,
		SettingsComplete: in.checkComplete,
		Log:              logger,
		Bootstrap:        in.cfg.Bootstrap,
	})
	if err != nil {
		return nil, errors.Annotate(err, "Instance.operatorHandler")
	}
	return s.HTTP().Handler, nil
}

// snapshot returns the snapshot in force, an empty one before the first documents.
func (in *Instance) snapshot() *settings.Snapshot {
	if s := in.docs.Snapshot(); s != nil {
		return s
	}
	s, _ := settings.CompileLenient(nil)
	return s
}

// checkComplete returns the reason that changes can't be validated here yet, or nil.
func (in *Instance) checkComplete() error {
	if !in.complete() {
		return &NoSettingsError{}
	}
	return nil
}

// ready returns the reason that this instance should get no requests, or nil.
func (in *Instance) ready() error {
	if in.docs.Snapshot() == nil {
		return &NoSettingsError{}
	}
	return nil
}

// fleet returns the known instances that are not dead, this one included.
func (in *Instance) fleet(context.Context) []docstore.Instance {
	list := []docstore.Instance{in.self()}
	for _, m := range in.members.Members() {
		if m.State != member.Dead {
			list = append(list, m.Instance)
		}
	}
	return list
}

// operatorStatus returns this instance's status for operators.
func (in *Instance) operatorStatus() operator.Status {
	st := in.Status()
	r := operator.Status{
		Instance: in.cfg.ID, Incarnation: in.incarnation,
		Place: in.cfg.Place, Domain: in.cfg.Domain, Region: in.cfg.Region,
		Ready: true, DocumentsHash: fmt.Sprintf("%016x", in.docs.Root()),
		Documents:  operator.Versions(in.docs.Documents()),
		Invariants: in.cfg.Checks.Counts(),
	}
	r.DocumentCount = len(r.Documents)
	if err := in.ready(); err != nil {
		r.Ready, r.Reason = false, err.Error()
	} else if !st.Confirmed {
		r.Reason = (&NoLeaseError{}).Error()
	}
	for _, m := range in.members.Members() {
		r.Peers = append(r.Peers, operator.Peer{ID: m.ID, Address: m.PeerAddress, Place: m.Place, State: m.State.String()})
	}
	in.reportLoad(&r, st)
	in.reportDrains(&r, st)
	return r
}

// reportLoad adds the load of the place's services and targets.
func (in *Instance) reportLoad(r *operator.Status, st core.Status) {
	place := operator.Place{Name: in.cfg.Place}
	for _, s := range st.Services {
		load := operator.Load{Limit: s.Usable, InFlight: s.InFlight, Free: s.Free, Headroom: max(s.Usable-s.InFlight, 0)}
		r.Services = append(r.Services, operator.Service{
			Service: s.Service.String(), Place: in.cfg.Place, Load: load,
			Shifted: float64(s.Shifted), MaxShiftGrowth: s.Cap,
		})
		place.Limit += load.Limit
		place.InFlight += load.InFlight
		place.Free += load.Free
		place.Headroom += load.Headroom
	}
	place.Queued = st.Queued
	r.Places = append(r.Places, place)
	for _, t := range st.Targets {
		r.Targets = append(r.Targets, operator.Target{
			Name: t.Key.Name, Service: t.Key.Service.String(), Place: in.cfg.Place, Address: t.Address,
			Owner: t.Owner, Allowance: t.Usable, InFlight: t.InFlight, Health: t.Health, Drained: t.Drained,
		})
	}
}

// reportDrains adds the drains that are in force, and for those that concern this instance
// the requests left and a predicted end.
func (in *Instance) reportDrains(r *operator.Status, st core.Status) {
	for _, d := range in.snapshot().Drains() {
		drain := operator.Drain{
			Path: d.Path, Place: d.Drain.Place, Instance: d.Drain.Instance,
			Target: d.Drain.Target, Reason: d.Drain.Reason,
		}
		if d.Service != (settings.ServiceID{}) {
			drain.Service = d.Service.String()
		}
		var wait time.Duration
		for _, t := range st.Targets {
			if drainApplies(drain, in.cfg.Place, t) {
				drain.Remaining += t.InFlight
				wait = max(wait, t.AverageLatency*finishFactor)
			}
		}
		if drain.Instance == in.cfg.ID {
			drain.Remaining, wait = st.InFlight, in.predictedWait(st)
		}
		if drain.Remaining > 0 && wait > 0 {
			drain.Finish = in.now().Add(wait)
		}
		r.Drains = append(r.Drains, drain)
	}
}

// predictedWait predicts how long the requests in flight at this instance will take.
func (in *Instance) predictedWait(st core.Status) time.Duration {
	var wait time.Duration
	for _, t := range st.Targets {
		if t.InFlight > 0 {
			wait = max(wait, t.AverageLatency*finishFactor)
		}
	}
	return wait
}

// drainApplies reports whether a drain concerns a target of this place.
func drainApplies(d operator.Drain, place string, t core.TargetStatus) bool {
	if d.Service != "" && d.Service != t.Key.Service.String() {
		return false
	}
	if d.Target != "" {
		return d.Target == t.Key.Name
	}
	return d.Place == place
}
