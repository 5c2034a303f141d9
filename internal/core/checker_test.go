package core_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/core"
)

// checker compares what really happened with what is guaranteed. It observes targets,
// callers and the platform, and never relies on a node's own state.
type checker struct {
	w         *simulation
	violation string // the first violation

	notRun   map[string]bool // by name of a caller's request: the caller was told that it has not run
	begun    map[string]int
	versions *versions
	finals   int
}

func newChecker(w *simulation) *checker {
	return &checker{w: w, notRun: make(map[string]bool), begun: make(map[string]int), versions: newVersions(w)}
}

func (c *checker) failf(format string, args ...any) {
	if c.violation != "" {
		return
	}
	c.violation = fmt.Sprintf("at %v: ", c.w.now) + fmt.Sprintf(format, args...)
	c.w.tracef("VIOLATION %s", c.violation)
}

// started checks the start of a request at a target.
func (c *checker) started(k *work) {
	x := k.a.x
	c.begun[x.req.Name]++
	x.ran = true
	if x.done || c.notRun[x.req.Name] {
		c.failf("%s starts %s, which already got its final answer", k.t.key.Name, x.req.Name)
	}
	c.once(x.call, x.req.Key)
	c.w.counts["works"]++
	if !c.w.clocksJump {
		c.limits(k.t)
		c.drained(k)
	}
}

// once checks that a call to the non-idempotent service starts only once, by key and in
// all.
func (c *checker) once(k *call, key string) {
	if k.service != serviceWrite {
		return
	}
	k.runsByKey[key]++
	k.runs++
	if k.runsByKey[key] > 1 {
		c.failf("%s has started %d times with one key", k.name, k.runsByKey[key])
	}
	if k.runs > 1 {
		c.failf("%s has started %d times in all, although a refusal said that it had not run", k.name, k.runs)
	}
}

// drained checks that no target gets new work from 3 s after its drain, if its owner
// could read the platform all the time.
func (c *checker) drained(k *work) {
	since, ok := c.w.isDrained(k.t)
	p := k.a.x.p
	if !ok || c.w.now <= since+3*time.Second || p.lastImpeded >= since {
		return
	}
	c.failf("%s gets %s from %s, drained since %v", k.t.key.Name, k.a.x.req.Name, p, since)
}

// decided checks a decision when it is taken.
func (c *checker) decided(x *exchange, d core.Decision) {
	s, ok := d.(core.Serve)
	if !ok {
		return
	}
	t := c.w.targets[s.Address]
	snap := x.p.snapshot
	if snap.TargetDrained(t.key.Service, t.key.Name) || snap.PlaceDrained(t.key.Service, c.w.places[t.place]) {
		c.failf("%s gives %s to %s, which its own documents drain", x.p, x.req.Name, t.key.Name)
	}
	if s.Deadline.After(x.req.Deadline) {
		c.failf("%s serves %s past its deadline", x.p, x.req.Name)
	}
	if x.call.c.place != x.p.place {
		c.w.counts["shifted"]++
		c.shifted(x.p, t)
	}
}

// finalGiven checks an instance's final answer to a request.
func (c *checker) finalGiven(x *exchange, ans answer) {
	c.finals++
	c.w.counts[fmt.Sprint("final ", ans.kind, " ", ans.reason)]++
	if x.done {
		c.failf("%s answers %s twice", x.p, x.req.Name)
	}
	if ans.kind != core.NotRun {
		return
	}
	if x.upstream != nil && x.upstream.over && x.timeLimit >= 200*time.Millisecond && c.w.now > faultsEnd+recovery {
		c.failf("%s refuses %s (%s) too late for its sender", x.p, x.req.Name, ans.reason)
	}
	if x.ran {
		c.failf("%s says that %s has not run (%s), but it has", x.p, x.req.Name, ans.reason)
	}
	if x.origin != core.FromPeer && !x.homeRefused && x.req.Key != "" && x.call.runsByKey[x.req.Key] > 0 {
		c.failf("%s says that %s has not run (%s), but its key has", x.p, x.req.Name, ans.reason)
	}
}

