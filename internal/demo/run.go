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
	start   time.Time

	mu      sync.Mutex
	drains  []Drain  // guarded by mu
	changes []Change // guarded by mu
	events  []Event  // guarded by mu
}

// gcPercent is the garbage collector's setting during a run: one process does
// the work of a hundred here, and has the memory for it.
const gcPercent = 400

// Run starts a deployment, puts it under load and returns what was measured. It
// returns a *ConfigError if cfg is at fault.
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
	r := &run{f: f, planner: planner{snapshot: f.snapshot, profile: f.profile, rate: cfg.Rate, once: once}}
	result, err := r.play(ctx)
	if err != nil {
		return nil, errors.Annotate(err, "demo.Run")
	}
	return r.report(result), nil
}

// play sends the load, with the faults and the changes of documents beside it.
func (r *run) play(ctx context.Context) (*load.Report, error) {
	if service, ok := r.planner.measured(); ok {
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
		Streams: r.planner.streams(), For: r.f.cfg.For, Ramp: min(rampTime, r.f.cfg.For/2),
		Seed: r.f.cfg.Seed, Prefix: prefixStart, Clock: r.f.clock,
	}
	r.start = time.Now()
	var beside sync.WaitGroup
	beside.Go(func() { r.inject(ctx) })
	beside.Go(func() { r.change(ctx) })
	result, err := load.Run(ctx, plan, c.do)
	beside.Wait()
	return result, err
}

// until waits until a time of the run. It returns false when ctx ends before.
func (r *run) until(ctx context.Context, at time.Duration) bool {
	return r.f.clock.SleepUntil(ctx, r.start.Add(at))
}
