package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/quota"
)

// gaugeInterval is how often the gauges are updated: as often as the library reports them.
const gaugeInterval = 5 * time.Second

// updateGauges updates the gauges until ctx ends.
func (n *Node) updateGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		resumed := boottime.Resumed()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.crashes.expire(boottime.Now())
			n.cfg.Metrics.SetEdgeGauges(n.gauges(boottime.Now()))
		case <-resumed:
			n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "resumed"})
			n.cfg.Log.Warn("machine was suspended", "total", boottime.Suspended(), "store-age", n.mirror.Age(boottime.Now()))
		}
	}
}

// gauges returns the values of the gauges.
func (n *Node) gauges(at time.Time) metrics.EdgeGauges {
	e := metrics.EdgeGauges{
		Ready: n.Ready(), Partitioned: n.partition.partitioned(), Connections: n.server.ConnCount(), Accepted: n.resources.accepted.Open(), AcceptedLimit: n.resources.accepted.Limit(), Instances: len(n.instances.names()),
		Revision: n.mirror.Revision().Count(), Epoch: n.store.Epoch(), StoreAge: n.mirror.Age(at), OverloadShare: n.cfg.Overload.Share(),
		BodyBytes: n.resources.budget.Held(), BodyLimit: n.resources.budget.Limit(), Bounds: n.boundGauges(at),
	}
	counts := n.targetCounts()
	e.TargetsStored, e.ItemsKept, e.ItemsHidden = counts.stored.Targets, counts.stored.Kept, counts.stored.Hidden
	e.RedundantDropped = n.redundantDropped.Load()
	current := n.rules.Load()
	if current == nil {
		return e
	}
	e.ConfigVersion = current.Config().Version
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(current.Config().Services)) {
		all, usable := n.fleet.CountTargets(at, name)
		needed, room := n.fleet.KeptNeeded(name)
		e.Services = append(e.Services, metrics.EdgeService{Name: name, Targets: all, Usable: usable, Admitted: n.fleet.AdmittedShares(name), Kept: n.fleet.Kept(name).Keeps, Room: room, Needed: needed, Placement: metrics.Placement(n.fleet.PlacementStats(name))})
	}
	return e
}

// boundGauges returns the values of the gauges of the bounds over all instances.
func (n *Node) boundGauges(at time.Time) []metrics.Bound {
	var q quota.Usage
	n.quotas.WithLedger(func(l *quota.Ledger) { q = l.Usage(at) })
	bounds := []metrics.Bound{{Name: quotaBound, Share: q.Share, Used: q.Used, Lent: q.Lent, Lost: q.Lost}}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, u := range n.fleet.BoundUsages(at) {
		bounds = append(bounds, metrics.Bound{Name: u.Bound, Service: u.Service, Share: u.Share, Used: u.Used, Lost: u.Lost})
	}
	return bounds
}

// quotaBound is the label of the quotas of workspaces.
const quotaBound = "quotas"
