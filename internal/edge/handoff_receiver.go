package edge

import (
	"context"
	"net"
	"net/http"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/platform"
)

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
	if refused == refusedBehind {
		return n.decline(r, declinedOldConfig)
	}
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
		Limits:      n.handOffLimits, ErrorAnswer: n.refuseUnreadable, Budget: n.resources.budget, Port: n.resources.accepted.Port("hand-offs"), AcceptFailed: n.acceptFailed,
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
