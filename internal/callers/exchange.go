package callers

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/dispatch"
	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/targets"
)

// Prefixes of the paths that instances serve.
const (
	PrefixCall    = "/call/"
	PrefixHand    = "/hand/"
	PrefixForward = "/forward/"
	PrefixLookup  = "/lookup/"
	PrefixGrant   = "/grant/"
	PathCrashes   = "/crashes" // by peers alone
)

// endTime is longer than a target may take to end a connection.
const endTime = 2 * time.Minute

// maxRefusal is how much of a peer's refusal is read, so that its connection
// can be kept.
const maxRefusal = 4 << 10

// exchange carries one request from its arrival to its final answer.
type exchange struct {
	s    *Server
	w    http.ResponseWriter
	r    *http.Request
	id   core.ID
	req  core.Request
	ask  core.Ask // of the peer that handed it off; Peer is empty otherwise
	to   route
	body *body
	came time.Time // when it arrived
	gone bool      // the caller has gone, but the attempt runs on
}

// run acts on decisions until the request has had its final answer.
func (x *exchange) run(box *dispatch.Mailbox) {
	done := x.r.Context().Done()
	for {
		select {
		case <-box.Ready():
			for _, d := range box.Take() {
				if x.act(d) {
					return
				}
			}
		case <-done:
			done = nil
			x.s.dispatcher.Step(core.Cancelled{ID: x.id})
		}
	}
}

// act carries one decision out. It returns true when the request is over.
func (x *exchange) act(d core.Decision) bool {
	x.s.note(x.req, d)
	switch d := d.(type) {
	case core.Serve:
		t := try{deadline: d.Deadline, runOn: d.RunOn, home: d.Home, link: d.Link, target: d.Target, ended: make(chan targets.End, 1)}
		return x.attempt(t, x.outgoing(t, d.Address, ""), x.fromTarget)
	case core.Hand:
		t := try{deadline: d.Deadline, runOn: d.RunOn, home: d.Home, peer: true, link: d.Link, upload: d.Upload}
		out := x.outgoing(t, d.Peer.Address, PrefixHand)
		setCount(out.Header, HeaderWant, d.Want)
		return x.attempt(t, out, x.fromOwner(d))
	case core.Forward:
		t := try{deadline: d.Deadline, runOn: true, home: d.Home, peer: true}
		return x.attempt(t, x.outgoing(t, d.Peer.Address, PrefixForward), x.fromPeer)
	case core.Repeat:
		x.repeat(d)
		return true
	case core.Refuse:
		x.refuse(d)
		return true
	}
	return false
}

// try is one attempt.
type try struct {
	deadline time.Time
	runOn    bool // it goes on when the caller goes away
	peer     bool // it goes to another instance
	home     string
	link     int64 // bytes/s of answers, 0 sets no limit
	upload   int64 // bytes/s of bodies, 0 sets no limit
	began    time.Time
	ctx      context.Context // ends with the attempt
	part     *part

	target owner.TargetKey  // none of a peer's
	ended  chan targets.End // how the target ended the attempt's connection, if it was broken off; nil for a peer
}

// outgoing builds the request for a target, or for a peer that serves prefix.
func (x *exchange) outgoing(t try, address, prefix string) *http.Request {
	if prefix != "" {
		prefix += x.to.service.String()
	}
	out := &http.Request{
		Method:        x.r.Method,
		URL:           x.to.target(address, prefix, x.r.URL),
		Host:          x.r.Host,
		Header:        make(http.Header, len(x.r.Header)+6),
		Body:          http.NoBody,
		ContentLength: x.body.size,
	}
	copyHeader(out.Header, x.r.Header)
	if out.Header.Get("User-Agent") == "" {
		out.Header.Set("User-Agent", "") // or the transport adds its own
	}
	x.setOwn(out.Header, t)
	return out
}

// setOwn sets our own headers of a request.
func (x *exchange) setOwn(h http.Header, t try) {
	h.Set(HeaderRequest, x.req.Name)
	h.Set(HeaderHome, t.home)
	if x.req.Key != "" {
		h.Set(HeaderKey, x.req.Key)
	}
	if t.peer {
		h.Set(HeaderFrom, x.s.cfg.Instance)
	}
}

