package edge

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/crash"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/mirror"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

// Store keys of reports of targets that ended, and of answers to requests that had been at such
// targets. They outlive the instance that wrote them, and expire with their leases.
const (
	crashPrefix    = "firlever/crashes/"
	answeredPrefix = "firlever/answered/"
)

// minCrashesToPublish is how many targets must have ended under a request before its successful
// answer is published: with one more end the request would be close to being refused.
const minCrashesToPublish = 2

// reasonEndsTargets is the reason for refusing a poison request: one that ends the targets which
// run it.
const reasonEndsTargets steer.Reason = "ends-targets"

// poisonRetryAfter is how long a caller of a poison request is asked to wait: by then the evidence
// against it may have expired.
const poisonRetryAfter = crashRetention

// crashTracker finds the requests that end targets, from exchanges that targets abort and from
// other instances' reports. It is safe for concurrent use.
type crashTracker struct {
	node     *Node
	notifier *notifier
	poison   atomic.Pointer[map[crash.Fingerprint]int] // requests that end targets, with the number of targets that ended under each

	mu         sync.Mutex
	registry   *crash.Registry            // guarded by mu
	recent     crash.Recent               // guarded by mu
	aborted    map[string]*abortGroup     // by ID of the target; guarded by mu
	retained   map[string]retention       // the reports in registry, by key; crash.MaxReports at most; guarded by mu
	published  map[string]publishedAnswer // answers that this instance has published, by key; crash.MaxReports at most; guarded by mu
	lastReport int                        // number of the last report; guarded by mu
}

// retention is how long a report is kept. It doesn't depend on the report's entry in the store,
// which may expire with its lease while the store is unreachable.
type retention struct {
	expires time.Time
	own     bool // this instance wrote the report
}

// publishedAnswer is a successful answer that this instance has published.
type publishedAnswer struct {
	expires      time.Time         // it is published until then
	firstWritten platform.Revision // revision of the first write; zero before it
}

func newCrashTracker(n *Node) *crashTracker {
	return &crashTracker{
		node: n, notifier: newNotifier(n), registry: crash.NewRegistry(), aborted: make(map[string]*abortGroup),
		retained: make(map[string]retention), published: make(map[string]publishedAnswer),
	}
}

// crashCount returns how many targets ended under a poison request; 0 if it is none.
func (c *crashTracker) crashCount(p crash.Fingerprint) int {
	if poison := c.poison.Load(); poison != nil {
		return (*poison)[p]
	}
	return 0
}

// reportCrash records that a target ended while it had requests, and publishes it. c.mu is held.
func (c *crashTracker) reportCrash(target steer.Target, fingerprints []crash.Fingerprint) {
	c.lastReport++
	n := c.node
	r := crash.Report{Target: target.ID, Fingerprints: fingerprints}
	if !target.Started.IsZero() {
		r.Target += "@" + strconv.FormatInt(target.Started.UnixMilli(), 10)
	}
	key := fmt.Sprintf("%s%s/%d-%d", crashPrefix, n.cfg.Settings.Instance, n.processStart, c.lastReport)
	n.cfg.Log.Warn("target ended", "target", target.ID, "service", target.Service, "domain", target.Domain, "prints", fingerprints)
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "target-ended", Service: target.Service})
	c.addReport(key, crash.Unwritten, r, true)
	c.updatePoison()
	c.publishReport(key, r)
}

// publishReport queues a report to be written to the store. c.mu is held.
func (c *crashTracker) publishReport(key string, r crash.Report) {
	value, err := json.Marshal(r)
	if err != nil {
		c.node.cfg.Log.Error("crash report not encoded", "target", r.Target, "err", err)
		return
	}
	c.notifier.enqueue(entry{key: key, value: value, lifetime: crashRetention})
}

// answered records a target's successful answer to a request, which shows that the request does
// not end targets.
func (c *crashTracker) answered(now time.Time, p crash.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.Add(now, p)
	count := c.registry.CrashCount(p)
	if count == 0 {
		return
	}
	c.registry.RecordSuccess(p, crash.Unwritten)
	c.updatePoison()
	if count >= minCrashesToPublish {
		c.publishAnswer(now, answeredPrefix+p.String())
	}
}

// publishAnswer queues an answer to be written to the store. c.mu is held.
func (c *crashTracker) publishAnswer(now time.Time, key string) {
	c.published[key] = publishedAnswer{expires: now.Add(answerRetention)}
	if len(c.published) > crash.MaxReports {
		delete(c.published, earliest(c.published, func(a publishedAnswer) time.Time { return a.expires }))
	}
	c.notifier.enqueue(entry{key: key, value: []byte(c.node.cfg.Settings.Instance), lifetime: answerRetention})
}

