package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/crash"
	"github.com/firlever/firlever/internal/owner"
)

const (
	// crashRetention is how long a crash report is kept.
	crashRetention = 10 * time.Minute
	// minCrashesToReport is the number of crashed targets from which a later answer to the
	// same request is sent to other instances: one more crash would bring it close to being
	// refused.
	minCrashesToReport = 2
	// notifiedPerPlace is how many instances of each other place are notified, which relay
	// the update within their place. It is more than one because an instance may die.
	notifiedPerPlace = 2
)

// crashTracker is what the node has recorded about requests that crash targets.
type crashTracker struct {
	registry   *crash.Registry
	recent     crash.Recent
	aborts     map[owner.TargetKey]*abortedExchange
	reports    []storedReport // reports held by registry, by expiry time
	lastReport int            // number of this instance's last report
}

// abortedExchange holds the requests whose attempts a target aborted, until a probe shows
// whether the target has crashed.
type abortedExchange struct {
	at           time.Time // of the first abort
	fingerprints []crash.Fingerprint
	refused      bool // nothing listens at the target; a check shows whether another is reached
}

// storedReport is a report with its expiry time.
type storedReport struct {
	until  time.Time
	report CrashReport
}

// CrashReport reports a target that crashed, under a unique key.
type CrashReport struct {
	Key string `json:"key"`
	crash.Report
}

// SendCrashes sends peers the targets that crashed and the requests that were answered
// since.
type SendCrashes struct {
	Peers  []Peer
	Update CrashUpdate
}

// CrashUpdate is the update that one instance sends to another.
type CrashUpdate struct {
	Place    string              `json:"place"` // of the sender; empty if the update must not be relayed
	Reports  []CrashReport       `json:"reports"`
	Answered []crash.Fingerprint `json:"answered"`
}

// CrashesReceived delivers an update from a peer.
type CrashesReceived struct{ Update CrashUpdate }

func (SendCrashes) decision()  {}
func (CrashesReceived) event() {}

func newCrashTracker() crashTracker {
	return crashTracker{registry: crash.NewRegistry(), aborts: make(map[owner.TargetKey]*abortedExchange)}
}

// refusePoison refuses a request that crashes the targets that run it, whatever its
// origin. It reports whether it refused the request.
func (n *Node) refusePoison(now time.Time, f *inFlight) bool {
	if n.crashes.registry.PoisonRequests()[f.req.CrashFingerprint] == 0 {
		return false
	}
	f.lowerRetryAt(now.Add(crashRetention))
	n.refuse(now, f, ReasonPoisonRequest)
	return true
}

// recordAbort records that a target aborted an attempt, and probes whether the target
// still runs.
func (n *Node) recordAbort(now time.Time, f *inFlight) {
	if n.crashes.recent.Has(now, f.req.CrashFingerprint) {
		return
	}
	b := n.crashes.aborts[f.target]
	if b == nil {
		b = &abortedExchange{at: now}
		n.crashes.aborts[f.target] = b
	}
	if !slices.Contains(b.fingerprints, f.req.CrashFingerprint) {
		b.fingerprints = append(b.fingerprints, f.req.CrashFingerprint)
	}
	n.decide(Probe{Target: f.target, Address: n.addresses[f.target], Sent: now, NewConnection: true})
}

// resolveAbort evaluates a probe that was sent after a target aborted attempts. Later
// aborts are recorded anew.
func (n *Node) resolveAbort(now time.Time, ev Probed) {
	b := n.crashes.aborts[ev.Target]
	if b == nil || b.refused || ev.Sent.Before(b.at) || ev.Err && !ev.Refused {
		return
	}
	if !ev.Refused {
		delete(n.crashes.aborts, ev.Target)
		return
	}
	if len(n.placeTargets()) < minCheckedTargets {
		n.targetCrashed(now, ev.Target)
		return
	}
	b.refused = true
	n.startCheck(now)
}

// resolveRefusedAborts evaluates, after a check, the aborts of targets at which nothing listens: they
// have crashed if another target was reached.
func (n *Node) resolveRefusedAborts(now time.Time) {
	e := &n.crashes
	keys := slices.SortedFunc(maps.Keys(e.aborts), compareTargets)
	for _, key := range keys {
		switch b := e.aborts[key]; {
		case !b.refused:
		case n.partitioned():
			delete(e.aborts, key)
		case !n.reach.detector.CheckedSince(b.at):
			n.startCheck(now)
		default:
			n.targetCrashed(now, key)
		}
	}
}

