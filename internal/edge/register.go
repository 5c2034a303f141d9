package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/platform"
)

// registrar keeps this instance's record in the store while it runs. Its state is
// used by the goroutine of run alone, and by end after that.
type registrar struct {
	node     *Node
	leaving  chan struct{}     // tells run to write that this instance leaves
	restored chan struct{}     // tells run that the store has come back from a copy
	lease    platform.Lease    // zero: none
	written  []byte            // the record under lease
	changed  platform.Revision // of the record
	lost     bool              // the last call failed
}

func newRegistrar(n *Node) *registrar {
	return &registrar{node: n, leaving: make(chan struct{}, 1), restored: make(chan struct{}, 1)}
}

// run registers and renews until ctx ends.
func (r *registrar) run(ctx context.Context) {
	for {
		begun := boottime.Now()
		resumed := boottime.Resumed() // the lease may have ended when the machine goes on
		err := r.step(ctx)
		r.outcome(err)
		due := r.next(begun, err)
		for waits := true; waits; {
			waits = false
			select {
			case <-ctx.Done():
				return
			case <-r.leaving:
				r.leave(ctx)
			case <-r.restored:
				due, waits = r.soon(due), true
			case <-resumed:
			case <-time.After(boottime.Until(due)):
			}
		}
	}
}

// soon is when to see to the registration after the store has come back from a copy, unless it
// is due before: all instances notice that at the same time.
func (r *registrar) soon(due time.Time) time.Time {
	if at := boottime.Now().Add(rand.N(restoreSpread)); at.Before(due) {
		return at
	}
	return due
}

// checkSoon has the registration seen to, as the store has come back from a copy.
func (r *registrar) checkSoon() {
	select {
	case r.restored <- struct{}{}:
	default:
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
		kept, err := r.renew(ctx)
		if err != nil || kept {
			return err
		}
		r.lease = platform.Lease{}
	}
	lease, err := r.node.store.Grant(ctx, r.node.cfg.leaseTime())
	if err != nil {
		return err
	}
	return r.write(ctx, lease, r.node.stopping.Load())
}

// renew renews the lease. It says whether the record is still there under it.
func (r *registrar) renew(ctx context.Context) (bool, error) {
	err := r.node.store.Keep(ctx, r.lease)
	var restored *platform.EpochError
	switch {
	case errors.As(err, &restored):
		return r.verify(ctx)
	case platform.LeaseGone(err):
		r.node.cfg.Log.Warn("lease ended", "lease", r.lease.Number())
		return false, nil
	}
	return err == nil, err
}

// verify says whether a store that came back from a copy still has the record as it was
// written, under its lease. The lease alone tells nothing: its number may be another's by now.
func (r *registrar) verify(ctx context.Context) (bool, error) {
	item, err := r.node.store.Get(ctx, r.key())
	var missing *platform.MissingError
	if err != nil && !errors.As(err, &missing) {
		return false, err
	}
	kept := err == nil && item.Lease.Number() == r.lease.Number() && bytes.Equal(item.Value, r.written)
	if kept {
		r.lease, r.changed = item.Lease, item.Changed
	}
	r.node.cfg.Log.Info("registration verified", "kept", kept, "lease", r.lease.Number(), "revision", item.Changed)
	return kept, nil
}

// key is that of this instance's record.
func (r *registrar) key() string { return instancePrefix + r.node.cfg.Settings.Instance }

func (r *registrar) write(ctx context.Context, lease platform.Lease, leaving bool) error {
	s := &r.node.cfg.Settings
	value, err := json.Marshal(record{
		Callers: s.Callers, Peers: r.node.peers, Domain: s.Domain, Region: s.Region,
		Cores: s.Cores, Link: s.LinkMbps, Leaving: leaving, Run: r.node.started,
	})
	if err != nil {
		return err
	}
	changed, err := r.node.store.Do(ctx, platform.Txn{Put: []platform.Write{{Key: r.key(), Value: value, Lease: lease}}})
	if err != nil {
		return err
	}
	r.lease, r.written, r.changed = lease, value, changed
	return nil
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
	err := r.write(ctx, r.lease, true)
	if platform.LeaseGone(err) {
		r.lease = platform.Lease{}
	}
	if err != nil {
		r.node.cfg.Log.Warn("leaving not written", "err", err)
	}
}

// end removes the record. The lease runs out by itself: to end it by its number could take
// away what is another's, if the store has come back from a copy meanwhile.
func (r *registrar) end(ctx context.Context) {
	if r.lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	_, err := r.node.store.Do(ctx, platform.Txn{
		If: []platform.Condition{{Key: r.key(), Changed: r.changed}}, Remove: []string{r.key()},
	})
	if err != nil {
		r.node.cfg.Log.Warn("record not removed", "err", err)
	}
}
