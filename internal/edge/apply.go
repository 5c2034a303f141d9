package edge

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/mirror"
	"github.com/firlever/firlever/internal/quota"
	"github.com/firlever/firlever/internal/routes"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

// Changed applies changes of the store. The operator's and those of rollouts come first, in the order
// in which they were made: a batch may hold thousands of registrations besides, which take seconds on
// a small machine.
func (n *Node) Changed(changes []mirror.Change) {
	slices.SortStableFunc(changes, func(a, b mirror.Change) int {
		first, second := comesFirst(a.Key), comesFirst(b.Key)
		if first && second {
			return a.Changed.Compare(b.Changed)
		}
		return boolToInt(second) - boolToInt(first)
	})
	now := boottime.Now()
	instances := false
	var crashChanges []mirror.Change
	for _, c := range changes {
		id, isTarget := platform.TargetID(c.Key)
		domain, isEvacuation := platform.EvacuatedDomain(c.Key)
		switch {
		case c.Key == platform.ConfigKey:
			n.applyConfig(now, c)
		case isTarget:
			n.applyTarget(now, id, c)
		case isEvacuation:
			n.applyEvacuation(now, domain, c)
		case isCrashKey(c.Key):
			crashChanges = append(crashChanges, c)
		case isRolloutKey(c.Key):
			n.rollouts.apply(now, c)
		case strings.HasPrefix(c.Key, instancePrefix):
			n.applyInstance(now, c)
			instances = true
		}
	}
	if instances {
		n.applyPeers(now)
	}
	if crashChanges != nil {
		n.crashes.apply(crashChanges)
	}
}

// comesFirst reports whether changes of a key are applied before others.
func comesFirst(key string) bool { return platform.IsOperatorKey(key) || isRolloutKey(key) }

// Listed is called when the whole store has been read for the first time.
func (n *Node) Listed() {
	now := boottime.Now()
	n.applyPeers(now)
	n.mu.Lock()
	n.fleet.StartShares(now, !n.hadRecord)
	n.mu.Unlock()
	n.quotas.WithLedger(func(l *quota.Ledger) { l.StartFilling(now, !n.hadRecord) })
	n.storeListed.Store(true)
	n.cfg.Log.Info("store listed", "resumed", n.hadRecord)
}

// ListRead records the result of a complete read of the store.
func (n *Node) ListRead(r mirror.ListResult) {
	if r.Behind > 0 {
		n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "store-items", Reason: "behind"})
	}
	suppressed, ok := n.failureLimiter.Allow(boottime.Now())
	if !ok {
		return
	}
	n.cfg.Log.Info("store read", "revision", r.Revision, "known", r.PreviousRevision, "items", r.Items, "changes", r.Changes,
		"behind", r.Behind, "suppressed", suppressed)
}

// HistoryGone is called when the store no longer has the changes since a revision.
func (n *Node) HistoryGone(since platform.Revision) {
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "store-history", Reason: "gone"})
	if suppressed, ok := n.failureLimiter.Allow(boottime.Now()); ok {
		n.cfg.Log.Warn("store history gone", "since", since, "epoch", n.store.Epoch(), "suppressed", suppressed)
	}
}

// Restored is called when the store has been restored from a snapshot.
func (n *Node) Restored(known platform.Revision, epoch uint64) {
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "store-restored"})
	n.cfg.Log.Warn("store restored", "known", known, "epoch", epoch)
	n.registrar.checkSoon()
	n.rollouts.storeRestored()
}

// FollowingPeer is called when a peer is followed because the store is unreachable.
func (n *Node) FollowingPeer(address string) {
	n.cfg.Log.Info("store followed through a peer", "peer", address)
}

// RelayFailed is called when the region's relay has failed and is not followed for a while.
func (n *Node) RelayFailed(err error) {
	n.cfg.Metrics.CountPlatformFailure("relay")
	n.cfg.Log.Warn("relay lost", "revision", n.mirror.Revision(), "store-age", n.mirror.Age(boottime.Now()), "err", err)
}

// largeDelivery is how many changes are logged when they are received.
const largeDelivery = 500

