package edge

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/mirror"
	"github.com/firlever/firlever/internal/peerhttp"
	"github.com/firlever/firlever/internal/rollout"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

// rolloutPrefix is the prefix of the store keys under which the collector of a region writes what
// the region's instances have counted; a service and a region follow.
const rolloutPrefix = "firlever/rollouts/"

// rolloutTracker follows the operators' orders to roll out versions: it counts answers, tells the
// fleet which version may get requests, and writes the status of rollouts. It is safe for
// concurrent use.
type rolloutTracker struct {
	node   *Node
	client *peerhttp.Client
	wake   chan struct{} // wakes run
	active atomic.Bool   // some rollout is in the canary phase or being promoted

	mu        sync.Mutex
	byService map[string]*serviceRollout // guarded by mu
	early     map[string]rollout.Record  // by service: stored before an order is known; guarded by mu
}

// serviceRollout is the rollout of a service. Its fields are guarded by rolloutTracker.mu.
type serviceRollout struct {
	order       rollout.Order
	status      rollout.Status
	stored      rollout.Record // what the store has
	promotedAt  time.Time
	barred      []string // versions of earlier orders that were not completed; rollout.MaxBarred at most
	barredKnown bool     // barred follows from the final status of the order before, or from the store

	counts       rollout.Counts             // of answers to this instance; rollout.MaxCounts at most
	members      *rollout.Members           // reports to this instance
	regions      map[string]rollout.Summary // of the regions, from the store
	permitUntil  time.Time                  // canaries may get requests until then
	refusedSince map[string]time.Time       // collectors that give no permit, with the time since which they don't
	avoid        map[string]time.Time       // collectors that gave no permit, with the time until which they are not asked
}

func newRolloutTracker(n *Node) *rolloutTracker {
	return &rolloutTracker{node: n, wake: make(chan struct{}, 1), client: peerhttp.New("", 1, maxRolloutMessage), byService: make(map[string]*serviceRollout), early: make(map[string]rollout.Record)}
}

// isRolloutKey reports whether a store key is one that rolloutTracker applies.
func isRolloutKey(key string) bool {
	return strings.HasPrefix(key, platform.RolloutPrefix) || strings.HasPrefix(key, platform.RolloutStatusPrefix) ||
		strings.HasPrefix(key, rolloutPrefix)
}

// apply applies a change of a key that isRolloutKey accepts.
func (t *rolloutTracker) apply(now time.Time, c mirror.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if service, ok := platform.RolloutService(c.Key); ok {
		t.applyOrder(now, service, c)
		return
	}
	if service, ok := platform.RolloutStatusService(c.Key); ok {
		t.applyStatus(now, service, c)
		return
	}
	t.applySummary(c)
}

// applyOrder applies a change of an order. t.mu is held.
func (t *rolloutTracker) applyOrder(now time.Time, service string, c mirror.Change) {
	r := t.byService[service]
	if c.Removed {
		if r != nil && !r.status.Phase.Final() {
			t.setStatus(now, r, rollout.Status{Order: r.order.ID, Phase: rollout.RolledBack, Reason: rollout.ReasonWithdrawn})
		}
		return
	}
	o, err := platform.DecodeRolloutOrder(c.Key, c.Value)
	id := fmt.Sprintf("%d-%s", c.Changed.Count(), o.Version)
	switch {
	case err != nil:
		t.rejectOrder(now, service, c, err)
		return
	case r != nil && r.order.ID == id:
		return
	case r != nil && r.order.Version == o.Version && r.status.Phase.Final() && r.order.Epoch != c.Changed.Epoch():
		return // written again after the store lost it
	}
	order := rollout.Order{
		ID: id, Epoch: c.Changed.Epoch(), Service: service, Version: o.Version,
		Schedule: rollout.Schedule{Began: now, Deadline: now.Add(o.Duration)},
	}
	next := newServiceRollout(order)
	before := t.early[service]
	if r != nil {
		next.stored = r.stored
		before = r.record()
	}
	next.bar(before)
	delete(t.early, service)
	t.byService[service] = next
	t.setStatus(now, next, rollout.Status{Order: id, Phase: rollout.Canary, Deadline: boottime.ToRuntime(order.Deadline)})
}

