package core_test

import (
	"fmt"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/owner"
)

// target simulates a target. The checker takes what it does as the truth.
type target struct {
	w        *simulation
	key      owner.TargetKey
	place    int
	down     bool // refuses connections
	degraded bool // slow, and fails often
	works    []*work
	ran      int
}

// work is one request in flight at a target.
type work struct {
	t     *target
	a     *attempt
	over  bool
	onEnd func() // called when the target ends it; may be nil
}

// drains returns the bodies of the documents that would drain the target.
func (t *target) drains() []string {
	return []string{
		fmt.Sprintf("service: %s\ntarget: %s\n", t.key.Service, t.key.Name),
		fmt.Sprintf("place: %s\n", t.w.places[t.place]),
	}
}

// receive handles the arrival of a request.
func (t *target) receive(a *attempt, left time.Duration) {
	if a.over {
		return // the connection closed before the request was read
	}
	if t.down {
		a.result(core.Finished{Result: core.NotRun, Proof: once.ProofNoConn})
		return
	}
	shed := 0.03
	if t.degraded {
		shed = 0.3
	}
	if t.w.chance(shed) {
		a.result(core.Finished{Result: core.NotRun, Proof: once.ProofRefusal})
		return
	}
	if t.w.chance(0.01) {
		t.w.tracef("%s loses request %s", t.key.Name, a.x.req.Name)
		a.x.call.disrupted = true
		return // lost before the target read it, unnoticed by either side
	}
	t.begin(a, left)
}

func (t *target) begin(a *attempt, left time.Duration) {
	k := &work{t: t, a: a}
	a.work = k
	t.works = append(t.works, k)
	t.ran++
	t.w.tracef("%s starts %s of %s, %d in flight", t.key.Name, a.x.req.Name, a.x.p, len(t.works))
	t.w.check.started(k)
	d := t.service()
	t.w.after(min(d, left), func() { k.end(d < left) })
	if t.w.chance(0.02) {
		t.w.after(t.w.upTo(min(d, left)), func() { k.reset() })
	}
}

// service returns a random service time.
func (t *target) service() time.Duration {
	d := t.w.between(20*time.Millisecond, 250*time.Millisecond)
	if t.w.chance(0.04) {
		d = t.w.between(time.Second, 4*time.Second)
	}
	if t.degraded {
		d *= 5
	}
	return d
}

// end finishes the work; whole means that a complete answer is ready.
func (k *work) end(whole bool) {
	if k.over {
		return
	}
	k.leave()
	w := k.t.w
	lost, failed := 0.02, 0.03
	if k.t.degraded {
		failed = 0.4
	}
	switch {
	case !whole || w.chance(lost):
		k.a.x.call.disrupted = true // the answer is lost, so the owner's deadline ends the attempt
	case w.chance(failed):
		k.a.x.call.disrupted = true
		k.a.result(core.Finished{Result: core.Failed, Final: w.chance(0.2)})
	default:
		k.a.result(core.Finished{Result: core.Answered, Status: 200, Body: []byte(k.a.x.req.Name)})
	}
}

// reset resets the connection in the middle.
func (k *work) reset() {
	if !k.over {
		k.a.x.call.disrupted = true
		k.a.reset = true
		k.a.result(core.Finished{Result: core.Failed})
		k.abandon()
	}
}

// abandon ends the work soon, when the target notices that its connection has closed.
func (k *work) abandon() {
	k.t.w.after(k.t.w.upTo(abandonWithin), func() {
		if !k.over {
			k.leave()
		}
	})
}

func (k *work) leave() {
	k.over = true
	t := k.t
	for i, o := range t.works {
		if o == k {
			t.works = append(t.works[:i], t.works[i+1:]...)
			break
		}
	}
	t.w.tracef("%s ends %s", t.key.Name, k.a.x.req.Name)
	if k.onEnd != nil {
		k.onEnd()
	}
}
