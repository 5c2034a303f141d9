package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

// forwardElsewhere serves a request while this instance is partitioned from all targets: a peer gets
// it, one hop only. What no peer takes is refused at once.
func (n *Node) forwardElsewhere(ctx context.Context, p *pendingRequest) *http1.Response {
	if p.from != "" {
		return n.refusePartitioned(p)
	}
	if resp := n.handOff(ctx, p); resp != nil {
		return resp
	}
	return n.refusePartitioned(p)
}

// forwardIfBehind hands a request off while peers have answered others by a later configuration than
// is in force here: what callers have seen of it must not be undone. It returns nil if there is no such
// peer or none takes the request.
func (n *Node) forwardIfBehind(ctx context.Context, p *pendingRequest) *http1.Response {
	if p.from != "" || !n.handOffs.ahead(p.rules.Config().Version) {
		return nil
	}
	return n.handOff(ctx, p)
}

// handOff hands a request off and returns the answer; nil if no peer takes it.
func (n *Node) handOff(ctx context.Context, p *pendingRequest) *http1.Response {
	sent := boottime.Now()
	r := n.handOffs.send(ctx, p, n.handOffRequest(p))
	p.peer, p.cause = r.peer, r.err
	if r.target != "" {
		n.applyPeersNotice(p, r, sent)
	}
	if r.refused {
		if r.resp != nil {
			r.resp.Discard()
		}
		p.peer = ""
		return nil
	}
	ran := p.mayHaveRun || r.ran
	p.choice, p.ending, p.reached = steer.Choice{}, steer.Answered, p.reached+1
	switch {
	case r.err != nil:
		p.mayHaveRun, p.ending = true, steer.Failed
		if ctx.Err() != nil {
			p.ending = steer.CallerLeft
		}
		return ownAnswer(p.info, p.status(boottime.Now(), p.deadline))
	case r.resp.Status == http.StatusServiceUnavailable && p.mayHaveRun:
		// The peer promises only that it has not run the request itself.
		r.resp.Discard()
		return n.failureAnswer(p)
	}
	p.mayHaveRun = ran
	return r.resp
}

// applyPeersNotice applies what the target of a peer announces in an answer that is passed on here: the
// target may expect that this instance knows it from then on.
func (n *Node) applyPeersNotice(p *pendingRequest, r handOffResult, sent time.Time) {
	n.mu.Lock()
	target, ok := n.fleet.Target(r.target)
	n.mu.Unlock()
	if ok {
		n.applyNotice(p, target, sent, r.resp.Status, platform.ReadAnswer(r.resp.Status, r.resp.Header))
	}
}

// handOffRequest returns what a peer needs to know of a request.
func (n *Node) handOffRequest(p *pendingRequest) handOffRequest {
	return handOffRequest{
		From: n.cfg.Settings.Instance, Config: p.rules.Config().Version,
		Attempts: p.reached + p.inFlight, Counted: p.counted, Tried: p.sentTo,
	}
}

// refusePartitioned answers a request that neither this instance nor a peer can serve.
func (n *Node) refusePartitioned(p *pendingRequest) *http1.Response {
	p.choice = steer.Choice{Reason: reasonPartitioned, RetryAfter: retryAfterPartition}
	return n.failureAnswer(p)
}

// handleHandOff answers a request that a peer has handed off.
func (n *Node) handleHandOff(ctx context.Context, r *http1.Request) *http1.Response {
	info := platform.ReadRequest(r.Header)
	var q handOffRequest
	if err := takeHandOff(r.Header, &q); err != nil || !q.valid() {
		resp := n.refuse(r, info, &refusal{status: http.StatusBadRequest, reason: "unreadable"}, "err", err)
		setHandOff(resp.Header, handOffAnswer{Config: n.configVersion()})
		return resp
	}
	if reason := n.declines(r, q); reason != "" {
		return n.decline(r, reason)
	}
	a, refused := n.admit(r, info)
	if refused != nil {
		resp := n.refuse(r, info, refused, "from", q.From)
		setHandOff(resp.Header, handOffAnswer{Config: n.configVersion()})
		return resp
	}
	p := newPendingRequest(a, r, info)
	p.from, p.counted, p.reached, p.tried = q.From, q.Counted, q.Attempts, q.Tried
	resp := n.forward(ctx, p)
	n.recordAnswer(p, resp)
	answer := handOffAnswer{Config: p.rules.Config().Version, Ran: p.mayHaveRun}
	if p.answeredByTarget {
		answer.Target = p.choice.Target.ID
	}
	if p.choice.Reason == reasonPartitioned {
		answer.Declined = declinedPartitioned
	}
	setHandOff(resp.Header, answer)
	return resp
}

// declines returns why a request of a peer is declined; "" if it isn't.
func (n *Node) declines(r *http1.Request, q handOffRequest) string {
	switch {
	case n.tooLate(r.ReceivedAt):
		return declinedStopping
	case n.rules.Load() == nil || n.configVersion() < q.Config:
		return declinedOldConfig
	case n.partition.partitioned():
		return declinedPartitioned
	}
	return ""
}

// decline declines a request of a peer, which may ask another one.
func (n *Node) decline(r *http1.Request, reason string) *http1.Response {
	info := platform.ReadRequest(r.Header)
	resp := n.refuse(r, info, &refusal{status: http.StatusServiceUnavailable, reason: "declined-" + reason, retryAfter: minRetryAfter})
	setHandOff(resp.Header, handOffAnswer{Config: n.configVersion(), Declined: reason})
	return resp
}

// handOffHandlers returns the handlers of requests that peers hand off.
func (n *Node) handOffHandlers() http1.Handlers {
	return http1.Handlers{
		Handle:      n.handleHandOff,
		RefuseEarly: n.refuseHandOffEarly,
		Busy:        n.cfg.Overload.Refuse,
		BusyAnswer:  func(r *http1.Request) *http1.Response { return n.decline(r, declinedOverloaded) },
		NoMemory:    func(r *http1.Request) *http1.Response { return n.decline(r, declinedNoMemory) },
		Limits:      n.handOffLimits, ErrorAnswer: n.refuseUnreadable, Budget: n.budget,
	}
}

// refuseHandOffEarly declines a request of a peer before its body is read.
func (n *Node) refuseHandOffEarly(r *http1.Request) *http1.Response {
	var q handOffRequest
	header := r.Header.Clone()
	if takeHandOff(header, &q) != nil {
		return nil // refused by handleHandOff
	}
	if reason := n.declines(r, q); reason != "" {
		return n.decline(r, reason)
	}
	return nil
}

// handOffLimits returns the bounds on requests of peers: those on requests of callers, and the header
// that a peer adds. Peers keep connections for a time of their own.
func (n *Node) handOffLimits() http1.Limits {
	l := n.limits()
	l.HeaderBytes += handOffHeaderBytes
	l.IdleTimeout = max(l.IdleTimeout, idleTimeout)
	return l
}

// handOffHeaderBytes is the most that the header of a hand-off takes.
const handOffHeaderBytes = 4 << 10

// listenHandOffs opens the listener for requests of peers.
func (n *Node) listenHandOffs() error {
	ln, err := net.Listen("tcp", chooseHandOffAddress(&n.cfg.Settings))
	if err != nil {
		return errors.Annotate(err, "listen for hand-offs")
	}
	n.handOffLn, n.handOffAddress = ln, ln.Addr().String()
	go n.handOffServer.Serve(ln)
	return nil
}
