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

// Keys of the store under which instances tell of targets that ended, and of requests that
// were answered after they had been at such targets. They outlive who wrote them, and go
// with their leases.
const (
	crashPrefix    = "firlever/crashes/"
	answeredPrefix = "firlever/answered/"
)

// toldAnswer is how many targets have to have ended under a request until its answer is told
// to others: one end more would come near to holding it back.
const toldAnswer = 2

// endsTargets is why a request is refused that ends the targets which run it.
const endsTargets steer.Reason = "ends-targets"

// againEnding is when a caller of such a request may come back: when what is known of it may
// be forgotten.
const againEnding = evidenceTime

// crashes finds out which requests end targets, by the connections that targets break off
// and by what other instances tell. It is safe for concurrent use.
type crashes struct {
	node   *Node
	tell   *teller
	guilty atomic.Pointer[map[crash.Print]int] // requests that end targets, and under how many each did

	mu     sync.Mutex
	book   *crash.Book        // guarded by mu
	recent crash.Recent       // guarded by mu
	broken map[string]*breach // by ID of the target; guarded by mu
	kept   map[string]kept    // the reports in book, by key; crash.MostReports at most; guarded by mu
	told   map[string]answer  // answers that this instance has told of, by key; crash.MostReports at most; guarded by mu
	number int                // of the last report; guarded by mu
}

// kept is how long a report is kept, whatever becomes of its entry in the store: that may
// lapse with its lease while the store is away.
type kept struct {
	until time.Time
	mine  bool // this instance has written it
}

// answer is an answer that this instance has told of.
type answer struct {
	until   time.Time         // it is told of
	written platform.Revision // when it was told of first; zero if it was not yet
}

func newCrashes(n *Node) *crashes {
	return &crashes{
		node: n, tell: newTeller(n), book: crash.NewBook(), broken: make(map[string]*breach),
		kept: make(map[string]kept), told: make(map[string]answer),
	}
}

// under returns how many targets ended under a request that ends targets; 0 if it doesn't.
func (c *crashes) under(p crash.Print) int {
	if guilty := c.guilty.Load(); guilty != nil {
		return (*guilty)[p]
	}
	return 0
}

// report takes in that a target ended under requests, and has it written. c.mu is held.
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

// post has a report written. c.mu is held.
func (c *crashes) post(key string, r crash.Report) {
	value, err := json.Marshal(r)
	if err != nil {
		c.node.cfg.Log.Error("end of a target not told", "target", r.Target, "err", err)
		return
	}
	c.tell.post(note{key: key, value: value, life: evidenceTime})
}

// answered notes that a target has answered a request with success: it ends none.
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

// tellAnswer has an answer written. c.mu is held.
func (c *crashes) tellAnswer(now time.Time, key string) {
	c.told[key] = answer{until: now.Add(answerTime)}
	if len(c.told) > crash.MostReports {
		delete(c.told, soonest(c.told, func(a answer) time.Time { return a.until }))
	}
	c.tell.post(note{key: key, value: []byte(c.node.cfg.Settings.Instance), life: answerTime})
}

// soonest returns the key whose time comes first.
func soonest[V any](m map[string]V, until func(V) time.Time) string {
	return slices.MinFunc(slices.Collect(maps.Keys(m)), func(a, b string) int { return until(m[a]).Compare(until(m[b])) })
}

// written notes that notes were written at a revision of the store.
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

// judged publishes what follows from the book, and logs what is new. c.mu is held.
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

// apply takes in what instances have written into the store.
func (c *crashes) apply(changes []mirror.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		if err := c.take(change); err != nil {
			c.node.cfg.Log.Error("report of a target's end unreadable", "key", change.Key, "revision", change.Changed, "err", err)
		}
	}
	c.judged()
}

// take takes in one change; without a revision it comes from a peer. c.mu is held.
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

// answeredAt is when an answer was told of first: one that is written again, as the store had
// lost it, says that itself.
func answeredAt(change mirror.Change) platform.Revision {
	var first platform.Revision
	if first.UnmarshalText(change.Value) == nil {
		return first
	}
	return change.Changed
}

// keep takes a report into the book. c.mu is held.
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

// removed notes that the entry of a report is gone. One of this instance's that has gone long
// before its time is written again, for those who start later, without the requests that were
// answered since. c.mu is held.
func (c *crashes) removed(key string) {
	k := c.kept[key]
	if !k.mine || boottime.Until(k.until) < evidenceTime/2 {
		return
	}
	if r := c.book.Report(key); len(r.Prints) > 0 {
		c.post(key, r)
	}
}

// answerRemoved notes that the entry of an answer is gone. One of this instance's that has gone
// long before its time is written again, with when it was told of first: the ends since then
// count. c.mu is held.
func (c *crashes) answerRemoved(key string) {
	a := c.told[key]
	if a.written.IsZero() || boottime.Until(a.until) < answerTime/2 {
		return
	}
	c.tell.post(note{key: key, value: []byte(a.written.String()), life: answerTime})
}

// forget forgets what is old.
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

// isCrash says whether a key is one of those that crashes takes.
func isCrash(key string) bool {
	return strings.HasPrefix(key, crashPrefix) || strings.HasPrefix(key, answeredPrefix)
}
