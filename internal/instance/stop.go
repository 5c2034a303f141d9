package instance

import (
	"context"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/invariant"
)

// stopPollInterval is the time between two checks whether a planned stop is complete.
const stopPollInterval = 20 * time.Millisecond

// Stop performs a planned stop: peers and look-ups stop naming this instance, it keeps
// serving callers until their cached look-ups have expired, completes the requests in
// flight and hands its targets over. If ctx ends first, the remaining requests are aborted
// and Stop returns a *StopTimeoutError.
func (in *Instance) Stop(ctx context.Context) error {
	in.members.leave()
	in.dispatcher.Step(core.Stopping{})
	in.linger(ctx)
	open := in.waitIdle(ctx)
	in.cfg.Checks.Check(invariant.GracefulStop, open == 0, func() string {
		return in.cfg.ID + " stopped with requests in flight"
	})
	in.Kill()
	if open > 0 {
		return &StopTimeoutError{Requests: open}
	}
	return nil
}

// linger waits until no caller can still have a cached look-up that names this instance, or
// for Config.Linger if a peer does not report when its look-ups expire.
func (in *Instance) linger(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, in.cfg.Linger)
	defer cancel()
	for ctx.Err() == nil {
		sleep(ctx, stopPollInterval)
		until, known := in.members.lastLookupExpiry()
		var ownExpiry time.Time
		in.dispatcher.WithNode(func(_ time.Time, n *core.Node) { ownExpiry, _ = n.LookupValidUntil(in.cfg.ID) })
		if now := in.now(); known && !now.Before(until) && !now.Before(ownExpiry) {
			return
		}
	}
}

// waitIdle waits until no request is in flight. It returns how many were when ctx ended.
func (in *Instance) waitIdle(ctx context.Context) int {
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for {
		open, idle := in.openRequests()
		if idle || (open == 0 && ctx.Err() != nil) {
			return 0
		}
		select {
		case <-ctx.Done():
			open, _ := in.openRequests()
			return open
		case <-t.C:
		}
	}
}

func (in *Instance) openRequests() (int, bool) {
	var open int
	var idle bool
	in.dispatcher.WithNode(func(_ time.Time, n *core.Node) { open, idle = n.InFlight(), n.Idle() })
	return open, idle
}

// StopTimeoutError reports that a planned stop timed out with requests in flight.
type StopTimeoutError struct{ Requests int }

func (e *StopTimeoutError) Error() string {
	return "instance: planned stop timed out with requests in flight"
}