// attemptAnswered checks the answer that a caller got to one attempt.
func (c *checker) attemptAnswered(a *callerAttempt, ans answer) {
	switch ans.kind {
	case core.Answered:
		if !strings.HasPrefix(ans.body, a.k.name+".") {
			c.failf("%s gets the answer of %q", a.name, ans.body)
		}
	case core.NotRun:
		c.notRun[a.name] = true
		if c.begun[a.name] > 0 {
			c.failf("%s is answered as not run (%s), but it has run", a.name, ans.reason)
		}
	}
}

// documentsApplied checks the documents that a process puts in force.
func (c *checker) documentsApplied(p *proc) {
	for _, path := range c.w.store.paths {
		v, old := p.snapshot.Version(path), p.versions[path]
		if v == old {
			continue
		}
		if v < old {
			c.failf("%s reverts from version %d of %s to %d", p, old, path, v)
			return
		}
		doc, _ := p.docs.Get(path)
		if want := c.w.store.docs[path][v-1].doc; string(doc.Body) != string(want.Body) || doc.Deleted != want.Deleted {
			c.failf("%s has a version %d of %s that differs from the accepted one", p, v, path)
		}
		p.versions[path] = v
		c.versions.released(p.place, path, old)
	}
}

// processEnded records that a process has ended.
func (c *checker) processEnded(p *proc) {
	for _, path := range c.w.store.paths {
		c.versions.released(p.place, path, p.versions[path])
	}
}

// stopped checks that a planned stop aborts nothing.
func (c *checker) stopped(p *proc) {
	if n := len(p.exchanges); n > 0 {
		c.failf("%s stops with %d requests inside", p, n)
	}
	for _, t := range c.w.sortedTargets {
		for _, k := range t.works {
			if k.a.x.p == p && !k.a.over {
				c.failf("%s stops with %s at a target", p, k.a.x.req.Name)
			}
		}
	}
}

// end checks what must hold after a long time without faults.
func (c *checker) end() {
	for _, name := range c.w.names {
		p := c.w.live[name]
		if p == nil {
			c.failf("%s does not run at the end", name)
			return
		}
		if len(p.exchanges) > 0 || p.node.InFlight() > 0 {
			c.failf("%s has %d requests, its node %d, long after the last", p, len(p.exchanges), p.node.InFlight())
		}
		c.recovered(p)
	}
	c.answersResume()
}

// recovered checks that a process holds all its rights again.
func (c *checker) recovered(p *proc) {
	r := p.node.Roster()
	m, ok := r.Member(p.name)
	if !p.node.Confirmed(p.local()) || !ok || m.Incarnation != p.incarnation || len(r.Previous) > 0 {
		c.failf("%s has not recovered: confirmed %v, roster %+v", p, p.node.Confirmed(p.local()), r)
	}
	for _, service := range []string{serviceRead, serviceWrite} {
		c.fullSiteFree(p.place, service)
	}
}

// fullSiteFree checks that the instances of a place together may use all of a service's
// limit.
func (c *checker) fullSiteFree(place int, service string) {
	free, want := 0, c.w.fullPlan(service).sites[place].limit
	for _, name := range c.w.names {
		if c.w.home[name] != place {
			continue
		}
		p := c.w.live[name]
		if p == nil {
			return
		}
		for _, r := range p.node.FreeSlots(p.local()) {
			if r.Service == serviceID(service) {
				free += r.Free
			}
		}
	}
	if free < want {
		c.failf("%s has %d free slots in place %d, of %d", service, free, place, want)
	}
}

// answersResume checks that calls are answered after the faults. Calls that the
// simulation itself disrupted don't count, as their outcome is unknown even in truth.
func (c *checker) answersResume() {
	asked, answered := 0, 0
	for _, k := range c.w.calls {
		if k.begun > faultsEnd+recovery && k.begun < loadEnd-time.Second && (k.answered || !k.disrupted) {
			asked++
			if k.answered {
				answered++
			}
		}
	}
	if asked > 0 && answered*100 < asked*95 {
		c.failf("only %d of %d calls were answered long after the faults", answered, asked)
	}
	c.w.counts["asked late"] += asked
	c.w.counts["answered late"] += answered
}
