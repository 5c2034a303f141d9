package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/platform"
)

// registrar keeps this instance's record in the store while it runs. Its state is
// used by the goroutine of run alone, and by end after that.
type registrar struct {
	node    *Node
	leaving chan struct{}  // tells run to write that this instance leaves
	lease   platform.Lease // zero: none
	lost    bool           // the last call failed
}

func newRegistrar(n *Node) *registrar {
	return &registrar{node: n, leaving: make(chan struct{}, 1)}
}

// run registers and renews until ctx ends.
func (r *registrar) run(ctx context.Context) {
	for {
		begun := boottime.Now()
		resumed := boottime.Resumed() // the lease may have ended when the machine goes on
		err := r.step(ctx)
		r.outcome(err)
		select {
		case <-ctx.Done():
			return
		case <-r.leaving:
			r.leave(ctx)
		case <-resumed:
		case <-time.After(boottime.Until(r.next(begun, err))):
		}
	}
}

// next is when to renew after a try.
func (r *registrar) next(begun time.Time, err error) time.Time {
	if err != nil {
		return begun.Add(renewRetry)
	}
	return begun.Add(time.Duration(float64(r.node.cfg.leaseTime()) / renewals))
}

// step renews the lease, or takes one and writes the record under it.
func (r *registrar) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if !r.lease.IsZero() {
		err := r.node.store.Keep(ctx, r.lease)
		if !platform.LeaseGone(err) {
			return err
		}
		r.node.cfg.Log.Warn("lease ended", "lease", r.lease.Number(), "err", err)
		r.lease = platform.Lease{}
	}
	lease, err := r.node.store.Grant(ctx, r.node.cfg.leaseTime())
	if err != nil {
		return err
	}
	if err := r.write(ctx, lease, r.node.stopping.Load()); err != nil {
		return err
	}
	r.lease = lease
	return nil
}

func (r *registrar) write(ctx context.Context, lease platform.Lease, leaving bool) error {
	s := &r.node.cfg.Settings
	value, err := json.Marshal(record{
		Callers: s.Callers, Peers: r.node.peers, Domain: s.Domain, Region: s.Region,
		Cores: s.Cores, Link: s.LinkMbps, Leaving: leaving, Run: r.node.started,
	})
	if err != nil {
		return err
	}
	_, err = r.node.store.Do(ctx, platform.Txn{
		Put: []platform.Write{{Key: instancePrefix + s.Instance, Value: value, Lease: lease}},
	})
	return err
}

// called counts a call to the store, by its kind and how it ended.
func (n *Node) called(kind platform.Call, err error) {
	end := "done"
	if err != nil {
		end = "failed"
	}
	n.cfg.Metrics.Decided(metrics.Decision{Kind: "store-" + string(kind), Reason: end})
}

// outcome notes whether the lease could be renewed.
func (r *registrar) outcome(err error) {
	switch {
	case err != nil:
		r.node.cfg.Metrics.PlatformFailed("lease")
		if !r.lost {
			r.node.cfg.Log.Warn("lease not renewed", "err", err)
		}
		r.lost = true
	case r.lost:
		r.lost = false
		r.node.cfg.Log.Info("lease renewed again")
	}
}

// leave writes that this instance takes no new callers. Without a lease, the next
// step writes it.
func (r *registrar) leave(ctx context.Context) {
	if r.lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := r.write(ctx, r.lease, true); err != nil {
		r.node.cfg.Log.Warn("leaving not written", "err", err)
	}
}

// end gives the lease up; the record goes with it.
func (r *registrar) end(ctx context.Context) {
	if r.lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	if err := r.node.store.End(ctx, r.lease); err != nil {
		r.node.cfg.Log.Warn("lease not ended", "err", err)
	}
}