// targetCrashed reports a target that crashed under the requests that it aborted.
func (n *Node) targetCrashed(now time.Time, target owner.TargetKey) {
	e := &n.crashes
	b := e.aborts[target]
	delete(e.aborts, target)
	e.lastReport++
	name := fmt.Sprintf("%s/%d-%d", n.cfg.Instance, n.cfg.Incarnation, e.lastReport)
	r := CrashReport{Key: name, Report: crash.Report{Target: nameOf(target) + "@" + name, Fingerprints: b.fingerprints}}
	n.storeReport(now, r)
	n.notifyAll(CrashUpdate{Place: n.cfg.Place, Reports: []CrashReport{r}})
}

// storeReport adds a report to the registry. It returns false if the registry already has it.
func (n *Node) storeReport(now time.Time, r CrashReport) bool {
	e := &n.crashes
	if slices.ContainsFunc(e.reports, func(m storedReport) bool { return m.report.Key == r.Key }) {
		return false
	}
	e.registry.Put(r.Key, crash.Unwritten, r.Report)
	e.reports = append(e.reports, storedReport{until: now.Add(crashRetention), report: r})
	if len(e.reports) > crash.MaxReports {
		n.dropOldestReport()
	}
	return true
}

func (n *Node) dropOldestReport() {
	e := &n.crashes
	e.registry.Remove(e.reports[0].report.Key)
	e.reports = e.reports[1:]
}

// expireCrashes removes expired reports and aborts.
func (n *Node) expireCrashes(now time.Time) {
	e := &n.crashes
	for len(e.reports) > 0 && !now.Before(e.reports[0].until) {
		n.dropOldestReport()
	}
	maps.DeleteFunc(e.aborts, func(_ owner.TargetKey, b *abortedExchange) bool { return now.Sub(b.at) > n.cfg.Probe })
}

// recordSuccess records that a request was answered, which is evidence that it does not
// crash targets.
func (n *Node) recordSuccess(now time.Time, f *inFlight, ev Finished) {
	if ev.Status >= http.StatusMultipleChoices {
		return
	}
	p := f.req.CrashFingerprint
	n.crashes.recent.Add(now, p)
	count := n.crashes.registry.CrashCount(p)
	if count == 0 {
		return
	}
	n.crashes.registry.RecordSuccess(p, crash.Unwritten)
	if count >= minCrashesToReport {
		n.notifyAll(CrashUpdate{Place: n.cfg.Place, Answered: []crash.Fingerprint{p}})
	}
}

// crashesReceived applies a peer's update, and relays it within this place if it comes
// from another.
func (n *Node) crashesReceived(now time.Time, update CrashUpdate) {
	relay := CrashUpdate{Answered: update.Answered}
	for _, r := range update.Reports {
		if n.storeReport(now, r) {
			relay.Reports = append(relay.Reports, r)
		}
	}
	for _, p := range update.Answered {
		n.crashes.registry.RecordSuccess(p, crash.Unwritten)
	}
	if update.Place != "" && update.Place != n.cfg.Place && len(relay.Reports)+len(relay.Answered) > 0 {
		n.notify(n.peers.byPlace[n.cfg.Place], relay)
	}
}

// notifyAll sends an update to the other instances of this place and to some of each
// other place.
func (n *Node) notifyAll(update CrashUpdate) {
	peers := slices.Clone(n.peers.byPlace[n.cfg.Place])
	for _, place := range slices.Sorted(maps.Keys(n.peers.byPlace)) {
		if list := n.peers.byPlace[place]; place != n.cfg.Place {
			peers = append(peers, list[:min(len(list), notifiedPerPlace)]...)
		}
	}
	n.notify(peers, update)
}

func (n *Node) notify(peers []Peer, update CrashUpdate) {
	if len(peers) > 0 {
		n.decide(SendCrashes{Peers: peers, Update: update})
	}
}

// notifyNewPeers sends the stored reports to instances of this place that have just
// started. Of the instances that were there before, only the first by name sends.
func (n *Node) notifyNewPeers(before, after peerList) {
	if len(n.crashes.reports) == 0 {
		return
	}
	var newPeers []Peer
	for _, p := range after.byPlace[n.cfg.Place] {
		old, ok := before.byID[p.ID]
		switch {
		case !ok || old.Incarnation != p.Incarnation:
			newPeers = append(newPeers, p)
		case p.ID < n.cfg.Instance:
			return
		}
	}
	update := CrashUpdate{}
	for _, m := range n.crashes.reports {
		// Requests that were answered since are left out, as the new instance has no record
		// of those answers.
		r := CrashReport{Key: m.report.Key, Report: n.crashes.registry.Report(m.report.Key)}
		if len(r.Fingerprints) > 0 {
			update.Reports = append(update.Reports, r)
		}
	}
	if len(update.Reports) > 0 {
		n.notify(newPeers, update)
	}
}
