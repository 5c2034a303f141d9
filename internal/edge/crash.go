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
const toldAnswer = 2

// reasonEndsTargets is the reason for refusing a poison request: one that ends the targets which
// run it.
const endsTargets steer.Reason = "ends-targets"

// poisonRetryAfter is how long a caller of a poison request is asked to wait: by then the evidence
// against it may have expired.
const againEnding = evidenceTime

// crashTracker finds the requests that end targets, from exchanges that targets abort and from
// other instances' reports. It is safe for concurrent use.
type crashes struct {
	node   *Node
	tell   *teller
	guilty atomic.Pointer[map[crash.Print]int] // requests that end targets, with the number of targets that ended under each

	mu     sync.Mutex
	book   *crash.Book        // guarded by mu
	recent crash.Recent       // guarded by mu
	broken map[string]*breach // by ID of the target; guarded by mu
	kept   map[string]kept    // the reports in registry, by key; crash.MostReports at most; guarded by mu
	told   map[string]answer  // answers that this instance has published, by key; crash.MostReports at most; guarded by mu
	number int                // of the last report; guarded by mu
}

// retention is how long a report is kept. It doesn't depend on the report's entry in the store,
// which may expire with its lease while the store is unreachable.
type kept struct {
	until time.Time
	mine  bool // this instance wrote the report
}

// publishedAnswer is a successful answer that this instance has published.
type answer struct {
	until   time.Time         // it is published until then
	written platform.Revision // revision of the first write; zero before it
}

func newCrashes(n *Node) *crashes {
	return &crashes{
		node: n, tell: newTeller(n), book: crash.NewBook(), broken: make(map[string]*breach),
		kept: make(map[string]kept), told: make(map[string]answer),
	}
}

// crashCount returns how many targets ended under a poison request; 0 if it is none.
func (c *crashes) under(p crash.Print) int {
	if guilty := c.guilty.Load(); guilty != nil {
		return (*guilty)[p]
	}
	return 0
}

// reportCrash records that a target ended while it had requests, and publishes it. c.mu is held.
func (c *crashes) report(target steer.Target, prints []crash.Print) {
	c.number++
	n := c.node
	r := crash.Report{Target: target.ID, Prints: prints}
	if !target.Started.IsZero() {
		r.Target += "@" + strconv.FormatInt(target.Started.UnixMilli(), 10)
	}
	key := fmt.Sprintf("%s%s/%d-%d", crashPrefix, n.cfg.Settings.Instance, n.started, c.number)
	n.cfg.Log.Warn("target ended", "target", target.ID, "service", target.Service, "domain", target.Domain, "prints", prints)
	n.cfg.Metrics.Decided(metrics.Decision{Kind: "target-ended", Service: target.Service})
	c.keep(key, crash.Unwritten, r, true)
	c.judged()
	c.post(key, r)
}

// publishReport queues a report to be written to the store. c.mu is held.
func (c *crashes) post(key string, r crash.Report) {
	value, err := json.Marshal(r)
	if err != nil {
		c.node.cfg.Log.Error("crash report not encoded", "target", r.Target, "err", err)
		return
	}
	c.tell.post(note{key: key, value: value, life: evidenceTime})
}

// answered records a target's successful answer to a request, which shows that the request does
// not end targets.
func (c *crashes) answered(now time.Time, p crash.Print) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.Add(now, p)
	known := c.book.Count(p)
	if known == 0 {
		return
	}
	c.book.Answered(p, crash.Unwritten)
	c.judged()
	if known >= toldAnswer {
		c.tellAnswer(now, answeredPrefix+p.String())
	}
}

// publishAnswer queues an answer to be written to the store. c.mu is held.
func (c *crashes) tellAnswer(now time.Time, key string) {
	c.told[key] = answer{until: now.Add(answerTime)}
	if len(c.told) > crash.MostReports {
		delete(c.told, soonest(c.told, func(a answer) time.Time { return a.until }))
	}
	c.tell.post(note{key: key, value: []byte(c.node.cfg.Settings.Instance), life: answerTime})
}

// earliest returns the key whose time comes first.
func soonest[V any](m map[string]V, until func(V) time.Time) string {
	return slices.MinFunc(slices.Collect(maps.Keys(m)), func(a, b string) int { return until(m[a]).Compare(until(m[b])) })
}