func newServiceRollout(order rollout.Order) *serviceRollout {
	return &serviceRollout{
		order: order, counts: make(rollout.Counts), members: rollout.NewMembers(),
		regions: make(map[string]rollout.Summary), refusedSince: make(map[string]time.Time), avoid: make(map[string]time.Time),
	}
}

// record returns the rollout as it is at this instance.
func (r *serviceRollout) record() rollout.Record {
	return rollout.Record{Status: r.status, Version: r.order.Version, Barred: r.barred}
}

// bar sets what is barred by the record of the order before.
func (r *serviceRollout) bar(before rollout.Record) {
	r.barred, r.barredKnown = before.BarredNext(r.order.Version), before.Phase.Final()
}

// adoptBarred adopts what is barred from a status of the store, and reports whether that changes it. A
// status of the order before counts until there is one of this order.
func (r *serviceRollout) adoptBarred(s rollout.Record) bool {
	old := r.barred
	switch {
	case s.Order == r.order.ID && s.Barred != nil:
		r.barred, r.barredKnown = s.Barred, true
	case s.Order != r.order.ID && !r.barredKnown:
		r.bar(s)
	}
	return !slices.Equal(old, r.barred)
}

// rejectOrder reports an order that can't be used. It changes nothing about a rollout of the
// service that is under way. t.mu is held.
func (t *rolloutTracker) rejectOrder(now time.Time, service string, c mirror.Change, err error) {
	t.node.cfg.Log.Error("rollout order unusable", "service", service, "revision", c.Changed, "err", err)
	t.node.cfg.Metrics.CountDecision(metrics.Decision{Kind: "rollout", Service: service, Reason: "unusable"})
	if r := t.byService[service]; r != nil {
		return
	}
	r := newServiceRollout(rollout.Order{ID: fmt.Sprint(c.Changed.Count()), Service: service})
	t.byService[service] = r
	t.setStatus(now, r, rollout.Status{Order: r.order.ID, Phase: rollout.RolledBack, Reason: err.Error()})
}

// applyStatus applies a status that an instance has written. t.mu is held.
func (t *rolloutTracker) applyStatus(now time.Time, service string, c mirror.Change) {
	var s rollout.Record
	if !c.Removed {
		var err error
		if s, err = platform.DecodeRolloutStatus(c.Key, c.Value); err != nil {
			t.node.cfg.Log.Error("rollout status unreadable", "service", service, "revision", c.Changed, "err", err)
			return
		}
	}
	r := t.byService[service]
	if r == nil {
		t.early[service] = s
		return
	}
	r.stored = s
	t.wakeRun()
	if !c.Removed {
		t.adopt(now, r, s)
	}
}

// adopt puts in force what a status of the store says of a rollout. A final status of the store holds
// also if this instance has ended the rollout in another way. t.mu is held.
func (t *rolloutTracker) adopt(now time.Time, r *serviceRollout, s rollout.Record) {
	changed := r.adoptBarred(s)
	same := s.Order == r.order.ID
	if same {
		r.adoptDeadline(now, s.Status)
	}
	switch {
	case same && (s.Follows(r.status) || s.Phase.Final() && s.Phase != r.status.Phase):
		t.setStatus(now, r, s.Status)
	case changed:
		t.setStatus(now, r, r.status)
	}
}

// adoptDeadline moves the deadline of a rollout forward to that of its status, as this instance may
// have started after the order.
func (r *serviceRollout) adoptDeadline(now time.Time, s rollout.Status) {
	left := time.Until(s.Deadline)
	if at := now.Add(left); left > 0 && at.Before(r.order.Deadline) {
		r.order.Deadline = at
	}
}

// applySummary applies what a region has counted. t.mu is held.
func (t *rolloutTracker) applySummary(c mirror.Change) {
	service, region, _ := strings.Cut(strings.TrimPrefix(c.Key, rolloutPrefix), "/")
	r := t.byService[service]
	if r == nil || c.Removed {
		return
	}
	s, err := decodeSummary(c.Value)
	if err != nil {
		t.node.cfg.Log.Error("rollout counts unreadable", "service", service, "region", region, "err", err)
		return
	}
	if s.Order == r.order.ID {
		r.regions[region] = s
	}
}

