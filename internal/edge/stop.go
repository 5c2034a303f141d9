package edge

import (
	"context"
	"time"

	"github.com/firlever/firlever/internal/boottime"
)

// Stop stops in plan: it leaves the look-ups, serves on until callers have asked
// again, then finishes what is in flight. It returns when all is done, or shortly
// before the platform would kill the process.
func (n *Node) Stop() {
	begin := boottime.Now()
	deadline := begin.Add(n.bounds.Load().Grace - stopMargin)
	taken := begin.Add(keptLonger * n.ttl())
	n.taken.Store(&taken)
	n.stopping.Store(true)
	n.cfg.Log.Info("stopping", "deadline", deadline, "connections", n.server.Open())
	ctx, cancel := context.WithDeadline(context.Background(), boottime.Runtime(deadline))
	defer cancel()
	n.registrar.leaving <- struct{}{}
	boottime.Sleep(ctx, begin.Add(leaveTime))
	n.server.Drain()
	boottime.Sleep(ctx, taken.Add(leaveTime))
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
	n.cfg.Log.Info("stopped", "took", boottime.Since(begin), "connections", n.server.Open(), "err", err)
}

// tooLate says whether a request has come when a stopping instance takes none any more:
// its callers have been told of others by then, and what is begun so late may not end
// within the grace. With the store away nobody could be told: a request that was read
// 3.2 s after the signal, with 6 s of grace, was cut 2 s later.
func (n *Node) tooLate(at time.Time) bool {
	taken := n.taken.Load()
	return taken != nil && at.After(*taken)
}
