package grant

import "time"

// Holdings holds the grants that a sender has received from its peers.
type Holdings struct {
	held map[string]map[Use]*grants // by peer
}

// NewHoldings returns empty Holdings.
func NewHoldings() *Holdings { return &Holdings{held: make(map[string]map[Use]*grants)} }

// Add adds a received grant. until must be counted by the sender's clock from
// before it sent the message that the grant answers, so that the grant expires
// here before it expires at the granter.
func (h *Holdings) Add(peer string, use Use, n int, until time.Time) {
	if n <= 0 {
		return
	}
	uses, ok := h.held[peer]
	if !ok {
		uses = make(map[Use]*grants)
		h.held[peer] = uses
	}
	if uses[use] == nil {
		uses[use] = &grants{}
	}
	uses[use].add(n, until)
}

// Held returns how many requests may be sent to a peer now.
func (h *Holdings) Held(now time.Time, peer string, use Use) int {
	g := h.held[peer][use]
	if g == nil {
		return 0
	}
	g.drop(now)
	return g.sum()
}

// Take uses up to n requests of a peer's grants, and returns how many it used.
func (h *Holdings) Take(now time.Time, peer string, use Use, n int) int {
	g := h.held[peer][use]
	if g == nil {
		return 0
	}
	g.drop(now)
	return g.take(n)
}

// Forget drops the grants of a peer that was removed or is another incarnation.
func (h *Holdings) Forget(peer string) { delete(h.held, peer) }
