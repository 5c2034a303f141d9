package load

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// runner is one run of a plan.
type runner struct {
	plan     Plan
	do       Do
	start    time.Time
	slots    chan struct{} // holds an element for each request in flight
	delayed  atomic.Uint64
	unsent   atomic.Uint64
	requests sync.WaitGroup
	stats    *stats
}

// Run sends the requests of the plan and returns when all of them have ended. When ctx
// ends, it sends no more and waits for those in flight. It returns a *PlanError if the plan
// is invalid.
func Run(ctx context.Context, plan Plan, do Do) (*Report, error) {
	plan.Streams = append([]Stream(nil), plan.Streams...)
	plan.Defaults()
	if err := plan.Validate(); err != nil {
		return nil, errors.Annotate(err, "load.Run")
	}
	e := &runner{
		plan:  plan,
		do:    do,
		start: time.Now(),
		slots: make(chan struct{}, plan.InFlight),
		stats: newStats(plan.Streams),
	}
	var streams sync.WaitGroup
	for i := range plan.Streams {
		streams.Go(func() { e.stream(ctx, i) })
	}
	streams.Wait()
	sent := time.Since(e.start)
	e.requests.Wait()
	return e.stats.report(sent, e.delayed.Load(), e.unsent.Load()), nil
}

// stream sends the requests of one stream at their intended times, late ones at once.
func (e *runner) stream(ctx context.Context, i int) {
	s := &e.plan.Streams[i]
	times := newArrivals(s.Rate, e.plan.Ramp, e.plan.Seed, uint64(i))
	for n := 0; ; n++ {
		at := times.next()
		if at >= e.plan.For {
			return
		}
		due := e.start.Add(at)
		if !e.plan.Clock.SleepUntil(ctx, due) || !e.acquire(ctx) {
			return
		}
		r := Request{
			Stream:   s,
			ID:       fmt.Sprintf("%s-%d-%d", e.plan.Prefix, i, n),
			Due:      due,
			Deadline: due.Add(s.Timeout),
		}
		e.requests.Go(func() { e.send(ctx, r) })
	}
}

// acquire waits while too many requests are in flight, and counts the request as delayed if
// it had to wait. It returns false if ctx ended first.
func (e *runner) acquire(ctx context.Context) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	e.delayed.Add(1)
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		e.unsent.Add(1)
		return false
	}
}

// send sends one request and records its result, even after ctx has ended.
func (e *runner) send(ctx context.Context, r Request) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	result := e.do(ctx, r)
	took := time.Since(r.Due)
	<-e.slots
	e.stats.record(r.Service, result, took)
}