// attempt sends the request and takes in how that went. read takes in an
// answer whose headers have come, and relays it.
func (x *exchange) attempt(t try, out *http.Request, read reader) bool {
	ctx := x.r.Context()
	if t.runOn {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, boottime.Runtime(t.deadline))
	defer cancel()
	t.ctx = ctx
	t.part = x.body.part(func(n int) error { return x.s.link.wait(ctx, t.upload, n) })
	defer t.part.stop()
	if x.body.size != 0 {
		out.Body = t.part
	}
	x.readBy(t.deadline.Add(replyTime))
	t.began = x.s.dispatcher.Now()
	setLeft(out.Header, HeaderTimeout, t.began, t.deadline)
	if !x.req.Start.IsZero() {
		setLeft(out.Header, HeaderStart, t.began, x.req.Start)
	}
	resp, err := x.s.client.Send(ctx, out, t.end())
	if err != nil {
		ev := failure(err)
		ev.Broken = ev.Result == core.Failed && broken(ctx, err)
		x.fail(t, ev)
		return false
	}
	defer resp.Body.Close()
	return read(t, resp)
}

// reader takes in an answer. It returns true when the request is over.
type reader func(t try, resp *http.Response) bool

func failure(err error) core.Finished {
	var notSent *targets.NotSentError
	if errors.As(err, &notSent) {
		return core.Finished{Result: core.NotRun, Proof: notSent.Proof()}
	}
	return core.Finished{Result: core.Failed}
}

// broken says whether the other end closed a connection, rather than that the time was over
// or the attempt was given up.
func broken(ctx context.Context, err error) bool {
	var network net.Error
	return ctx.Err() == nil && !(errors.As(err, &network) && network.Timeout())
}

// fail tells the node of an attempt without an answer, and whose fault it was.
func (x *exchange) fail(t try, ev core.Finished) {
	t.part.stop()
	ev.Spent = x.body.spent.Load()
	ev.Gone = ev.Gone || x.body.broke.Load() || !t.runOn && x.r.Context().Err() != nil
	x.finish(t, ev)
}

// finish tells the node how the attempt ended.
func (x *exchange) finish(t try, ev core.Finished) {
	ev.ID = x.id
	ev.Took = x.s.dispatcher.Now().Sub(t.began)
	x.s.dispatcher.Step(ev)
	if ev.Result == core.Failed && t.ended != nil {
		go x.s.awaitEnd(x.id, t)
	}
}

// end is who is told how the attempt's connection ended; nil for a peer's.
func (t try) end() func(end targets.End) {
	if t.ended == nil {
		return nil
	}
	return func(end targets.End) { t.ended <- end }
}

// awaitEnd tells the node when the target has ended the connection of a broken attempt.
func (s *Server) awaitEnd(id core.ID, t try) {
	select {
	case end := <-t.ended:
		if end != targets.Unnoticed {
			s.dispatcher.Step(core.Ended{ID: id, Target: t.target, Cut: end == targets.Reset})
		}
	case <-time.After(endTime): // the node has given the slot back by itself
	}
}

// fromTarget takes in a target's answer. Of its headers with our names only the refusal that
// proves that nothing ran, and what it says of the requests that it wants, are understood.
func (x *exchange) fromTarget(t try, resp *http.Response) bool {
	said := Noticed(t.target, t.began, resp)
	x.s.dispatcher.Step(said)
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == OutcomeNotRun {
		now := x.s.dispatcher.Now()
		ev := core.Finished{Result: core.NotRun, Proof: once.ProofRefusal, Retry: retryAfter(resp.Header, now)}
		if ev.Retry.IsZero() && said.Notice.Rest > 0 {
			ev.Retry = now.Add(said.Notice.Rest)
		}
		x.fail(t, ev)
		return false
	}
	return x.relay(t, resp)
}

// fromOwner takes in the answer of a peer that a request was handed to, and
// what it offers along with it.
func (x *exchange) fromOwner(d core.Hand) reader {
	return func(t try, resp *http.Response) bool {
		ev := heard(resp.Header, t.began, d.Peer)
		ev.ID, ev.Service, ev.Home = x.id, x.req.Service, d.Home
		x.s.dispatcher.Step(ev)
		return x.fromPeer(t, resp)
	}
}

// fromPeer takes in another instance's answer.
func (x *exchange) fromPeer(t try, resp *http.Response) bool {
	ev := core.Finished{
		Result: core.Failed,
		Reason: core.Reason(resp.Header.Get(HeaderReason)),
		Retry:  retryAfter(resp.Header, x.s.dispatcher.Now()),
	}
	switch resp.Header.Get(HeaderOutcome) {
	case OutcomeAnswered:
		return x.relay(t, resp)
	case OutcomeNotRun:
		ev.Result, ev.Proof = core.NotRun, once.ProofRefusal
	}
	io.CopyN(io.Discard, resp.Body, maxRefusal)
	x.fail(t, ev)
	return false
}
