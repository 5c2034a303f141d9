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
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/targets"
	"github.com/firlever/firlever/internal/tcp"
)

// Prefixes of the paths that instances serve.
const (
	PrefixCall    = "/call/"
	PrefixHand    = "/hand/"
	PrefixForward = "/forward/"
	PrefixLookup  = "/lookup/"
	PrefixGrant   = "/grant/"
	PathCrashes   = "/crashes" // for peers only
)

// connEndTimeout is longer than a target may take to close a connection.
const connEndTimeout = 2 * time.Minute

// maxRefusalBody is how many bytes are read of a peer's refusal, so that its connection can be
// reused.
const maxRefusalBody = 4 << 10

// exchange handles one request from its arrival to its final answer.
type exchange struct {
	s          *Server
	w          http.ResponseWriter
	r          *http.Request
	id         core.ID
	req        core.Request
	ask        core.Ask // by the peer that handed the request off; Peer is empty otherwise
	route      route
	body       *body
	arrived    time.Time
	callerGone bool // the caller disconnected, but the attempt continues
}

// run carries out decisions until the request has its final answer.
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

// execute carries out one decision. It reports whether the request is finished.
func (x *exchange) execute(d core.Decision) bool {
	x.s.recordDecision(x.req, d)
	switch d := d.(type) {
	case core.Serve:
		t := attempt{deadline: d.Deadline, detached: d.Detached, home: d.Home, linkRate: d.AnswerRate, target: d.Target, connEnd: make(chan targets.ConnEnd, 1)}
		return x.send(t, x.outgoing(t, d.Address, ""), x.handleTargetAnswer)
	case core.HandOff:
		t := attempt{deadline: d.Deadline, detached: d.Detached, home: d.Home, toPeer: true, linkRate: d.AnswerRate, uploadRate: d.UploadRate}
		out := x.outgoing(t, d.Peer.Address, PrefixHand)
		setCount(out.Header, HeaderWant, d.Want)
		return x.send(t, out, x.handleOwnerAnswer(d))
	case core.Forward:
		t := attempt{deadline: d.Deadline, detached: true, home: d.Home, toPeer: true}
		return x.send(t, x.outgoing(t, d.Peer.Address, PrefixForward), x.handlePeerAnswer)
	case core.Replay:
		x.repeat(d)
		return true
	case core.Refuse:
		x.refuse(d)
		return true
	}
	return false
}

// attempt is one attempt to have a request answered by a target or a peer.
type attempt struct {
	deadline   time.Time
	detached   bool // continues after the caller disconnects
	toPeer     bool // sent to another instance
	home       string
	linkRate   int64 // bytes/s of answers; 0 sets no limit
	uploadRate int64 // bytes/s of bodies; 0 sets no limit
	began      time.Time
	ctx        context.Context // done when the attempt ends
	reqBody    *attemptBody

	target  owner.TargetKey      // zero for a peer
	connEnd chan targets.ConnEnd // how the target closed the connection of an aborted attempt; nil for a peer
}

// outgoing builds the request for a target, or for a peer if prefix isn't empty.
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
		out.Header.Set("User-Agent", "") // otherwise the transport adds its own
	}
	x.setRequestHeaders(out.Header, t)
	return out
}

// setRequestHeaders sets the Firlever headers of an outgoing request.
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

// send sends the request and processes the result. read handles an answer whose headers have
// arrived.
func (x *exchange) send(t attempt, out *http.Request, read answerHandler) bool {
	ctx := x.r.Context()
	if t.detached {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, boottime.ToRuntime(t.deadline))
	defer cancel()
	t.ctx = ctx
	t.began = x.s.dispatcher.Now()
	reqBody, err := x.body.forAttempt(func(n int) error { return x.s.pacer.wait(ctx, t.uploadRate, n) })
	if err != nil {
		x.fail(t, core.Finished{Result: core.NotRun, Proof: once.ProofNoByte, LackedHere: true}) // the target is not to blame
		return false
	}
	t.reqBody = reqBody
	defer t.reqBody.stop()
	if x.body.size != 0 {
		out.Body = t.reqBody
	}
	x.setReadDeadline(t.deadline.Add(replyTimeout))
	setTimeLeft(out.Header, HeaderTimeout, t.began, t.deadline)
	if !x.req.StartDeadline.IsZero() {
		setTimeLeft(out.Header, HeaderStart, t.began, x.req.StartDeadline)
	}
	resp, err := x.s.client.Send(ctx, out, t.onConnEnd())
	if err != nil {
		ev := sendFailure(err)
		ev.Aborted = ev.Result == core.Failed && abortedByRemote(ctx, err)
		x.fail(t, ev)
		return false
	}
	defer resp.Body.Close()
	if err := http1.HoldAnswer(x.r.Context(), resp); err != nil {
		x.fail(t, core.Finished{Result: core.Failed, LackedHere: true})
		return false
	}
	return read(t, resp)
}

