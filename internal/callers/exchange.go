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

// connEndTimeout is longer than a target may take to end a connection.
const connEndTimeout = 2 * time.Minute

// maxRefusalBody is how much of a peer's refusal is read, so that its connection
// can be kept.
const maxRefusalBody = 4 << 10

// exchange carries one request from its arrival to its final answer.
type exchange struct {
	s    *Server
	w    http.ResponseWriter
	r    *http.Request
	id   core.ID
	req  core.Request
	ask  core.Ask // of the peer that handed it off; Peer is empty otherwise
	route   route
	body *body
	arrived time.Time // when it arrived
	callerGone bool      // the caller has gone, but the attempt runs on
}

// run acts on decisions until the request has had its final answer.
func (x *exchange) run(box *dispatch.Mailbox) {
	done := x.r.Context().Done()
	for {
		select {
		case <-box.Ready():
			for _, d := range box.Take() {
				if x.execute(d) {
					return
				}
			}
		case <-done:
			done = nil
			x.s.dispatcher.Step(core.Cancelled{ID: x.id})
		}
	}
}

// execute carries one decision out. It returns true when the request is over.
func (x *exchange) execute(d core.Decision) bool {
	x.s.recordDecision(x.req, d)
	switch d := d.(type) {
	case core.Serve:
		t := attempt{deadline: d.Deadline, detached: d.RunOn, home: d.Home, linkRate: d.Link, target: d.Target, connEnd: make(chan targets.End, 1)}
		return x.send(t, x.outgoing(t, d.Address, ""), x.handleTargetAnswer)
	case core.Hand:
		t := attempt{deadline: d.Deadline, detached: d.RunOn, home: d.Home, toPeer: true, linkRate: d.Link, uploadRate: d.Upload}
		out := x.outgoing(t, d.Peer.Address, PrefixHand)
		setCount(out.Header, HeaderWant, d.Want)
		return x.send(t, out, x.handleOwnerAnswer(d))
	case core.Forward:
		t := attempt{deadline: d.Deadline, detached: true, home: d.Home, toPeer: true}
		return x.send(t, x.outgoing(t, d.Peer.Address, PrefixForward), x.handlePeerAnswer)
	case core.Repeat:
		x.repeat(d)
		return true
	case core.Refuse:
		x.refuse(d)
		return true
	}
	return false
}

// attempt is one attempt.
type attempt struct {
	deadline time.Time
	detached    bool // it goes on when the caller goes away
	toPeer     bool // it goes to another instance
	home     string
	linkRate     int64 // bytes/s of answers, 0 sets no limit
	uploadRate   int64 // bytes/s of bodies, 0 sets no limit
	began    time.Time
	ctx      context.Context // ends with the attempt
	reqBody     *attemptBody

	target owner.TargetKey  // none of a peer's
	connEnd  chan targets.End // how the target ended the attempt's connection, if it was broken off; nil for a peer
}

// outgoing builds the request for a target, or for a peer that serves prefix.
func (x *exchange) outgoing(t attempt, address, prefix string) *http.Request {
	if prefix != "" {
		prefix += x.route.service.String()
	}
	out := &http.Request{
		Method:        x.r.Method,
		URL:           x.route.outgoingURL(address, prefix, x.r.URL),
		Host:          x.r.Host,
		Header:        make(http.Header, len(x.r.Header)+6),
		Body:          http.NoBody,
		ContentLength: x.body.size,
	}
	copyHeader(out.Header, x.r.Header)
	if out.Header.Get("User-Agent") == "" {
		out.Header.Set("User-Agent", "") // or the transport adds its own
	}
	x.setRequestHeaders(out.Header, t)
	return out
}

// setRequestHeaders sets our own headers of a request.
func (x *exchange) setRequestHeaders(h http.Header, t attempt) {
	h.Set(HeaderRequest, x.req.Name)
	h.Set(HeaderHome, t.home)
	if x.req.Key != "" {
		h.Set(HeaderKey, x.req.Key)
	}
	if t.toPeer {
		h.Set(HeaderFrom, x.s.cfg.Instance)
	}
}

