package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/emulator/target"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/pkg/settings"
)

// Durations and intervals of faults.
const (
	suspensionLength   = 3 * time.Second        // longer than an ownership lease lasts without renewal
	drainDeadline      = 3 * time.Second        // from the accepted document until a drained place gets no new requests
	drainObservation   = 500 * time.Millisecond // minimum time after drainDeadline in which late requests are counted
	stopTimeout        = 20 * time.Second
	writeRetryInterval = 100 * time.Millisecond // between attempts to write a document, and between checks after a restore
	restoreOutage      = time.Second            // outage of the platform before it is restored
	recoveryTimeout    = 10 * time.Second       // from the restore until the platform has the lost versions again
)

// Event is a fault that was injected.
type Event struct {
	Fault
	Note string `json:"note,omitempty"` // error while the fault was injected or undone
}

// Drain is the result of one drain.
type Drain struct {
	Place  string  `json:"place"`
	Millis float64 `json:"ms"`   // from the accepted document to the end of the last request
	Left   int     `json:"left"` // requests still running when the place was undrained
	Late   int     `json:"late"` // requests started more than drainDeadline after the document
}

// inject runs the schedule, each fault in its own goroutine, and waits for all of them.
func (r *run) inject(ctx context.Context) {
	var ids []string
	for _, p := range r.f.instances.running() {
		ids = append(ids, p.id)
	}
	list := schedule(r.f.cfg.Seed, r.f.cfg.Faults, r.f.snapshot.Places(), ids, r.f.cfg.Duration)
	var wg sync.WaitGroup
	for _, fault := range list {
		wg.Go(func() {
			if !r.sleepUntil(ctx, fault.At) {
				return
			}
			err := r.injectFault(ctx, fault)
			e := Event{Fault: fault}
			if err != nil {
				e.Note = err.Error()
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.events = append(r.events, e)
		})
	}
	wg.Wait()
}

func (r *run) injectFault(ctx context.Context, fault Fault) error {
	switch fault.Kind {
	case FaultKill:
		return r.kill(ctx, fault)
	case FaultKillAll:
		return r.killAll()
	case FaultStop:
		return r.stop(ctx, fault)
	case FaultDrain:
		return r.drain(ctx, fault)
	case FaultCut:
		r.f.links.Isolate(fault.On, link.Fault{Partition: true})
		r.sleepUntil(ctx, fault.Back)
		r.f.links.Isolate(fault.On, link.Fault{})
	case FaultPlatform:
		r.f.store.SetFaults(store.Faults{Refuse: true, Until: r.start.Add(fault.Back)})
	case FaultPartition:
		r.partition(ctx, fault)
	case FaultRestore:
		return r.restore(ctx, fault)
	case FaultSuspend:
		boottime.Suspend(suspensionLength)
	case FaultNotice:
		r.f.setNotices(fault.On, r.start.Add(fault.Back))
	case FaultCrash:
		return r.crash(ctx, fault)
	}
	return nil
}

// kill kills an instance and starts a new incarnation at fault.Back.
func (r *run) kill(ctx context.Context, fault Fault) error {
	p := r.f.instances.remove(fault.On)
	if p == nil {
		return nil // killed with all others
	}
	p.kill()
	r.sleepUntil(ctx, fault.Back)
	return r.replace(p.placement)
}

// killAll kills all running instances and starts new incarnations.
func (r *run) killAll() error {
	var failed error
	all := r.f.instances.running()
	for _, p := range all {
		r.f.instances.remove(p.id)
		p.kill()
	}
	for _, p := range all {
		if err := r.replace(p.placement); err != nil {
			failed = err
		}
	}
	return failed
}

// partition partitions an instance from all targets until fault.Back.
func (r *run) partition(ctx context.Context, fault Fault) {
	p, ok := r.f.instances.get(fault.On)
	if !ok {
		return
	}
	p.conns.partition()
	defer p.conns.heal()
	r.sleepUntil(ctx, fault.Back)
}

// restore restores the platform at fault.Back from a snapshot taken at the start of the fault. It
// checks that all versions lost by this are written again within recoveryTimeout.
func (r *run) restore(ctx context.Context, fault Fault) error {
	snapshot := r.f.store.TakeSnapshot()
	r.sleepUntil(ctx, fault.Back-restoreOutage)
	lost, _, err := r.f.store.List(ctx, "/") // entries that may be lost; none if the platform is unreachable already
	r.f.store.SetFaults(store.Faults{Refuse: true, Until: r.start.Add(fault.Back)})
	r.sleepUntil(ctx, fault.Back)
	r.f.store.RestoreSnapshot(snapshot)
	for end := time.Now().Add(recoveryTimeout); len(lost) > 0 && time.Now().Before(end) && ctx.Err() == nil; time.Sleep(writeRetryInterval) {
		lost = r.outdated(ctx, lost)
	}
	for _, e := range lost {
		r.f.observerChecks.Check(invariant.ConfigForward, false, func() string {
			return fmt.Sprintf("the platform did not recover %s at version %d", e.Path, e.Version)
		})
	}
	r.f.observerChecks.Check(invariant.ConfigForward, true, nil)
	return err
}

// outdated returns those entries of which the platform has an earlier version or none. If the
// platform can't be read, it returns all of them.
func (r *run) outdated(ctx context.Context, entries []docstore.Entry) []docstore.Entry {
	current, _, err := r.f.store.List(ctx, "/")
	if err != nil {
		return entries
	}
	versions := make(map[string]uint64, len(current))
	for _, e := range current {
		versions[e.Path] = e.Version
	}
	return slices.DeleteFunc(entries, func(e docstore.Entry) bool { return versions[e.Path] >= e.Version })
}

// stop stops an instance gracefully and starts a new incarnation.
func (r *run) stop(ctx context.Context, fault Fault) error {
	p := r.f.instances.remove(fault.On)
	if p == nil {
		return nil // killed with all others
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := p.instance.Stop(ctx)
	p.conns.freeze()
	p.conns.closeAll()
	p.client.Close()
	r.f.observerChecks.Check(invariant.GracefulStop, err == nil, func() string { return p.id + ": " + err.Error() })
	if err != nil {
		return err
	}
	return r.replace(p.placement)
}

func (r *run) replace(pl placement) error {
	p, err := r.f.startProcess(pl)
	if err != nil {
		return err
	}
	r.f.instances.add(p)
	return nil
}

// drain drains a place by writing a document, and undrains it by deleting that document.
func (r *run) drain(ctx context.Context, fault Fault) error {
	path := settings.DrainPath("demo-" + fault.On)
	body, err := yaml.Marshal(settings.Drain{Place: fault.On, Reason: "demo"})
	if err != nil {
		return err
	}
	var result docstore.PutResult
	err = r.retryWrite(ctx, fault.Back, func() error {
		var err error
		result, err = docstore.PutDocument(ctx, r.f.store, path, 0, body, "demo-drain")
		return err
	})
	if err != nil {
		return err
	}
	accepted := time.Now()
	scope := target.Scope{Place: fault.On}
	r.f.journal.SetLeaving(scope, accepted.Add(drainDeadline))
	r.sleepUntil(ctx, max(fault.Back, accepted.Sub(r.start)+drainDeadline+drainObservation))
	r.f.journal.ClearLeaving(scope)
	r.recordDrain(scope, accepted)
	return r.retryWrite(ctx, r.f.cfg.Duration+stopTimeout, func() error {
		_, err := docstore.DeleteDocument(ctx, r.f.store, path, result.Version, "demo-undrain")
		return err
	})
}

// retryWrite repeats a write until it is accepted, as an operator does in an outage
// of the platform. It returns the last error if ctx ends or deadline, counted from
// the start of the load, passes first.
func (r *run) retryWrite(ctx context.Context, deadline time.Duration, write func() error) error {
	for {
		err := write()
		if err == nil || ctx.Err() != nil || time.Since(r.start) >= deadline {
			return err
		}
		r.sleepUntil(ctx, time.Since(r.start)+writeRetryInterval)
	}
}

func (r *run) recordDrain(scope target.Scope, accepted time.Time) {
	u := r.f.journal.Usage(scope)
	d := Drain{Place: scope.Place, Left: u.InFlight, Late: u.Late, Millis: millis(max(u.LastFinished.Sub(accepted), 0))}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drains = append(r.drains, d)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Change is the result of one change of a document.
type Change struct {
	Path      string  `json:"path"`
	Millis    float64 `json:"ms"`             // until all instances had it in force, or until the time-out
	Instances int     `json:"instances"`      // running at the change, without those that ended meanwhile
	Missing   int     `json:"missing"`        // instances that did not have it in force in time
	Note      string  `json:"note,omitempty"` // error of the write
}

// Changes of documents: changeInterval and changeEnd are fractions of the run, and
// the others apply while instances are polled for the new version.
const (
	changeInterval     = 0.2
	changeEnd          = 0.9
	changeTimeout      = 10 * time.Second
	changePollInterval = 10 * time.Millisecond
)

// changeDocuments rewrites a document at intervals and measures how long the
// instances take to have it in force.
func (r *run) changeDocuments(ctx context.Context) {
	path := settings.BlocksPath("demo")
	var version uint64
	for n, part := 1, changeInterval; part < changeEnd; n, part = n+1, part+changeInterval {
		if !r.sleepUntil(ctx, fraction(r.f.cfg.Duration, part)) {
			return
		}
		body := fmt.Appendf(nil, "blocks:\n  - {prefix: 192.0.2.%d/32, place: %s}\n", n, r.f.snapshot.Places()[0])
		c := Change{Path: path}
		result, err := docstore.PutDocument(ctx, r.f.store, path, version, body, fmt.Sprintf("demo-change-%d", n))
		if err != nil {
			c.Note = err.Error()
		} else {
			version = result.Version
			r.awaitVersion(ctx, &c, version)
		}
		r.mu.Lock()
		r.changes = append(r.changes, c)
		r.mu.Unlock()
	}
}
