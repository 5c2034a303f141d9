package edge

import (
	"context"
	"time"

	"github.com/firlever/firlever/internal/boottime"
)

// Stop performs a planned stop: it leaves the look-ups, serves until callers have looked up again,
// and then finishes the requests in flight. It returns when all is done, or shortly before the
// platform would kill the process.
func (n *Node) Stop() {
	begin := boottime.Now()
	deadline := begin.Add(n.bounds.Load().Grace - stopMargin)
	acceptUntil := begin.Add(cacheOverrun * n.lookupTTL())
	n.acceptUntil.Store(&acceptUntil)
	n.stopping.Store(true)
	n.cfg.Log.Info("stopping", "deadline", deadline, "connections", n.server.ConnCount())
	ctx, cancel := context.WithDeadline(context.Background(), boottime.ToRuntime(deadline))
	defer cancel()
	n.registrar.leaving <- struct{}{}
	boottime.Sleep(ctx, begin.Add(leaveMargin))
	n.server.Drain()
	n.handOffServer.Drain()
	boottime.Sleep(ctx, acceptUntil.Add(leaveMargin))
	n.callerListener.Close()
	n.handOffLn.Close()
	n.server.CloseIdle()
	n.handOffServer.CloseIdle()
	err := n.server.Wait(ctx)
	if err == nil {
		err = n.handOffServer.Wait(ctx)
	}
	n.cancel()
	n.background.Wait()
	n.registrar.deregister(context.Background())
	for _, server := range n.webServers {
		server.Close()
	}
	n.pool.Close()
	n.partition.probes.Close()
	n.handOffs.pool.Close()
	n.cfg.Log.Info("stopped", "took", boottime.Since(begin), "connections", n.server.ConnCount(), "err", err)
}

// tooLate reports whether a request arrived after a stopping instance ceased to accept requests:
// by then its callers have other addresses, and late requests may not end within the grace period.
// While the store is unreachable, callers are not given other addresses: a request read 3.2 s after
// the signal, with 6 s of grace, was cut off 2 s later.
func (n *Node) tooLate(at time.Time) bool {
	acceptUntil := n.acceptUntil.Load()
	return acceptUntil != nil && at.After(*acceptUntil)
}
