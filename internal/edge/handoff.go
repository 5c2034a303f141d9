package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/routes"
	"github.com/firlever/firlever/platform"
)

// headerHandOff carries a handOffRequest to the peer and a handOffAnswer back, as JSON.
const headerHandOff = "Firlever-Hand-Off"

// handOffRequest is what the instance that hands a request off says of it.
type handOffRequest struct {
	From     string   `json:"from"`
	Config   uint64   `json:"config"`   // lowest version of the configuration by which the request may be handled
	Attempts int      `json:"attempts"` // attempts at targets so far; part of the route's maximum
	Counted  bool     `json:"counted"`  // the request counts in the sender's retry budget
	Tried    []string `json:"tried,omitempty"`
}

func (q handOffRequest) valid() bool { return q.From != "" && q.Attempts >= 0 }

// handOffAnswer is what the peer says of its answer.
type handOffAnswer struct {
	Config   uint64 `json:"config"`             // version of the configuration by which the request was handled
	Ran      bool   `json:"ran"`                // the request may have run
	Target   string `json:"target,omitempty"`   // ID of the target that answered; "" if none did
	Declined string `json:"declined,omitempty"` // why the peer serves no request now, so that another may be asked; only if the request has not run
}

// Reasons for which a peer declines requests.
const (
	declinedPartitioned = "partitioned"
	declinedOldConfig   = "old-config"
	declinedStopping    = "stopping"
	declinedOverloaded  = "overloaded"
	declinedNoMemory    = "no-memory"
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
	return &handOffs{node: n, pool: http1.NewPool(dial, n.budget), avoidUntil: make(map[string]time.Time)}
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
		NonIdempotent: !p.repeatable, Deadline: p.deadline,
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

// HandOffError reports that a peer declined a request, or answered it in an unexpected way.
type HandOffError struct {
	Peer     string
	Status   int
	Declined string // reason; "" if the peer gave none
}

func (e *HandOffError) Error() string {
	if e.Declined == "" {
		return "hand-off to " + e.Peer + ": unexpected answer: " + http.StatusText(e.Status)
	}
	return "hand-off to " + e.Peer + ": declined: " + e.Declined
}

// setHandOff sets the header of a hand-off, replacing any value from the caller or a target.
func setHandOff[T handOffRequest | handOffAnswer](header http.Header, v T) {
	b, err := json.Marshal(v)
	if err != nil {
		b = nil // neither type holds a value that can't be encoded
	}
	header.Set(headerHandOff, string(b))
}

// takeHandOff decodes the header of a hand-off and removes it.
func takeHandOff[T handOffRequest | handOffAnswer](header http.Header, v *T) error {
	text := header.Get(headerHandOff)
	header.Del(headerHandOff)
	return json.Unmarshal([]byte(text), v)
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

// choosePeers returns the peers to ask for a request, limit at most.
func (h *handOffs) choosePeers(p *pendingRequest, limit int) []handOffPeer {
	s := &h.node.cfg.Settings
	now := boottime.Now()
	self := record{Peers: h.node.peerAddress, Region: s.Region}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node.instances.handOffPeers(self, p.info.ID, p.regions(), limit, func(peer string) bool { return now.Before(h.avoidUntil[peer]) })
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

// handOffPeer is a peer that requests may be handed off to.
type handOffPeer struct {
	name    string // its address for peers
	address string
}

// handOffPeers returns the peers that reach targets and may take a request, limit at most: first those
// of the region, in an order by which each gets a part of the requests in proportion to the size of
// its machine. Where regions are set, only peers there may.
func (i *instances) handOffPeers(self record, request string, regions routes.Regions, limit int, avoid func(peer string) bool) []handOffPeer {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.updateLists()
	may := func(r *record) bool {
		return r.Peers != self.Peers && r.HandOffs != "" && regions.Allows(r.Region) && !avoid(r.Peers)
	}
	list := firstPeers(i.reaching.byRegion[self.Region], request, limit, may)
	if len(list) < limit {
		far := firstPeers(i.reaching.all, request, limit, func(r *record) bool { return r.Region != self.Region && may(r) })
		list = append(list, far[:min(limit-len(list), len(far))]...)
	}
	return list
}

// firstPeers returns those of the records that rank first for a request, limit at most.
func firstPeers(records []record, request string, limit int, may func(r *record) bool) []handOffPeer {
	type ranked struct {
		handOffPeer
		rank float64
	}
	cores, link := largest(records)
	var first []ranked
	for k := range records {
		r := &records[k]
		if !may(r) {
			continue
		}
		rank := -math.Log(hashFraction(request, r.Peers)) / r.size(cores, link)
		at, _ := slices.BinarySearchFunc(first, rank, func(a ranked, rank float64) int { return cmp.Compare(a.rank, rank) })
		if at < limit {
			first = slices.Insert(first, at, ranked{handOffPeer{r.Peers, r.HandOffs}, rank})
			first = first[:min(limit, len(first))]
		}
	}
	peers := make([]handOffPeer, 0, len(first))
	for _, f := range first {
		peers = append(peers, f.handOffPeer)
	}
	return peers
}
