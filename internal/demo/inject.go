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

// Times of faults.
const (
	suspensionLength   = 3 * time.Second        // longer than a tenure lasts without a confirmation
	drainDeadline      = 3 * time.Second        // after which a drained place gets no new work
	drainObservation   = 500 * time.Millisecond // for which a drain lasts on at least, to see that
	stopTimeout        = 20 * time.Second
	writeRetryInterval = 100 * time.Millisecond // between two tries of a drain's document
	restoreOutage      = time.Second            // for which the platform is away until it comes back from a copy
	recoveryTimeout    = 10 * time.Second       // after which it holds again what it had lost
)

// Event is a fault as it happened.
type Event struct {
	Fault
	Note string `json:"note,omitempty"` // why it did not go as planned
}

// Drain is how one drain went.
type Drain struct {
	Place  string  `json:"place"`
	Millis float64 `json:"ms"` // from the accepted document to the end of the last request
	Left   int     `json:"left"`
	Late   int     `json:"late"` // requests started too long after the document
}

// inject carries the schedule out, each fault by itself.
func (r *run) inject(ctx context.Context) {
	var ids []string
	for _, p := range r.f.instances.running() {
		ids = append(ids, p.id)
	}
	list := schedule(r.f.cfg.Seed, r.f.cfg.Faults, r.f.snapshot.Places(), ids, r.f.cfg.For)
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
	case FaultStop:
		return r.stop(ctx, fault)
	case FaultDrain:
		return r.drain(ctx, fault)
	case FaultCut:
		r.f.links.Isolate(fault.On, link.Fault{Cut: true})
		r.sleepUntil(ctx, fault.Back)
		r.f.links.Isolate(fault.On, link.Fault{})
	case FaultPlatform:
		r.f.store.SetFaults(store.Faults{Refuse: true, Until: r.start.Add(fault.Back)})
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

// kill lets an instance die, and starts a new incarnation.
func (r *run) kill(ctx context.Context, fault Fault) error {
	p := r.f.instances.remove(fault.On)
	p.kill()
	r.sleepUntil(ctx, fault.Back)
	return r.replace(p.placement)
}

// restore lets the platform come back from a copy that is as old as the fault lasts, and sees
// that nothing of what it has lost stays so.
func (r *run) restore(ctx context.Context, fault Fault) error {
	snapshot := r.f.store.Copy()
	r.sleepUntil(ctx, fault.Back-restoreOutage)
	lost, _, err := r.f.store.List(ctx, "/") // that it may lose, unless it is away already
	r.f.store.SetFaults(store.Faults{Refuse: true, Until: r.start.Add(fault.Back)})
	r.sleepUntil(ctx, fault.Back)
	r.f.store.GoBack(snapshot)
	for end := time.Now().Add(recoveryTimeout); len(lost) > 0 && time.Now().Before(end) && ctx.Err() == nil; time.Sleep(writeRetryInterval) {
		lost = r.outdated(ctx, lost)
	}
	for _, e := range lost {
		r.f.observerChecks.Check(invariant.ConfigForward, false, func() string {
			return fmt.Sprintf("the platform has not got %s at version %d again", e.Path, e.Version)
		})
	}
	r.f.observerChecks.Check(invariant.ConfigForward, true, nil)
	return err
}

// outdated returns those entries of which the platform has an earlier version, or none, as far as it
// tells.
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

// stop is a planned stop, and a start after it.
func (r *run) stop(ctx context.Context, fault Fault) error {
	p := r.f.instances.remove(fault.On)
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

// drain drains a place by a document, and undrains it.
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
	r.f.journal.Leave(scope, accepted.Add(drainDeadline))
	r.sleepUntil(ctx, max(fault.Back, accepted.Sub(r.start)+drainDeadline+drainObservation))
	r.f.journal.Return(scope)
	r.recordDrain(scope, accepted)
	return r.retryWrite(ctx, r.f.cfg.For+stopTimeout, func() error {
		_, err := docstore.DeleteDocument(ctx, r.f.store, path, result.Version, "demo-undrain")
		return err
	})
}

// retryWrite repeats a write until it is accepted, as an operator does in an outage
// of the platform, or until a time of the run is past.
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
	u := r.f.journal.Use(scope)
	d := Drain{Place: scope.Place, Left: u.Now, Late: u.Late, Millis: millis(max(u.Last.Sub(accepted), 0))}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drains = append(r.drains, d)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Change is how one changed document spread.
type Change struct {
	Path      string  `json:"path"`
	Millis    float64 `json:"ms"`        // until all these instances had it in force
	Instances int     `json:"instances"` // that ran from the change on until they had it
	Missing   int     `json:"missing"`   // instances that did not get it in time
	Note      string  `json:"note,omitempty"`
}

// When documents are changed, in shares of the run, and how that is followed.
const (
	changeInterval     = 0.2
	changeEnd          = 0.9
	changeTimeout      = 10 * time.Second
	changePollInterval = 10 * time.Millisecond
)

// changeDocuments rewrites a document now and then, and sees it spread.
func (r *run) changeDocuments(ctx context.Context) {
	path := settings.BlocksPath("demo")
	var version uint64
	for n, part := 1, changeInterval; part < changeEnd; n, part = n+1, part+changeInterval {
		if !r.sleepUntil(ctx, fraction(r.f.cfg.For, part)) {
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
