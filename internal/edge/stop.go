package edge

import (
	"context"
	"time"
)

// Stop stops in plan: it leaves the look-ups, serves on until callers have asked
// again, then finishes what is in flight. It returns when all is done, or shortly
// before the platform would kill the process.
func (n *Node) Stop() {
	begin := time.Now()
	deadline := begin.Add(n.bounds.Load().Grace - stopMargin)
	n.stopping.Store(true)
	n.cfg.Log.Info("stopping", "deadline", deadline, "connections", n.server.Open())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.registrar.leaving <- struct{}{}
	wait(ctx, begin.Add(leaveTime))
	n.server.Drain()
	wait(ctx, begin.Add(leaveTime+keptLonger*n.ttl()))
	n.callers.Close()
	n.server.CloseIdle()
	err := n.server.Wait(ctx)
	n.cancel()
	n.work.Wait()
	n.registrar.end(context.Background())
	for _, server := range n.web {
		server.Close()
	}
	n.pool.Close()
	n.cfg.Log.Info("stopped", "took", time.Since(begin), "connections", n.server.Open(), "err", err)
}

// wait waits until a time, or until ctx ends.
func wait(ctx context.Context, until time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
}
