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
	suspension  = 3 * time.Second        // longer than a tenure lasts without a confirmation
	leaveWithin = 3 * time.Second        // after which a drained place gets no new work
	leaveSeen   = 500 * time.Millisecond // for which a drain lasts on at least, to see that
	stopWait    = 20 * time.Second
	writeEvery  = 100 * time.Millisecond // between two tries of a drain's document
	awayTime    = time.Second            // for which the platform is away until it comes back from a copy
	againWithin = 10 * time.Second       // after which it holds again what it had lost
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
	for _, p := range r.f.roll.live() {
		ids = append(ids, p.id)
	}
	list := schedule(r.f.cfg.Seed, r.f.cfg.Faults, r.f.snapshot.Places(), ids, r.f.cfg.For)
	var all sync.WaitGroup
	for _, fault := range list {
		all.Go(func() {
			if !r.until(ctx, fault.At) {
				return
			}
			err := r.carryOut(ctx, fault)
			e := Event{Fault: fault}
			if err != nil {
				e.Note = err.Error()
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.events = append(r.events, e)
		})
	}
	all.Wait()
}

func (r *run) carryOut(ctx context.Context, fault Fault) error {
	switch fault.Kind {
	case FaultKill:
		return r.kill(ctx, fault)
	case FaultStop:
		return r.stop(ctx, fault)
	case FaultDrain:
		return r.drain(ctx, fault)
	case FaultCut:
		r.f.links.Isolate(fault.On, link.Fault{Cut: true})
		r.until(ctx, fault.Back)
		r.f.links.Isolate(fault.On, link.Fault{})
	case FaultPlatform:
		r.f.store.SetFaults(store.Faults{Refuse: true, Until: r.start.Add(fault.Back)})
	case FaultRestore:
		return r.restore(ctx, fault)
	case FaultSuspend:
		boottime.Suspend(suspension)
	case FaultNotice:
		r.f.constrain(fault.On, r.start.Add(fault.Back))
	case FaultCrash:
		return r.crash(ctx, fault)
	}
	return nil
}

// kill lets an instance die, and starts a new incarnation.
func (r *run) kill(ctx context.Context, fault Fault) error {
	p := r.f.roll.take(fault.On)
	p.kill()
	r.until(ctx, fault.Back)
	return r.replace(p.seat)
}

// restore lets the platform come back from a copy that is as old as the fault lasts, and sees
// that nothing of what it has lost stays so.
func (r *run) restore(ctx context.Context, fault Fault) error {
	c := r.f.store.Copy()
	r.until(ctx, fault.Back-awayTime)
	lost, _, err := r.f.store.List(ctx, "/") // that it may lose, unless it is away already
	r.f.store.SetFaults(store.Faults{Refuse: true, Until: r.start.Add(fault.Back)})
	r.until(ctx, fault.Back)
	r.f.store.GoBack(c)
	for end := time.Now().Add(againWithin); len(lost) > 0 && time.Now().Before(end) && ctx.Err() == nil; time.Sleep(writeEvery) {
		lost = r.behind(ctx, lost)
	}
	for _, e := range lost {
		r.f.truth.Check(invariant.ConfigForward, false, func() string {
			return fmt.Sprintf("the platform has not got %s at version %d again", e.Path, e.Version)
		})
	}
	r.f.truth.Check(invariant.ConfigForward, true, nil)
	return err
}

// behind returns those entries of which the platform has an earlier version, or none, as far as it
// tells.
func (r *run) behind(ctx context.Context, entries []docstore.Entry) []docstore.Entry {
	now, _, err := r.f.store.List(ctx, "/")
	if err != nil {
		return entries
	}
	versions := make(map[string]uint64, len(now))
	for _, e := range now {
		versions[e.Path] = e.Version
	}
	return slices.DeleteFunc(entries, func(e docstore.Entry) bool { return versions[e.Path] >= e.Version })
}

// stop is a planned stop, and a start after it.
func (r *run) stop(ctx context.Context, fault Fault) error {
	p := r.f.roll.take(fault.On)
	ctx, cancel := context.WithTimeout(ctx, stopWait)
	defer cancel()
	err := p.in.Stop(ctx)
	p.conns.freeze()
	p.conns.closeAll()
	p.client.Close()
	r.f.truth.Check(invariant.GracefulStop, err == nil, func() string { return p.id + ": " + err.Error() })
	if err != nil {
		return err
	}
	return r.replace(p.seat)
}

func (r *run) replace(s seat) error {
	p, err := r.f.startProcess(s)
	if err != nil {
		return err
	}
	r.f.roll.add(p)
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
	err = r.insist(ctx, fault.Back, func() error {
		var err error
		result, err = docstore.PutDocument(ctx, r.f.store, path, 0, body, "demo-drain")
		return err
	})
	if err != nil {
		return err
	}
	accepted := time.Now()
	scope := target.Scope{Place: fault.On}
	r.f.journal.Leave(scope, accepted.Add(leaveWithin))
	r.until(ctx, max(fault.Back, accepted.Sub(r.start)+leaveWithin+leaveSeen))
	r.f.journal.Return(scope)
	r.drained(scope, accepted)
	return r.insist(ctx, r.f.cfg.For+stopWait, func() error {
		_, err := docstore.DeleteDocument(ctx, r.f.store, path, result.Version, "demo-undrain")
		return err
	})
}

// insist repeats a write until it is accepted, as an operator does in an outage
// of the platform, or until a time of the run is past.
func (r *run) insist(ctx context.Context, last time.Duration, write func() error) error {
	for {
		err := write()
		if err == nil || ctx.Err() != nil || time.Since(r.start) >= last {
			return err
		}
		r.until(ctx, time.Since(r.start)+writeEvery)
	}
}

func (r *run) drained(scope target.Scope, accepted time.Time) {
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
	changeEvery = 0.2
	changeLast  = 0.9
	changeWait  = 10 * time.Second
	changePoll  = 10 * time.Millisecond
)

// change rewrites a document now and then, and sees it spread.
func (r *run) change(ctx context.Context) {
	path := settings.BlocksPath("demo")
	var version uint64
	for n, part := 1, changeEvery; part < changeLast; n, part = n+1, part+changeEvery {
		if !r.until(ctx, share(r.f.cfg.For, part)) {
			return
		}
		body := fmt.Appendf(nil, "blocks:\n  - {prefix: 192.0.2.%d/32, place: %s}\n", n, r.f.snapshot.Places()[0])
		c := Change{Path: path}
		result, err := docstore.PutDocument(ctx, r.f.store, path, version, body, fmt.Sprintf("demo-change-%d", n))
		if err != nil {
			c.Note = err.Error()
		} else {
			version = result.Version
			r.follow(ctx, &c, version)
		}
		r.mu.Lock()
		r.changes = append(r.changes, c)
		r.mu.Unlock()
	}
}
