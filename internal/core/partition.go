package core

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/partition"
)

const (
	// minCheckedTargets is how many targets the place must have: of one that fails nobody can tell
	// whether it or the path to it has failed.
	minCheckedTargets = 2
	// maxCheckedTargets is how many targets are probed in one check.
	maxCheckedTargets = 5
	// checkTimeout is how long a check takes at most: longer than a probe, which may wait for others.
	checkTimeout = 1500 * time.Millisecond
	// retryPartitioned: targets are probed about twice a second during a partition.
	retryPartitioned = 500 * time.Millisecond
)

// PartitionChanged reports that this instance has begun or ceased to be partitioned from all targets
// of its place.
type PartitionChanged struct {
	Partitioned bool
	Since       time.Time // of the first failure; zero at the end
	Probes      []partition.Result
}

func (PartitionChanged) decision() {}

// reach is what a node knows of the path to its place's targets.
type reach struct {
	detector *partition.Detector
	rounds   int                // checks so far
	results  []partition.Result // of the check under way
	awaited  int                // probes of the check under way without a result
	endAt    time.Time          // the check under way ends then; zero if there is none
	served   bool               // a peer of the place has served a request from its targets during the partition
}

// partitioned reports whether no target of the place can be reached. The baselines know no
// partition.
func (n *Node) partitioned() bool { return n.reach.detector.Partitioned() }

// recordReach records what the end of an attempt shows about the path to the targets.
func (n *Node) recordReach(now time.Time, f *inFlight, ev Finished) {
	unconnected := ev.Result == NotRun && ev.Proof == once.ProofNoConn
	switch {
	case ev.Result == Answered, ev.Result == NotRun && ev.Proof == once.ProofRefusal:
		n.reach.detector.RecordAnswer(now, time.Time{})
	case ev.CallerGone, ev.LackedHere:
	case unconnected, ev.Result == Failed:
		n.recordUnreached(now, partition.Failure{Target: nameOf(f.target), Began: now.Add(-ev.Took), Connect: unconnected})
	}
}

// nameOf returns a target's name with that of its service.
func nameOf(key owner.TargetKey) string { return key.Service.String() + "/" + key.Name }

// recordUnreached records a failure on the path to a target.
func (n *Node) recordUnreached(now time.Time, f partition.Failure) {
	if n.baseline() {
		return
	}
	n.reach.detector.SetTargets(len(n.owners.Owned()))
	if n.reach.detector.RecordFailure(now, f) {
		n.sendCheck(now)
	}
}

// startCheck begins a check unless one is under way.
func (n *Node) startCheck(now time.Time) {
	if n.reach.detector.BeginCheck(now) {
		n.sendCheck(now)
	}
}

// sendCheck probes some targets of the place, others in each round.
func (n *Node) sendCheck(now time.Time) {
	r := &n.reach
	keys := n.placeTargets()
	r.results, r.awaited, r.endAt = nil, 0, now.Add(checkTimeout)
	if len(keys) < minCheckedTargets {
		n.endCheck(now)
		return
	}
	first := r.rounds * maxCheckedTargets % len(keys)
	r.rounds++
	for i := range min(maxCheckedTargets, len(keys)) {
		key := keys[(first+i)%len(keys)]
		r.awaited++
		n.decide(Probe{Target: key, Address: n.addresses[key], Sent: now, NewConnection: true, Check: true})
	}
}

// placeTargets returns the targets of the place that are not drained.
func (n *Node) placeTargets() []owner.TargetKey {
	var keys []owner.TargetKey
	for key := range n.addresses {
		if !n.snapshot.TargetDrained(key.Service, key.Name) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareTargets)
	return keys
}

// checked processes the answer to a probe of a check. Those of earlier checks are ignored.
func (n *Node) checked(now time.Time, ev Probed) {
	r := &n.reach
	if r.endAt.IsZero() || !ev.Sent.Equal(r.endAt.Add(-checkTimeout)) {
		return
	}
	r.results = append(r.results, ev.result())
	if r.awaited--; r.awaited == 0 {
		n.endCheck(now)
	}
}

// result returns what a probe shows about the path to its target.
func (ev Probed) result() partition.Result {
	switch {
	case !ev.Err:
		return partition.Answered
	case ev.Connected:
		return partition.Connected
	}
	return partition.Unreached
}

// endCheck takes in what a check has found.
func (n *Node) endCheck(now time.Time) {
	r := &n.reach
	r.endAt = time.Time{}
	changed := r.detector.EndCheck(now, r.results)
	n.resolveRefusedAborts(now)
	if !changed {
		return
	}
	n.decide(PartitionChanged{Partitioned: n.partitioned(), Since: r.detector.Since(), Probes: r.results})
	r.served = false
	if !n.partitioned() {
		for _, s := range n.services {
			s.health.ForgetFailures()
		}
	}
	n.roster.nextChange = now
	n.maintainRoster(now)
	for _, id := range n.snapshot.Services() {
		n.reroute(now, id)
	}
	n.serveQueue(now)
}

// maintainReach ends a check whose probes were lost, and repeats checks during a partition.
func (n *Node) maintainReach(now time.Time) {
	r := &n.reach
	if !r.endAt.IsZero() && !now.Before(r.endAt) {
		n.endCheck(now)
	}
	if n.partitioned() && !now.Before(r.detector.NextCheck()) {
		n.startCheck(now)
	}
}

// recordPeerServed records that a peer has answered a request that was handed off.
func (n *Node) recordPeerServed(peer string) {
	if p, ok := n.peer(peer); ok && p.Place == n.cfg.Place {
		n.reach.served = n.partitioned()
	}
}

// yieldsTargets reports whether this instance leaves its targets to others of the place, as one of
// them has shown that it reaches targets. Without that it may be the targets that have failed.
func (n *Node) yieldsTargets() bool {
	return n.partitioned() && n.reach.served && slices.ContainsFunc(n.owners.Roster().Members, func(m owner.Member) bool {
		return m.Instance != n.cfg.Instance && !m.Leaving()
	})
}
