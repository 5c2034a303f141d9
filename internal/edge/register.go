package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/platform"
)

// registrar keeps this instance's record in the store while it runs. Its state is used only by
// the goroutine of run, and by deregister after that.
type registrar struct {
	node        *Node
	leaving     chan struct{}     // asks run to write that this instance is leaving
	check       chan struct{}     // asks run to check the record soon
	update      chan struct{}     // asks run to write the record if it has changed
	lease       platform.Lease    // zero if there is none
	recordBytes []byte            // the record under lease
	revision    platform.Revision // of the record
	partitioned bool              // as written in the record
	changes     int               // records written in this run
	failing     bool              // the last call failed
	written     atomic.Int64      // number of the last record of this run; 0 before the first
	doubted     atomic.Bool       // the store was seen to have another record, or none
}

func newRegistrar(n *Node) *registrar {
	return &registrar{node: n, leaving: make(chan struct{}, 1), check: make(chan struct{}, 1), update: make(chan struct{}, 1)}
}

// run registers the instance and renews its lease until ctx ends.
func (r *registrar) run(ctx context.Context) {
	for {
		start := boottime.Now()
		resumed := boottime.Resumed() // after a suspension of the machine the lease may have expired
		err := r.renewOrRegister(ctx)
		r.recordOutcome(err)
		if err == nil {
			r.node.confirmShares(start)
		}
		due := r.nextRenewal(start, err)
		for waiting := true; waiting; {
			waiting = false
			select {
			case <-ctx.Done():
				return
			case <-r.leaving:
				r.writeLeaving(ctx)
			case <-r.check:
				due, waiting = r.dueSoon(due), true
			case <-r.update:
				r.writePartition(ctx)
				waiting = true
			case <-resumed:
			case <-time.After(boottime.Until(due)):
			}
		}
	}
}

// confirmShares keeps this instance's shares of the bounds: the store had its record at a time.
func (n *Node) confirmShares(recorded time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.ConfirmShares(boottime.Now(), recorded)
}

// dueSoon returns when to check the registration, at the latest when it is due anyway. The time is
// random, as all instances observe a restore of the store at once.
func (r *registrar) dueSoon(due time.Time) time.Time {
	if at := boottime.Now().Add(rand.N(restoreSpread)); at.Before(due) {
		return at
	}
	return due
}

// observe checks whether a change of this instance's record is one that it has made. A write that the
// store executes late replaces a newer record, and goes when its own lease ends.
func (r *registrar) observe(stored record, removed bool) {
	written := r.written.Load()
	own := !removed && stored.Run == r.node.processStart && int64(stored.Change) >= written
	if written == 0 || own {
		return
	}
	r.doubted.Store(true)
	r.checkSoon()
}

// checkSoon asks run to check the registration, as the store may have lost it.
func (r *registrar) checkSoon() {
	select {
	case r.check <- struct{}{}:
	default:
	}
}

// updateSoon asks run to write the record if this instance has begun or ceased to reach targets.
func (r *registrar) updateSoon() {
	select {
	case r.update <- struct{}{}:
	default:
	}
}

// writePartition writes whether this instance reaches targets, if the record says otherwise. The time
// of the write is random, as many instances may be partitioned at once. The next renewal tries again
// if it fails.
func (r *registrar) writePartition(ctx context.Context) {
	if r.lease.IsZero() {
		return
	}
	boottime.Sleep(ctx, boottime.Now().Add(rand.N(partitionSpread)))
	if ctx.Err() != nil || !r.outdated() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := r.write(ctx, r.lease, r.node.stopping.Load())
	if platform.LeaseLost(err) {
		r.lease = platform.Lease{}
	}
	if err != nil {
		r.node.cfg.Log.Warn("partition not written", "partitioned", r.node.partition.partitioned(), "err", err)
	}
}

// outdated reports whether the record says otherwise than that this instance reaches targets or not.
func (r *registrar) outdated() bool { return r.partitioned != r.node.partition.partitioned() }

// nextRenewal returns when to renew after an attempt.
func (r *registrar) nextRenewal(start time.Time, err error) time.Time {
	if err != nil {
		return start.Add(renewRetry)
	}
	return start.Add(time.Duration(float64(r.node.cfg.leaseDuration()) / renewalsPerLease))
}