// Received records data of the store, before it is applied.
func (n *Node) Received(d mirror.Delivery) {
	n.delivery = d
	kind := "peer"
	if d.From == "" {
		kind = "store"
	}
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "store-data", Reason: kind})
	if d.Changes < largeDelivery {
		return
	}
	if suppressed, ok := n.failureLimiter.Allow(boottime.Now()); ok {
		n.cfg.Log.Info("store data", "from", d.From, "whole", d.Whole, "changes", d.Changes, "revision", d.Revision, "age", d.Age, "took", d.Took, "suppressed", suppressed)
	}
}

// PeersGivenUp is called when this instance found no data at other instances.
func (n *Node) PeersGivenUp(g mirror.GivenUp) {
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "store-data", Reason: "not-at-peers"})
	n.cfg.Log.Warn("no data from other instances", "polls", g.Polls, "answered", g.Answered, "waited", g.Waited)
}

// DroppedRedundant counts changes of the store that were not applied.
func (n *Node) DroppedRedundant(changes int) { n.redundantDropped.Add(int64(changes)) }

// Answered counts an answer to a peer.
func (n *Node) Answered(kind mirror.AnswerKind) {
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "relay-answer", Reason: string(kind)})
}

// AnswerFailed is called when an answer to a peer could not be made.
func (n *Node) AnswerFailed(err error) { n.cfg.Log.Error("answer to peer failed", "err", err) }

// Unreachable is called when the store has become unreachable. The cached state stays in use.
func (n *Node) Unreachable(err error) {
	n.cfg.Metrics.CountPlatformFailure("watch")
	n.cfg.Log.Warn("store lost", "err", err)
}

// Reachable is called when the store is reachable again.
func (n *Node) Reachable() { n.cfg.Log.Info("store regained") }

// applyConfig puts a configuration in force, unless its version is lower than that in force.
func (n *Node) applyConfig(now time.Time, c mirror.Change) {
	if c.Removed {
		n.cfg.Log.Warn("configuration removed; the previous one stays in force")
		return
	}
	cfg, err := platform.DecodeConfig(c.Value)
	if err == nil {
		err = cfg.Validate(n.regions())
	}
	if err != nil {
		n.cfg.Log.Error("configuration unreadable; the previous one stays in force", "revision", c.Changed, "err", err)
		return
	}
	if old := n.rules.Load(); old != nil && cfg.Version < old.Config().Version {
		n.cfg.Log.Warn("configuration older than the one in force", "version", cfg.Version, "in-force", old.Config().Version)
		return
	}
	n.mu.Lock()
	n.fleet.SetServices(now, cfg.Services)
	n.mu.Unlock()
	n.quotas.WithLedger(func(l *quota.Ledger) { l.SetLimits(quotaLimits(&cfg)) })
	n.rules.Store(newRules(cfg))
	n.cfg.Log.Info("configuration in force", "version", cfg.Version, "revision", c.Changed,
		"routes", len(cfg.Routes), "services", len(cfg.Services), "workspaces", len(cfg.Workspaces),
		"from", n.delivery.From, "changes", n.delivery.Changes, "store-age", n.delivery.Age, "took", n.delivery.Took)
}

// regions returns the regions of the deployment.
func (n *Node) regions() routes.Regions {
	return slices.Compact(slices.Sorted(maps.Values(n.cfg.Settings.Regions)))
}

func (n *Node) applyTarget(now time.Time, id string, c mirror.Change) {
	if c.Removed {
		n.removeTarget(id)
		if suppressed, ok := n.changeLimiter.Allow(now); ok {
			n.cfg.Log.Info("target gone", "target", id, "revision", c.Changed, "suppressed", suppressed)
		}
		return
	}
	r, err := platform.DecodeRegistration(c.Item)
	if err == nil && n.cfg.Settings.Regions[r.Domain] == "" {
		err = &platform.RegistrationError{Key: c.Key, Reason: "failure domain " + r.Domain + " is not known"}
	}
	if err != nil {
		n.dropUnusable(now, id, c, err)
		return
	}
	t := targetOf(now, r)
	n.mu.Lock()
	change := n.fleet.Put(now, t)
	n.mu.Unlock()
	if change == steer.Restarted {
		n.pool.CloseTarget(id)
		n.crashes.targetRestarted(now, t)
	}
	suppressed, ok := n.changeLimiter.Allow(now)
	if !ok {
		return
	}
	n.cfg.Log.Info("target", "target", id, "change", change, "service", r.Service, "version", r.Version, "domain", r.Domain, "address", r.Address,
		"leaving", r.Leaving, "warm-in", r.WarmIn, "slots", r.Slots, "started", r.Started, "sequence", r.Sequence, "revision", c.Changed, "suppressed", suppressed)
}

