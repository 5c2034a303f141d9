package edge

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

const (
	// maxHandOffPeers bounds the peers that are asked for one request.
	maxHandOffPeers = 3
	// peerAvoidance is how long a peer that declined or gave no answer is not asked.
	peerAvoidance = time.Second
	// maxAvoidedPeers bounds the peers that are remembered for that.
	maxAvoidedPeers = 1000
)

// handOffs hands requests off to peers that reach targets. It is safe for concurrent use.
type handOffs struct {
	node *Node
	pool *http1.Pool

	mu         sync.Mutex
	avoidUntil map[string]time.Time // by name of the peer; guarded by mu
	config     uint64               // highest version by which a peer has handled a request; guarded by mu
}

func newHandOffs(n *Node, dial http1.Dial) *handOffs {
	return &handOffs{node: n, pool: http1.NewPool(dial, n.resources.budget), avoidUntil: make(map[string]time.Time)}
}

// handOffResult is what became of a request that was handed off.
type handOffResult struct {
	peer    string // the last that was asked; "" if there was none
	target  string // that answered
	resp    *http1.Response
	ran     bool  // the request may have run
	refused bool  // no peer serves it
	err     error // of the last exchange
}

// send hands a request off to one peer after another until one takes it. Once a peer may have taken
// it, no other is asked, as the attempts that it has made are not known.
func (h *handOffs) send(ctx context.Context, p *pendingRequest, q handOffRequest) handOffResult {
	var r handOffResult
	for _, peer := range h.choosePeers(p, maxHandOffPeers) {
		if ctx.Err() != nil || !boottime.Now().Before(p.deadline) || p.in.Rest != nil && p.in.Rest.Used() {
			break
		}
		if r.resp != nil {
			r.resp.Discard()
		}
		r = h.exchange(ctx, p, peer, q)
		h.record(p, r)
		if !r.refused {
			return r
		}
		if ctx.Err() == nil {
			h.avoid(boottime.Now(), peer.name)
		}
	}
	r.refused = true
	return r
}

// exchange hands a request off to one peer.
func (h *handOffs) exchange(ctx context.Context, p *pendingRequest, peer handOffPeer, q handOffRequest) handOffResult {
	if !p.repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	q.Config = max(q.Config, h.lowestConfig())
	header := p.in.Header.Clone()
	platform.SetTimeLeft(header, boottime.Until(p.deadline))
	setHandOff(header, q)
	resp, err := h.pool.Do(ctx, &http1.Exchange{
		Request: p.in, Header: header, Target: peer.address, Group: "peers", Address: peer.address,
		NonIdempotent: !p.repeatable, Deadline: p.deadline, AwaitContinue: true,
		IsAnswer: func(status int, header http.Header) bool {
			return platform.ReadAnswer(status, header).BelongsTo(p.info.ID)
		},
		KeepConn: func(*http1.Response) bool { return true },
	})
	r := handOffResult{peer: peer.name, resp: resp, ran: true, err: err}
	var unsent *http1.NotSentError
	var a handOffAnswer
	switch {
	case errors.As(err, &unsent):
		r.ran, r.refused = false, true
	case err != nil:
	case takeHandOff(resp.Header, &a) != nil:
		resp.Discard()
		r.resp, r.err = nil, &HandOffError{Peer: peer.name, Status: resp.Status}
	default:
		h.raiseConfig(a.Config)
		r.ran, r.refused, r.target = a.Ran, a.Declined != "" && !a.Ran, a.Target
		if r.refused {
			r.err = &HandOffError{Peer: peer.name, Status: resp.Status, Declined: a.Declined}
		}
	}
	return r
}

// lowestConfig returns the lowest version by which requests may still be handled: what callers have
// seen in force through this instance must not be undone.
func (h *handOffs) lowestConfig() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.config, h.node.configVersion())
}

// ahead reports whether a peer has handled a request by a later version than the given one.
func (h *handOffs) ahead(version uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.config > version
}

func (h *handOffs) raiseConfig(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.config = max(h.config, version)
}

// avoid keeps requests from a peer for a while.
func (h *handOffs) avoid(now time.Time, peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.avoidUntil) >= maxAvoidedPeers {
		clear(h.avoidUntil)
	}
	h.avoidUntil[peer] = now.Add(peerAvoidance)
}

// record counts a hand-off, and logs one that was not answered.
func (h *handOffs) record(p *pendingRequest, r handOffResult) {
	reason := "answered"
	switch {
	case r.refused && r.resp != nil:
		reason = "declined"
	case r.refused:
		reason = "unreachable"
	case r.err != nil:
		reason = "no-answer"
	}
	n := h.node
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "hand-off", Service: p.service, Reason: reason})
	if r.err == nil {
		return
	}
	if suppressed, ok := n.failureLimiter.Allow(boottime.Now()); ok {
		n.cfg.Log.Warn("hand-off", "id", p.info.ID, "print", p.fingerprint, "route", p.route.Name, "peer", r.peer, "ending", reason,
			"left", boottime.Until(p.deadline), "suppressed", suppressed, "err", r.err)
	}
}

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