// renewOrRegister renews the lease, or obtains a new one and writes the record under it.
func (r *registrar) renewOrRegister(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if !r.lease.IsZero() {
		kept, err := r.renew(ctx)
		if err == nil && kept && r.outdated() {
			return r.write(ctx, r.lease, r.node.stopping.Load())
		}
		if err != nil || kept {
			return err
		}
		r.lease = platform.Lease{}
	}
	lease, err := r.node.store.Grant(ctx, r.node.cfg.leaseDuration())
	if err != nil {
		return err
	}
	return r.write(ctx, lease, r.node.stopping.Load())
}

// renew renews the lease. It returns whether the record still exists under it.
func (r *registrar) renew(ctx context.Context) (bool, error) {
	err := r.node.store.Renew(ctx, r.lease)
	var restored *platform.EpochError
	switch {
	case errors.As(err, &restored):
		return r.verify(ctx)
	case platform.LeaseLost(err):
		r.node.cfg.Log.Warn("lease ended", "lease", r.lease.Number())
		return false, nil
	}
	if err == nil && r.doubted.Swap(false) {
		kept, err := r.verify(ctx)
		if err != nil {
			r.doubted.Store(true)
		}
		return kept, err
	}
	return err == nil, err
}

// verify returns whether the store has the record as it was written, under its lease. The lease's
// number proves nothing, as a store that was restored from a snapshot may have given it to another
// writer since.
func (r *registrar) verify(ctx context.Context) (bool, error) {
	item, err := r.node.store.Get(ctx, r.key())
	var missing *platform.MissingError
	if err != nil && !errors.As(err, &missing) {
		return false, err
	}
	kept := err == nil && item.Lease.Number() == r.lease.Number() && bytes.Equal(item.Value, r.recordBytes)
	if kept {
		r.lease, r.revision = item.Lease, item.Changed
	}
	r.node.cfg.Log.Info("registration verified", "kept", kept, "lease", r.lease.Number(), "revision", item.Changed)
	return kept, nil
}

// key returns the store key of this instance's record.
func (r *registrar) key() string { return instancePrefix + r.node.cfg.Settings.Instance }

func (r *registrar) write(ctx context.Context, lease platform.Lease, leaving bool) error {
	s := &r.node.cfg.Settings
	partitioned := r.node.partition.partitioned()
	r.changes++
	value, err := json.Marshal(record{
		Callers: s.Callers, Peers: r.node.peerAddress, Domain: s.Domain, Region: s.Region,
		Cores: s.Cores, Link: s.LinkMbps, Leaving: leaving, Run: r.node.processStart,
		HandOffs: r.node.handOffAddress, Partitioned: partitioned, Change: r.changes,
	})
	if err != nil {
		return err
	}
	changed, err := r.node.store.Do(ctx, platform.Txn{Put: []platform.Write{{Key: r.key(), Value: value, Lease: lease}}})
	if err != nil {
		return err
	}
	r.lease, r.recordBytes, r.revision, r.partitioned = lease, value, changed, partitioned
	r.written.Store(int64(r.changes))
	return nil
}

// countStoreCall counts a call to the store, by its kind and outcome.
func (n *Node) countStoreCall(kind platform.Call, err error) {
	end := "done"
	if err != nil {
		end = "failed"
	}
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "store-" + string(kind), Reason: end})
}

// recordOutcome counts failed renewals, and logs when they begin and when they end.
func (r *registrar) recordOutcome(err error) {
	switch {
	case err != nil:
		r.node.cfg.Metrics.CountPlatformFailure("lease")
		if !r.failing {
			r.node.cfg.Log.Warn("lease not renewed", "err", err)
			r.node.neighbors.storeLost()
		}
		r.failing = true
	case r.failing:
		r.failing = false
		r.node.neighbors.storeBack()
		r.node.cfg.Log.Info("lease renewed again")
	}
}

// writeLeaving writes that this instance takes no new callers. Without a lease, the next
// registration writes it.
func (r *registrar) writeLeaving(ctx context.Context) {
	if r.lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := r.write(ctx, r.lease, true)
	if platform.LeaseLost(err) {
		r.lease = platform.Lease{}
	}
	if err != nil {
		r.node.cfg.Log.Warn("leaving not written", "err", err)
	}
}

// deregister removes the record. The lease is left to expire: ending it by number could end another
// writer's lease, if the store was restored from a snapshot meanwhile.
func (r *registrar) deregister(ctx context.Context) {
	if r.lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	_, err := r.node.store.Do(ctx, platform.Txn{
		If: []platform.Condition{{Key: r.key(), Changed: r.revision}}, Remove: []string{r.key()},
	})
	if err != nil {
		r.node.cfg.Log.Warn("instance record not removed", "err", err)
	}
}