// targetOf returns the target that a registration describes.
func targetOf(now time.Time, r platform.Registration) steer.Target {
	t := steer.Target{
		ID: r.ID, Started: r.Started, Sequence: r.Sequence, Service: r.Service, Version: r.Version, Address: r.Address,
		Domain: r.Domain, Slots: r.Slots, Leaving: r.Leaving,
	}
	if r.WarmIn > 0 {
		t.WarmAt = now.Add(r.WarmIn)
	}
	return t
}

// redundant reports whether a change of the store is a registration that says nothing new, neither
// here nor to a peer that takes the stored one from this instance.
func (n *Node) redundant(stored platform.Item, e platform.Event) bool {
	if _, ok := platform.TargetID(e.Key); !ok {
		return false
	}
	r, err := platform.DecodeRegistration(e.Item)
	if err != nil {
		return false // to be reported where it is applied
	}
	now := boottime.Now()
	n.mu.Lock()
	known := n.fleet.Redundant(now, targetOf(now, r))
	n.mu.Unlock()
	if !known {
		return false
	}
	old, err := platform.DecodeRegistration(stored)
	return err == nil && r.SameTarget(old)
}

// dropUnusable removes the target of a store entry that can't be used, as it is uncertain
// whether the last valid registration still holds. Other targets are not affected.
func (n *Node) dropUnusable(now time.Time, id string, c mirror.Change, err error) {
	n.removeTarget(id)
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "registration", Reason: "unusable"})
	if suppressed, ok := n.failureLimiter.Allow(now); ok {
		n.cfg.Log.Error("registration unusable", "key", c.Key, "revision", c.Changed, "suppressed", suppressed, "err", err)
	}
}

// removeTarget removes a target and drops the connections to it.
func (n *Node) removeTarget(id string) {
	n.mu.Lock()
	n.fleet.Remove(id)
	n.mu.Unlock()
	n.pool.CloseTarget(id)
}

func (n *Node) applyEvacuation(now time.Time, domain string, c mirror.Change) {
	if c.Removed {
		delete(n.evacuated, domain)
	} else {
		n.evacuated[domain] = true
	}
	domains := slices.Sorted(maps.Keys(n.evacuated))
	n.mu.Lock()
	n.fleet.Evacuate(now, domains)
	n.mu.Unlock()
	n.cfg.Log.Info("evacuation", "domain", domain, "over", c.Removed, "revision", c.Changed)
}

func (n *Node) applyInstance(now time.Time, c mirror.Change) {
	name := strings.TrimPrefix(c.Key, instancePrefix)
	own := name == n.cfg.Settings.Instance
	if c.Removed {
		n.instances.remove(name)
		if own {
			n.registrar.observe(record{}, true)
		}
		if suppressed, ok := n.changeLimiter.Allow(now); ok {
			n.cfg.Log.Info("instance gone", "name", name, "revision", c.Changed, "suppressed", suppressed)
		}
		return
	}
	r, err := decodeRecord(c.Value)
	if err != nil {
		n.cfg.Log.Error("instance record unreadable", "key", c.Key, "err", err)
		return
	}
	n.instances.put(name, r)
	if own {
		n.registrar.observe(r, false)
		n.hadRecord = n.hadRecord || r.Run != n.processStart || c.Created != c.Changed
	}
	if suppressed, ok := n.changeLimiter.Allow(now); ok {
		n.cfg.Log.Info("instance", "name", name, "domain", r.Domain, "leaving", r.Leaving, "revision", c.Changed, "suppressed", suppressed)
	}
}

func (n *Node) applyPeers(now time.Time) {
	names := append(n.instances.names(), n.cfg.Settings.Instance)
	n.mu.Lock()
	n.fleet.SetPeers(now, names)
	n.mu.Unlock()
	members := n.quotaMembers()
	n.quotas.WithLedger(func(l *quota.Ledger) { l.SetMembers(now, members) })
}
