package demo

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/load"
)

// run is one run of a fleet under load.
type run struct {
	f       *fleet
	planner planner
	start   time.Time // of the load; times of the run count from it

	mu      sync.Mutex
	drains  []Drain  // guarded by mu
	changes []Change // guarded by mu
	events  []Event  // guarded by mu
}

// gcPercent is the garbage collection target percentage during a run. It is high
// because one process does the work of a hundred here and has enough memory.
const gcPercent = 400

// Run starts a deployment, sends requests to it and returns the results. It returns
// a *ConfigError if cfg is invalid.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "demo.Run")
	}
	once, err := oncePaths(cfg.Documents)
	if err != nil {
		return nil, errors.Annotate(err, "demo.Run")
	}
	f, err := newFleet(cfg)
	if err != nil {
		return nil, errors.Annotate(err, "demo.Run")
	}
	defer f.close()
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	r := &run{f: f, planner: planner{snapshot: f.snapshot, profile: f.profile, rate: cfg.Rate, oncePaths: once}}
	result, err := r.runLoad(ctx)
	if err != nil {
		return nil, errors.Annotate(err, "demo.Run")
	}
	return r.report(result), nil
}

// runLoad sends the load while it injects faults and changes documents.
func (r *run) runLoad(ctx context.Context) (*load.Report, error) {
	if service, ok := r.planner.measuredService(); ok {
		if err := r.f.startDirect(service); err != nil {
			return nil, err
		}
	}
	c, err := newCallers(r.f)
	if err != nil {
		return nil, err
	}
	defer c.close()
	plan := load.Plan{
		Streams: r.planner.streams(), For: r.f.cfg.Duration, Ramp: min(rampTime, r.f.cfg.Duration/2),
		Seed: r.f.cfg.Seed, Prefix: idPrefix, Clock: r.f.clock,
	}
	r.start = time.Now()
	var background sync.WaitGroup
	background.Go(func() { r.inject(ctx) })
	background.Go(func() { r.changeDocuments(ctx) })
	result, err := load.Run(ctx, plan, c.do)
	background.Wait()
	return result, err
}

// sleepUntil sleeps until the given time, counted from the start of the load. It
// returns false if ctx ends first.
func (r *run) sleepUntil(ctx context.Context, at time.Duration) bool {
	return r.f.clock.SleepUntil(ctx, r.start.Add(at))
}
