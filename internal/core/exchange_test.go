package core_test

import (
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/owner"
)

// answer is what the sender of a request receives.
type answer struct {
	kind   core.Result // Failed: the outcome is unknown
	body   string      // name of the request that produced it
	reason core.Reason
	retry  time.Duration // time until a retry; zero if none was given
}

// exchange carries one request through a process, as a shell does.
type exchange struct {
	p           *proc
	id          core.ID
	origin      core.Origin
	req         core.Request
	call        *call // the caller's call that it belongs to
	reply       func(answer)
	attempt     *attempt      // in flight, or nil
	upstream    *attempt      // the peer's attempt that sent it; nil for a caller's request
	timeLimit   time.Duration // time limit at its arrival
	senderGone  bool          // the sender no longer waits
	done        bool
	homeRefused bool // its key's home has just answered that the key has not run
	ran         bool // a target has started an attempt of this exchange
}

// attempt is one attempt at a target or a peer.
type attempt struct {
	x            *exchange
	home         bool // sent to the key's home
	over         bool
	target       owner.TargetKey // zero if it was sent to a peer
	reset        bool            // its connection to the target was reset
	work         *work           // at a target
	peerExchange *exchange       // at a peer
	started      time.Time
}

// receive accepts a request. left is the time limit from its headers.
func (p *proc) receive(origin core.Origin, req core.Request, c *call, left time.Duration, reply func(answer)) *exchange {
	p.lastID++
	req.Deadline = p.local().Add(left)
	x := &exchange{p: p, id: p.lastID, origin: origin, timeLimit: left, req: req, call: c, reply: reply}
	p.exchanges[x.id] = x
	p.w.tracef("%s receives %s (origin %d)", p, req.Name, origin)
	p.step(core.Arrived{ID: x.id, Origin: origin, Request: req})
	return x
}

// act carries out a decision on a request, shortly after it was taken.
func (x *exchange) act(d core.Decision) {
	if x.p.dead || x.done {
		return
	}
	switch d := d.(type) {
	case core.Serve:
		x.serve(d)
	case core.HandOff:
		x.send(core.FromPeer, d.Peer, d.Home, d.Deadline)
	case core.Forward:
		x.send(core.FromForward, d.Peer, "", d.Deadline)
	}
}

// begin starts an attempt, unless its deadline has already passed.
func (x *exchange) begin(deadline time.Time) (*attempt, time.Duration) {
	a := &attempt{x: x, started: x.p.local()}
	x.attempt = a
	left := deadline.Sub(a.started)
	if left <= 0 || x.senderGone {
		a.result(core.Finished{Result: core.NotRun, Proof: once.ProofNoByte})
		return nil, 0
	}
	x.p.after(left, func() { a.giveUp() })
	return a, left
}

func (x *exchange) serve(d core.Serve) {
	w := x.p.w
	a, left := x.begin(d.Deadline)
	if a == nil {
		return
	}
	t := w.targets[d.Address]
	a.target = d.Target
	left = left.Truncate(time.Millisecond)
	w.after(w.between(200*time.Microsecond, 2*time.Millisecond), func() { t.receive(a, left) })
}

// send sends the request to another instance and waits for its answer.
func (x *exchange) send(origin core.Origin, peer core.Peer, home string, deadline time.Time) {
	w := x.p.w
	a, left := x.begin(deadline)
	if a == nil {
		return
	}
	a.home = origin == core.FromForward
	req := x.req
	req.Home = home
	w.after(w.delay(x.p.place, w.home[peer.ID]), func() { a.arrive(origin, req, peer.ID, left) })
}

// arrive delivers the request to the peer, if it is running and can be reached.
func (a *attempt) arrive(origin core.Origin, req core.Request, name string, left time.Duration) {
	w := a.x.p.w
	q := w.live[name]
	switch {
	case a.over:
		return
	case q == nil:
		a.result(core.Finished{Result: core.NotRun, Proof: once.ProofNoConn})
		return
	case !w.open(a.x.p, q) && w.chance(0.5):
		w.after(300*time.Millisecond, func() { a.result(core.Finished{Result: core.NotRun, Proof: once.ProofNoConn}) })
		return
	case !w.open(a.x.p, q):
		return // lost on a connection that still looked open
	}
	q.deliver(func() {
		a.peerExchange = q.receive(origin, req, a.x.call, left, func(ans answer) { a.answered(q, ans) })
		a.peerExchange.upstream = a
	})
}