// earliest returns the key whose time comes first.
func earliest[V any](m map[string]V, until func(V) time.Time) string {
	return slices.MinFunc(slices.Collect(maps.Keys(m)), func(a, b string) int { return until(m[a]).Compare(until(m[b])) })
}

// written records the store's revision at which entries were written.
func (c *crashTracker) written(entries []entry, at platform.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		if a, ok := c.published[e.key]; ok && a.firstWritten.IsZero() {
			a.firstWritten = at
			c.published[e.key] = a
		}
	}
}

// updatePoison publishes the poison requests that follow from the reports, and logs new ones and
// those that are allowed again. c.mu is held.
func (c *crashTracker) updatePoison() {
	poison := c.registry.PoisonRequests()
	var before map[crash.Fingerprint]int
	if old := c.poison.Load(); old != nil {
		before = *old
	}
	c.poison.Store(&poison)
	for p, targets := range poison {
		if _, ok := before[p]; !ok {
			c.node.cfg.Log.Warn("request ends targets", "print", p, "targets", targets)
			c.node.cfg.Metrics.CountDecision(metrics.Decision{Kind: "request-ends-targets"})
		}
	}
	for p := range before {
		if _, ok := poison[p]; !ok {
			c.node.cfg.Log.Info("request allowed again", "print", p)
		}
	}
}

// apply applies changes that instances have written to the store.
func (c *crashTracker) apply(changes []mirror.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		if err := c.applyChange(change); err != nil {
			c.node.cfg.Log.Error("crash report unreadable", "key", change.Key, "revision", change.Changed, "err", err)
		}
	}
	c.updatePoison()
}

// applyChange applies one change. A change without a revision comes from a peer. c.mu is held.
func (c *crashTracker) applyChange(change mirror.Change) error {
	if text, ok := strings.CutPrefix(change.Key, answeredPrefix); ok {
		var p crash.Fingerprint
		if err := p.UnmarshalText([]byte(text)); err != nil {
			return err
		}
		if change.Removed {
			c.answerRemoved(change.Key)
			return nil
		}
		c.registry.RecordSuccess(p, firstPublished(change))
		return nil
	}
	if change.Removed {
		c.reportRemoved(change.Key)
		return nil
	}
	var r crash.Report
	if err := json.Unmarshal(change.Value, &r); err != nil {
		return err
	}
	c.addReport(change.Key, change.Changed, r, false)
	return nil
}

// firstPublished returns the revision at which an answer was first published. An answer that is
// written again after the store lost it holds that revision as its value.
func firstPublished(change mirror.Change) platform.Revision {
	var first platform.Revision
	if first.UnmarshalText(change.Value) == nil {
		return first
	}
	return change.Changed
}

// addReport adds a report to the registry. c.mu is held.
func (c *crashTracker) addReport(key string, revision platform.Revision, r crash.Report, own bool) {
	c.registry.Put(key, revision, r)
	if _, ok := c.retained[key]; !ok {
		c.retained[key] = retention{expires: boottime.Now().Add(crashRetention), own: own}
	}
	if len(c.retained) > crash.MaxReports {
		oldest := earliest(c.retained, func(k retention) time.Time { return k.expires })
		delete(c.retained, oldest)
		c.registry.Remove(oldest)
	}
}

// reportRemoved handles the removal of a report's entry from the store. If this instance wrote the
// report, and more than half of its retention is left, it is written again for instances that start
// later, without the requests that were answered since. c.mu is held.
func (c *crashTracker) reportRemoved(key string) {
	k := c.retained[key]
	if !k.own || boottime.Until(k.expires) < crashRetention/2 {
		return
	}
	if r := c.registry.Report(key); len(r.Fingerprints) > 0 {
		c.publishReport(key, r)
	}
}

// answerRemoved handles the removal of an answer's entry from the store. If this instance published
// the answer, and more than half of its retention is left, it is written again with the revision of
// its first write, so crashes after that revision still count. c.mu is held.
func (c *crashTracker) answerRemoved(key string) {
	a := c.published[key]
	if a.firstWritten.IsZero() || boottime.Until(a.expires) < answerRetention/2 {
		return
	}
	c.notifier.enqueue(entry{key: key, value: []byte(a.firstWritten.String()), lifetime: answerRetention})
}

// expire removes expired reports and answers.
func (c *crashTracker) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.published, func(_ string, a publishedAnswer) bool { return !now.Before(a.expires) })
	for key, k := range c.retained {
		if !now.Before(k.expires) {
			delete(c.retained, key)
			c.registry.Remove(key)
		}
	}
	c.updatePoison()
}

// isCrashKey reports whether a store key is one that crashTracker applies.
func isCrashKey(key string) bool {
	return strings.HasPrefix(key, crashPrefix) || strings.HasPrefix(key, answeredPrefix)
}
