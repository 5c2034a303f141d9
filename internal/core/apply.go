package core

import (
	"slices"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/block"
	"github.com/firlever/firlever/internal/grant"
	"github.com/firlever/firlever/internal/health"
	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/partition"
	"github.com/firlever/firlever/internal/queue"
	"github.com/firlever/firlever/internal/retry"
	"github.com/firlever/firlever/pkg/settings"
)

// build creates the components of a new node.
func (n *Node) build() error {
	c := n.cfg
	var err error
	n.owners, err = owner.New(owner.Config{
		Self: c.Instance, Incarnation: c.Incarnation, Place: c.Place,
		Term: c.Term, Skew: c.Skew, Lag: c.Lag, ListProves: c.ListProves, Checks: c.Checks,
	})
	if err != nil {
		return err
	}
	keys := once.Defaults()
	keys.Records = c.Keys
	issuer, err := once.NewIssuer(c.Instance, c.Incarnation, c.Secret, newKeyRand(c.Seed))
	if err != nil {
		return err
	}
	n.once = once.New(keys, issuer, c.Checks)
	waiting := queue.Defaults()
	waiting.Length = c.Queue
	n.queue = queue.New(waiting)
	n.blocks = block.New()
	n.grants, err = grant.NewTable(grant.Config{Skew: c.Skew, Checks: c.Checks})
	if err != nil {
		return err
	}
	n.retry, err = retry.NewPolicy(retry.Config{})
	return err
}