// answered sends a peer's answer back.
func (a *attempt) answered(q *proc, ans answer) {
	w := a.x.p.w
	if !w.open(q, a.x.p) || w.chance(0.01) {
		a.x.call.disrupted = true
		return
	}
	w.after(w.delay(q.place, a.x.p.place), func() { a.result(a.finished(ans)) })
}

func (a *attempt) finished(ans answer) core.Finished {
	ev := core.Finished{Result: ans.kind, Reason: ans.reason, Body: []byte(ans.body), Status: 200}
	if ans.kind == core.NotRun {
		ev.Proof = once.ProofRefusal
	}
	if ans.retry > 0 {
		ev.RetryAt = a.x.p.local().Add(ans.retry)
	}
	return ev
}

// result reports the end of the attempt to the node, once its process runs.
func (a *attempt) result(ev core.Finished) {
	a.x.p.deliver(func() {
		if a.over {
			return
		}
		a.over = true
		a.x.finish(a, ev)
	})
}

// giveUp ends an attempt whose deadline has passed, or whose sender no longer waits.
func (a *attempt) giveUp() {
	if a.over {
		return
	}
	a.over = true
	a.drop()
	a.x.finish(a, core.Finished{Result: core.Failed})
}

// drop closes the attempt's connection; the other side notices.
func (a *attempt) drop() {
	if a.work != nil {
		a.work.abandon()
	}
	if peerExchange := a.peerExchange; peerExchange != nil {
		w := a.x.p.w
		w.after(w.delay(a.x.p.place, peerExchange.p.place), func() { peerExchange.p.deliver(peerExchange.cancel) })
	}
}

// finish reports a result to the node, and sends a complete answer to the sender of the
// request.
func (x *exchange) finish(a *attempt, ev core.Finished) {
	x.attempt = nil
	x.homeRefused = a.home && ev.Result == core.NotRun && ev.Proof == once.ProofRefusal
	ev.ID = x.id
	ev.Took = x.p.local().Sub(a.started)
	x.p.w.tracef("%s: %s ended, result %d %s", x.p, x.req.Name, ev.Result, ev.Reason)
	if ev.Result == core.Answered || ev.Final {
		x.final(answer{kind: ev.Result, body: string(ev.Body)})
	}
	x.p.step(ev)
	if ev.Result == core.Failed && a.target != (owner.TargetKey{}) {
		a.awaitEnd()
	}
}

// awaitEnd reports to the node when the target has ended the connection of an aborted
// attempt, or that the connection was reset.
func (a *attempt) awaitEnd() {
	w := a.x.p.w
	report := func() {
		w.after(w.between(200*time.Microsecond, 2*time.Millisecond), func() {
			a.x.p.deliver(func() { a.x.p.step(core.ConnectionEnded{ID: a.x.id, Target: a.target, Reset: a.reset}) })
		})
	}
	if a.work != nil && !a.work.over && !a.reset {
		a.work.onEnd = report
		return
	}
	report()
}

// cancel handles the disconnection of the sender. Keyed requests continue.
func (x *exchange) cancel() {
	if x.done || x.req.Key != "" {
		return
	}
	x.senderGone = true
	if x.attempt != nil {
		x.attempt.giveUp()
		return
	}
	x.p.step(core.Cancelled{ID: x.id})
}

// decided carries out a decision that ends the request; it returns false for others.
func (x *exchange) decided(d core.Decision) bool {
	switch d := d.(type) {
	case core.Refuse:
		ans := answer{kind: core.NotRun, reason: d.Reason}
		if d.Unknown {
			ans.kind = core.Failed
		}
		if !d.RetryAt.IsZero() {
			ans.retry = max(d.RetryAt.Sub(x.p.local()), time.Millisecond)
		}
		x.final(ans)
	case core.Replay:
		if d.Answer.Dropped {
			x.final(answer{kind: core.Failed, reason: core.ReasonNotKept})
			return true
		}
		x.final(answer{kind: core.Answered, body: string(d.Answer.Body), reason: core.ReasonReplay})
	default:
		return false
	}
	return true
}

// final gives the final answer.
func (x *exchange) final(ans answer) {
	x.p.w.check.finalGiven(x, ans)
	x.done = true
	delete(x.p.exchanges, x.id)
	x.reply(ans)
}