// answerHandler handles an answer. It reports whether the request is finished.
type answerHandler func(t attempt, resp *http.Response) bool

func sendFailure(err error) core.Finished {
	var notSent *targets.NotSentError
	if errors.As(err, &notSent) {
		return core.Finished{Result: core.NotRun, Proof: notSent.Proof(), LackedHere: tcp.LacksResources(err)}
	}
	return core.Finished{Result: core.Failed}
}

// abortedByRemote reports whether the other end closed the connection, as opposed to a timeout or a
// cancelled attempt.
func abortedByRemote(ctx context.Context, err error) bool {
	var network net.Error
	return ctx.Err() == nil && !(errors.As(err, &network) && network.Timeout())
}

// fail reports an attempt without an answer to the node, and whether the caller caused the failure.
func (x *exchange) fail(t attempt, ev core.Finished) {
	t.reqBody.stop()
	ev.BodyConsumed = x.body.consumed.Load()
	ev.CallerGone = ev.CallerGone || x.body.aborted.Load() || !t.detached && x.r.Context().Err() != nil
	x.finish(t, ev)
}

// finish reports the outcome of an attempt to the node.
func (x *exchange) finish(t attempt, ev core.Finished) {
	ev.ID = x.id
	ev.Took = x.s.dispatcher.Now().Sub(t.began)
	x.s.dispatcher.Step(ev)
	if ev.Result == core.Failed && t.connEnd != nil {
		go x.s.awaitConnEnd(x.id, t)
	}
}

// onConnEnd returns the callback that receives how the attempt's connection ended; nil for a peer.
func (t attempt) onConnEnd() func(end targets.ConnEnd) {
	if t.connEnd == nil {
		return nil
	}
	return func(end targets.ConnEnd) { t.connEnd <- end }
}

// awaitConnEnd reports to the node that the target has closed the connection of an aborted attempt.
func (s *Server) awaitConnEnd(id core.ID, t attempt) {
	select {
	case end := <-t.connEnd:
		if end != targets.CloseTimedOut {
			s.dispatcher.Step(core.ConnectionEnded{ID: id, Target: t.target, Reset: end == targets.Reset})
		}
	case <-time.After(connEndTimeout): // the node has already released the slot
	}
}

// handleTargetAnswer handles a target's answer. Of its Firlever headers, only the refusal that
// proves that nothing ran and the target's notice are used.
func (x *exchange) handleTargetAnswer(t attempt, resp *http.Response) bool {
	received := ReadNotice(t.target, t.began, resp)
	x.s.dispatcher.Step(received)
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == OutcomeNotRun {
		now := x.s.dispatcher.Now()
		ev := core.Finished{Result: core.NotRun, Proof: once.ProofRefusal, RetryAt: retryAfter(resp.Header, now)}
		if ev.RetryAt.IsZero() && received.Notice.BackOff > 0 {
			ev.RetryAt = now.Add(received.Notice.BackOff)
		}
		x.fail(t, ev)
		return false
	}
	return x.relay(t, resp)
}

// handleOwnerAnswer handles the answer of the peer that a request was handed off to, with the grant
// that it offers.
func (x *exchange) handleOwnerAnswer(d core.HandOff) answerHandler {
	return func(t attempt, resp *http.Response) bool {
		ev := grantReceived(resp.Header, t.began, d.Peer)
		ev.ID, ev.Service, ev.Home = x.id, x.req.Service, d.Home
		x.s.dispatcher.Step(ev)
		return x.handlePeerAnswer(t, resp)
	}
}

// handlePeerAnswer handles another instance's answer.
func (x *exchange) handlePeerAnswer(t attempt, resp *http.Response) bool {
	ev := core.Finished{
		Result:  core.Failed,
		Reason:  core.Reason(resp.Header.Get(HeaderReason)),
		RetryAt: retryAfter(resp.Header, x.s.dispatcher.Now()),
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