// setStatus puts a status in force at this instance. t.mu is held.
func (t *rolloutTracker) setStatus(now time.Time, r *serviceRollout, s rollout.Status) {
	if s.Phase == rollout.Promoting && s != r.status {
		r.promotedAt = now
	}
	r.status = s
	t.active.Store(slices.ContainsFunc(slices.Collect(maps.Values(t.byService)), func(o *serviceRollout) bool { return !o.status.Phase.Final() }))
	t.wakeRun()
	n := t.node
	if r.order.Version != "" {
		n.mu.Lock()
		n.fleet.SetRollout(now, r.order.Service, steer.Rollout{
			Schedule: r.order.Schedule, Version: r.order.Version, Phase: s.Phase, PromotedAt: r.promotedAt, Barred: r.barred,
		})
		n.mu.Unlock()
	}
	canaries, old := r.totals().Totals()
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "rollout", Service: r.order.Service, Reason: string(s.Phase)})
	n.cfg.Log.Info("rollout", "service", r.order.Service, "version", r.order.Version, "order", s.Order, "phase", s.Phase, "reason", s.Reason,
		"left", r.order.Deadline.Sub(now), "new-answers", canaries.Answers, "new-bad", canaries.Bad, "old-answers", old.Answers, "old-bad", old.Bad,
		"barred", r.barred, "store-age", n.mirror.Age(now))
}

// totals returns what all regions have counted.
func (r *serviceRollout) totals() rollout.Counts {
	counts := make(rollout.Counts)
	for _, s := range r.regions {
		counts.Add(s.Counts)
	}
	return counts
}

// lateFactor is the multiple of the objective above which an answer counts against its version.
// Work with an empty cache ends below it.
const lateFactor = 2

// lateGrace is how long after its registration late answers of a target don't count against its
// version: it is cold for some seconds, and for some more its caches are empty. Failures count.
const lateGrace = 6 * time.Second

// recordRollout records the outcome of an attempt for the rollout of its service. A failure without an
// answer counts once some target was reached after it.
func (n *Node) recordRollout(now time.Time, p *pendingRequest, a attempt, v attemptOutcome) {
	if a.resp != nil || v.ending != steer.Failed && v.ending != steer.TimedOut {
		n.rollouts.record(now, p, a, v.ending)
		return
	}
	if n.rollouts.active.Load() {
		go func() {
			if n.partition.answeredSince(now) || n.partition.confirmReached(now) {
				n.rollouts.record(now, p, a, v.ending)
			}
		}()
	}
}

// record counts an answer for or against the version of its target.
func (t *rolloutTracker) record(now time.Time, p *pendingRequest, a attempt, ending steer.Ending) {
	if !t.active.Load() || a.choice.Cold {
		return
	}
	bad := false
	switch late := now.Sub(a.start) > lateFactor*objectiveOf(p); ending {
	case steer.Answered:
		if late && a.choice.TargetAge < lateGrace {
			return
		}
		bad = late
	case steer.Failed, steer.TimedOut:
		bad = true
	case steer.CallerLeft:
		if !late || a.choice.TargetAge < lateGrace {
			return
		}
		bad = true
	default:
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byService[p.service]
	if r == nil || r.status.Phase.Final() || slices.Contains(r.barred, a.choice.Target.Version) {
		return
	}
	source := rollout.Source{Route: p.route.Name}
	if a.choice.Target.Version == r.order.Version {
		source.Target = xxhash.Sum64String(a.choice.Target.ID)
	}
	tally, known := r.counts[source]
	if !known && len(r.counts) >= rollout.MaxCounts {
		return
	}
	tally.Answers++
	if bad {
		tally.Bad++
	}
	r.counts[source] = tally
	if bad && source.Target != 0 && rollout.Fault(r.counts) != "" {
		t.pause(now, p.service)
	}
}

// pause keeps requests from canaries until the next permit, as this instance has itself seen that
// they are worse. t.mu is held.
func (t *rolloutTracker) pause(now time.Time, service string) {
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	t.node.fleet.AllowCanary(service, now)
}

// storeRestored has the statuses checked, as a store that was restored from a snapshot may have lost
// them.
func (t *rolloutTracker) storeRestored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byService {
		r.stored = rollout.Record{}
	}
	t.wakeRun()
}

// wakeRun has run look for rollouts that are under way.
func (t *rolloutTracker) wakeRun() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// objectiveOf returns the objective of a request's route, or a default.
func objectiveOf(p *pendingRequest) time.Duration {
	if p.route.Objective > 0 {
		return p.route.Objective
	}
	return steer.DefaultObjective
}