func compareTargets(a, b owner.TargetKey) int {
	if c := a.Service.Compare(b.Service); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

// applySnapshot puts a new snapshot in force.
func (n *Node) applySnapshot(now time.Time, s *settings.Snapshot) {
	old := n.snapshot
	n.snapshot = s
	n.applyBlocks(old, s)
	specs := n.specs(s)
	n.owners.SetSpecs(now, specs)
	n.applyTargets(now, specs)
	n.applyServices(now, s)
	n.applyShares(s)
	n.serveQueue(now)
}

// mayBeBehind reports whether the settings may lack a document that is in force elsewhere.
func (n *Node) mayBeBehind(now time.Time) bool { return !now.Before(n.confirmedUntil) }

// applyBlocks applies the block documents that differ from those in force.
func (n *Node) applyBlocks(old, s *settings.Snapshot) {
	previous := make(map[string]settings.BlockDocument)
	if old != nil {
		for _, doc := range old.BlockDocuments() {
			previous[doc.Path] = doc
		}
	}
	for _, doc := range s.BlockDocuments() {
		before, ok := previous[doc.Path]
		delete(previous, doc.Path)
		if !ok || !before.Same(doc) {
			n.updateBlocks(doc.Path, doc.Blocks)
		}
	}
	for path := range previous {
		n.updateBlocks(path, nil)
	}
}

// updateBlocks replaces one document's blocks. If the table is full, it keeps the old
// ones: routing a caller by an outdated block is better than by none.
func (n *Node) updateBlocks(path string, blocks []settings.Block) {
	if table, err := n.blocks.Update(path, blocks); err == nil {
		n.blocks = table
	}
}

// specs computes the place's targets and the slots and quota of each.
func (n *Node) specs(s *settings.Snapshot) []owner.Spec {
	var specs []owner.Spec
	for _, id := range s.Services() {
		service, _ := s.Service(id)
		if site, ok := service.Site(n.cfg.Place); ok {
			specs = append(specs, n.siteSpecs(s, service, site)...)
		}
	}
	place, _ := s.Place(n.cfg.Place)
	allowances := make([]int, len(specs))
	for i, spec := range specs {
		allowances[i] = spec.Allowance
	}
	for i, quota := range owner.Quotas(place.Limit, allowances) {
		specs[i].Quota = quota
	}
	return specs
}

func (n *Node) siteSpecs(s *settings.Snapshot, service *settings.CompiledService, site settings.Site) []owner.Spec {
	id := service.ID()
	drained := s.PlaceDrained(id, n.cfg.Place)
	allowances := owner.Allowances(site)
	specs := make([]owner.Spec, 0, len(site.Targets))
	for i, t := range site.Targets {
		specs = append(specs, owner.Spec{
			Key:       owner.TargetKey{Service: id, Name: t.Name},
			Address:   t.Address,
			Allowance: allowances[i],
			Timeout:   service.Timeout(),
			Drained:   drained || s.TargetDrained(id, t.Name),
		})
	}
	return specs
}

// applyTargets removes targets that are no longer declared and schedules an immediate
// probe of new ones.
func (n *Node) applyTargets(now time.Time, specs []owner.Spec) {
	n.probeAt = now
	kept := make(map[owner.TargetKey]string, len(specs))
	for _, spec := range specs {
		kept[spec.Key] = spec.Address
		if _, ok := n.addresses[spec.Key]; !ok {
			n.probes[spec.Key] = now
		}
	}
	for key := range n.addresses {
		if _, ok := kept[key]; !ok {
			delete(n.probes, key)
		}
	}
	n.addresses = kept
}

// applyServices updates the state of each service. Targets that exist in the first
// snapshot count as warm, since the instance is new and they are not.
func (n *Node) applyServices(now time.Time, s *settings.Snapshot) {
	for id := range n.services {
		if _, ok := s.Service(id); !ok {
			delete(n.services, id)
			n.queue.Forget(id)
		}
	}
	for _, id := range s.Services() {
		compiled, _ := s.Service(id)
		site, _ := compiled.Site(n.cfg.Place)
		state := n.state(now, id)
		first := state.version == 0
		state.update(compiled, site, max(s.Version(settings.ServicePath(id)), 1))
		for _, key := range state.keys {
			state.health.Add(now, key, first)
		}
		n.updateCap(now, state)
	}
}

func (n *Node) applyShares(s *settings.Snapshot) {
	for _, name := range s.Teams() {
		n.queue.SetShare(name, s.Share(name))
	}
}

// capBasis is everything that the services' shift caps depend on besides the settings.
type capBasis struct {
	revision uint64 // of the slots that this instance may use
	lease    owner.LeaseState
}

// updateCaps recomputes the shift caps after a change of ownership or of the lease. Most
// ticks bring neither and cost nothing per service.
func (n *Node) updateCaps(now time.Time) {
	r := capBasis{revision: n.owners.Revision(now), lease: n.owners.LeaseState(now)}
	if r == n.capBasis {
		return
	}
	n.capBasis = r
	for _, id := range n.snapshot.Services() {
		n.updateCap(now, n.state(now, id))
	}
}

// probeDue probes the targets whose next probe is due.
func (n *Node) probeDue(now time.Time) {
	if now.Before(n.probeAt) {
		return
	}
	n.probeAt = now.Add(n.cfg.Probe)
	for _, key := range n.probedTargets(now) {
		due, ok := n.probes[key]
		if !ok {
			continue
		}
		if now.Before(due) {
			n.probeAt = earlier(n.probeAt, due)
			continue
		}
		n.probes[key] = now.Add(n.cfg.Probe)
		n.decide(Probe{Target: key, Address: n.addresses[key], Sent: now})
	}
}

// probeSoon makes a target's next probe due immediately.
func (n *Node) probeSoon(now time.Time, key owner.TargetKey) {
	if _, ok := n.probes[key]; ok {
		n.probes[key], n.probeAt = now, now
	}
}

// postponeProbe delays a target's next probe after an answer to a real request, which is
// better evidence. The baseline policies use the load that probes report, so they keep
// probing.
func (n *Node) postponeProbe(now time.Time, key owner.TargetKey) {
	if _, ok := n.probes[key]; ok && !n.baseline() {
		n.probes[key] = now.Add(n.cfg.Probe)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// probed processes the result of a probe.
func (n *Node) probed(now time.Time, ev Probed) {
	s, ok := n.services[ev.Target.Service]
	if !ok || !slices.Contains(s.keys, ev.Target) {
		return
	}
	if ev.Check {
		n.checked(now, ev)
		return
	}
	n.resolveAbort(now, ev)
	if ev.Err {
		n.recordUnreached(now, partition.Failure{Target: nameOf(ev.Target), Began: ev.Sent, Connect: ev.Refused})
		s.health.Observe(now, ev.Target, health.Failed, 0)
		return
	}
	n.targetResponded(now, ev.Target, ev.Sent)
	n.reports[ev.Target] = ev.Busy
	s.health.RecordReport(now, ev.Target, ev.Healthy, ev.Slots, ev.Busy)
	s.health.Probed(now, ev.Target, ev.Healthy)
	n.serveQueue(now)
}

// weight returns how many slots of a target this instance may use, given the target's
// health and notices.
func (n *Node) weight(now time.Time, key owner.TargetKey) int {
	if _, why := n.unavailableUntil(now, key); why != "" {
		return 0
	}
	s := n.state(now, key.Service)
	return s.health.Weight(now, key, s.limits[key])
}