// written records the store's revision at which entries were written.
func (c *crashes) written(notes []note, at platform.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range notes {
		if a, ok := c.told[w.key]; ok && a.written.IsZero() {
			a.written = at
			c.told[w.key] = a
		}
	}
}

// updatePoison publishes the poison requests that follow from the reports, and logs new ones and
// those that are allowed again. c.mu is held.
func (c *crashes) judged() {
	guilty := c.book.Guilty()
	var before map[crash.Print]int
	if old := c.guilty.Load(); old != nil {
		before = *old
	}
	c.guilty.Store(&guilty)
	for p, targets := range guilty {
		if _, ok := before[p]; !ok {
			c.node.cfg.Log.Warn("request ends targets", "print", p, "targets", targets)
			c.node.cfg.Metrics.Decided(metrics.Decision{Kind: "request-ends-targets"})
		}
	}
	for p := range before {
		if _, ok := guilty[p]; !ok {
			c.node.cfg.Log.Info("request allowed again", "print", p)
		}
	}
}

// apply applies changes that instances have written to the store.
func (c *crashes) apply(changes []mirror.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		if err := c.take(change); err != nil {
			c.node.cfg.Log.Error("crash report unreadable", "key", change.Key, "revision", change.Changed, "err", err)
		}
	}
	c.judged()
}

// applyChange applies one change. A change without a revision comes from a peer. c.mu is held.
func (c *crashes) take(change mirror.Change) error {
	if text, ok := strings.CutPrefix(change.Key, answeredPrefix); ok {
		var p crash.Print
		if err := p.UnmarshalText([]byte(text)); err != nil {
			return err
		}
		if change.Removed {
			c.answerRemoved(change.Key)
			return nil
		}
		c.book.Answered(p, answeredAt(change))
		return nil
	}
	if change.Removed {
		c.removed(change.Key)
		return nil
	}
	var r crash.Report
	if err := json.Unmarshal(change.Value, &r); err != nil {
		return err
	}
	c.keep(change.Key, change.Changed, r, false)
	return nil
}

// firstPublished returns the revision at which an answer was first published. An answer that is
// written again after the store lost it holds that revision as its value.
func answeredAt(change mirror.Change) platform.Revision {
	var first platform.Revision
	if first.UnmarshalText(change.Value) == nil {
		return first
	}
	return change.Changed
}

// addReport adds a report to the registry. c.mu is held.
func (c *crashes) keep(key string, revision platform.Revision, r crash.Report, mine bool) {
	c.book.Put(key, revision, r)
	if _, ok := c.kept[key]; !ok {
		c.kept[key] = kept{until: boottime.Now().Add(evidenceTime), mine: mine}
	}
	if len(c.kept) > crash.MostReports {
		oldest := soonest(c.kept, func(k kept) time.Time { return k.until })
		delete(c.kept, oldest)
		c.book.Remove(oldest)
	}
}

// reportRemoved handles the removal of a report's entry from the store. If this instance wrote the
// report, and more than half of its retention is left, it is written again for instances that start
// later, without the requests that were answered since. c.mu is held.
func (c *crashes) removed(key string) {
	k := c.kept[key]
	if !k.mine || boottime.Until(k.until) < evidenceTime/2 {
		return
	}
	if r := c.book.Report(key); len(r.Prints) > 0 {
		c.post(key, r)
	}
}

// answerRemoved handles the removal of an answer's entry from the store. If this instance published
// the answer, and more than half of its retention is left, it is written again with the revision of
// its first write, so crashes after that revision still count. c.mu is held.
func (c *crashes) answerRemoved(key string) {
	a := c.told[key]
	if a.written.IsZero() || boottime.Until(a.until) < answerTime/2 {
		return
	}
	c.tell.post(note{key: key, value: []byte(a.written.String()), life: answerTime})
}

// expire removes expired reports and answers.
func (c *crashes) forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.told, func(_ string, a answer) bool { return !now.Before(a.until) })
	for key, k := range c.kept {
		if !now.Before(k.until) {
			delete(c.kept, key)
			c.book.Remove(key)
		}
	}
	c.judged()
}

// isCrashKey reports whether a store key is one that crashTracker applies.
func isCrash(key string) bool {
	return strings.HasPrefix(key, crashPrefix) || strings.HasPrefix(key, answeredPrefix)
}