// send sends the request and takes in how that went. read takes in an
// answer whose headers have come, and relays it.
func (x *exchange) send(t attempt, out *http.Request, read answerHandler) bool {
	ctx := x.r.Context()
	if t.detached {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, boottime.Runtime(t.deadline))
	defer cancel()
	t.ctx = ctx
	t.reqBody = x.body.forAttempt(func(n int) error { return x.s.pacer.wait(ctx, t.uploadRate, n) })
	defer t.reqBody.stop()
	if x.body.size != 0 {
		out.Body = t.reqBody
	}
	x.setReadDeadline(t.deadline.Add(replyTimeout))
	t.began = x.s.dispatcher.Now()
	setTimeLeft(out.Header, HeaderTimeout, t.began, t.deadline)
	if !x.req.Start.IsZero() {
		setTimeLeft(out.Header, HeaderStart, t.began, x.req.Start)
	}
	resp, err := x.s.client.Send(ctx, out, t.onConnEnd())
	if err != nil {
		ev := sendFailure(err)
		ev.Broken = ev.Result == core.Failed && abortedByRemote(ctx, err)
		x.fail(t, ev)
		return false
	}
	defer resp.Body.Close()
	return read(t, resp)
}

// answerHandler takes in an answer. It returns true when the request is over.
type answerHandler func(t attempt, resp *http.Response) bool

func sendFailure(err error) core.Finished {
	var notSent *targets.NotSentError
	if errors.As(err, &notSent) {
		return core.Finished{Result: core.NotRun, Proof: notSent.Proof()}
	}
	return core.Finished{Result: core.Failed}
}

// abortedByRemote says whether the other end closed a connection, rather than that the time was over
// or the attempt was given up.
func abortedByRemote(ctx context.Context, err error) bool {
	var network net.Error
	return ctx.Err() == nil && !(errors.As(err, &network) && network.Timeout())
}

// fail tells the node of an attempt without an answer, and whose fault it was.
func (x *exchange) fail(t attempt, ev core.Finished) {
	t.reqBody.stop()
	ev.Spent = x.body.consumed.Load()
	ev.Gone = ev.Gone || x.body.aborted.Load() || !t.detached && x.r.Context().Err() != nil
	x.finish(t, ev)
}

// finish tells the node how the attempt ended.
func (x *exchange) finish(t attempt, ev core.Finished) {
	ev.ID = x.id
	ev.Took = x.s.dispatcher.Now().Sub(t.began)
	x.s.dispatcher.Step(ev)
	if ev.Result == core.Failed && t.connEnd != nil {
		go x.s.awaitConnEnd(x.id, t)
	}
}

// onConnEnd is who is told how the attempt's connection ended; nil for a peer's.
func (t attempt) onConnEnd() func(end targets.End) {
	if t.connEnd == nil {
		return nil
	}
	return func(end targets.End) { t.connEnd <- end }
}

// awaitConnEnd tells the node when the target has ended the connection of a broken attempt.
func (s *Server) awaitConnEnd(id core.ID, t attempt) {
	select {
	case end := <-t.connEnd:
		if end != targets.Unnoticed {
			s.dispatcher.Step(core.Ended{ID: id, Target: t.target, Cut: end == targets.Reset})
		}
	case <-time.After(connEndTimeout): // the node has given the slot back by itself
	}
}

// handleTargetAnswer takes in a target's answer. Of its headers with our names only the refusal that
// proves that nothing ran, and what it says of the requests that it wants, are understood.
func (x *exchange) handleTargetAnswer(t attempt, resp *http.Response) bool {
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

// handleOwnerAnswer takes in the answer of a peer that a request was handed to, and
// what it offers along with it.
func (x *exchange) handleOwnerAnswer(d core.Hand) answerHandler {
	return func(t attempt, resp *http.Response) bool {
		ev := grantReceived(resp.Header, t.began, d.Peer)
		ev.ID, ev.Service, ev.Home = x.id, x.req.Service, d.Home
		x.s.dispatcher.Step(ev)
		return x.handlePeerAnswer(t, resp)
	}
}

// handlePeerAnswer takes in another instance's answer.
func (x *exchange) handlePeerAnswer(t attempt, resp *http.Response) bool {
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
	io.CopyN(io.Discard, resp.Body, maxRefusalBody)
	x.fail(t, ev)
	return false
}
