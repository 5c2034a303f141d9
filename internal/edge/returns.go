package edge

import (
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/reservation"
	"github.com/firlever/firlever/internal/steer"
)

// recognizeReturn records how much time the caller of a request has left, and so whether it has
// returned after a refusal. Callers that don't say how long they wait are not recognised, nor those
// whose requests were handed off. n.mu is held.
func (n *Node) recognizeReturn(p *pendingRequest) {
	if p.info.Timeout <= 0 || p.from != "" {
		return
	}
	c := n.callers[p.route.Name]
	if c == nil {
		c = new(reservation.Callers)
		n.callers[p.route.Name] = c
	}
	p.returned = c.Arrived(p.in.ReceivedAt, p.info.Timeout)
	p.returnBy = p.in.ReceivedAt.Add(time.Duration(steer.MaxReturnShare * float64(p.info.Timeout)))
	p.returnFrom = p.in.ReceivedAt.Add(c.Recognizable(p.info.Timeout))
}

// Values of the field return in log lines, and reasons of the decision return in metrics.
const (
	returnPromised   = "promised"   // refused, with capacity reserved for the caller's return
	returnUnpromised = "unpromised" // refused, and there is no capacity to reserve in the time that the caller waits
	returnKept       = "kept"       // of a caller that has returned, admitted to the reserved capacity
	returnServed     = "served"     // of a caller that has returned, answered like others
	returnRefused    = "refused"    // of a caller that has returned, refused again
)

// returnState returns what was decided about the return of the caller of a request that was answered with
// a status; "" if nothing was.
func (p *pendingRequest) returnState(status int) string {
	c := p.choice
	switch {
	case p.returned && (c.Reason != "" || status == http.StatusServiceUnavailable):
		return returnRefused
	case p.returned && c.Claimed:
		return returnKept
	case p.returned:
		return returnServed
	case c.Promised:
		return returnPromised
	case c.Reason == steer.NoCapacity || c.Reason == steer.Cold:
		return returnUnpromised
	}
	return ""
}

// countReturn counts what was decided about the return of a request's caller.
func (n *Node) countReturn(p *pendingRequest, status int) {
	if state := p.returnState(status); state != "" {
		n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "return", Service: p.service, Reason: state})
	}
}
