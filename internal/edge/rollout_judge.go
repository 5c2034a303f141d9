package edge

import (
	"context"
	"errors"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/mirror"
	"github.com/firlever/firlever/internal/rollout"
	"github.com/firlever/firlever/platform"
)

// maxCollectors is how many instances of a region may collect: its relays.
const maxCollectors = mirror.MaxRelays

// decide decides about a rollout from what all regions have counted, and writes its status if that
// has changed or the store lacks it. Any collector may decide: which status holds is settled by the
// condition of the write.
func (t *rolloutTracker) decide(ctx context.Context, service string) {
	now := boottime.Now()
	n := t.node
	n.mu.Lock()
	versions := n.fleet.VersionCounts(now, service)
	n.mu.Unlock()
	known := len(n.instances.names())
	t.mu.Lock()
	r := t.byService[service]
	next := r.status
	in := rollout.Input{
		Schedule: r.order.Schedule, Now: now, Counts: r.totals(),
		HadOld: versions.HadOld, OldSlots: versions.OldSlots, NewSlots: versions.NewSlots, Latency: versions.Latency, Unsettled: known,
	}
	for _, s := range r.regions {
		in.Unsettled -= s.Settled
		in.OldInFlight += s.OldInFlight
	}
	if phase, reason := rollout.Decide(next.Phase, in); phase != next.Phase {
		next.Phase, next.Reason = phase, reason
	}
	write := next != r.status || r.needsWrite()
	record := r.record()
	record.Status = next
	order, barredKnown := r.order, r.barredKnown
	t.mu.Unlock()
	if !write {
		return
	}
	if err := t.writeStatus(ctx, now, order, record, barredKnown); err != nil {
		n.cfg.Metrics.CountPlatformFailure("rollouts")
		n.cfg.Log.Warn("rollout status not written", "service", service, "phase", next.Phase, "reason", next.Reason, "err", err)
	}
}

// writeStatus writes the status of an order, unless the store has one of the same order that it doesn't
// follow: that one is put in force here. barredKnown is whether the status tells what is barred;
// otherwise that follows from the status that it replaces.
func (t *rolloutTracker) writeStatus(ctx context.Context, now time.Time, order rollout.Order, next rollout.Record, barredKnown bool) error {
	key := platform.RolloutStatusPrefix + order.Service
	item, err := t.node.store.Get(ctx, key)
	var missing *platform.MissingError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	if err == nil {
		stored, err := platform.DecodeRolloutStatus(key, item.Value)
		switch {
		case err != nil:
		case stored.Order == next.Order && !next.Follows(stored.Status):
			t.markStored(now, order.Service, stored)
			return nil
		case item.Changed.Epoch() == order.Epoch && rollout.LaterOrder(stored.Order, next.Order):
			return &SupersededError{Order: next.Order, By: stored.Order}
		case stored.Order != next.Order && !barredKnown:
			next.Barred = stored.BarredNext(next.Version)
		case stored.Order == next.Order && stored.Barred != nil:
			next.Barred = stored.Barred
		}
	}
	value, err := platform.EncodeRolloutStatus(order.Service, next)
	if err != nil {
		return err
	}
	txn := platform.Txn{
		If:  []platform.Condition{{Key: key, Changed: item.Changed}},
		Put: []platform.Write{{Key: key, Value: value}},
	}
	if _, err := t.node.store.Do(ctx, txn); err != nil {
		return err
	}
	t.markStored(now, order.Service, next)
	return nil
}

// SupersededError reports that the status of a rollout is not written, as the store has that of a later
// order, which this instance doesn't know yet.
type SupersededError struct{ Order, By string }

func (e *SupersededError) Error() string { return "order " + e.Order + " is followed by " + e.By }

// markStored records that the store has a status, and puts it in force.
func (t *rolloutTracker) markStored(now time.Time, service string, s rollout.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byService[service]
	if r == nil || r.order.ID != s.Order {
		return
	}
	r.stored = s
	t.adopt(now, r, s)
}
