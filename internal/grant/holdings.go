package grant

import "time"

// Holdings holds the grants that a sender has received from its peers.
type Holdings struct {
	held map[string]map[Use]*promises // by peer
}

// NewHoldings returns empty Holdings.
func NewHoldings() *Holdings { return &Holdings{held: make(map[string]map[Use]*promises)} }

// Heard adds a received grant. until must be counted by the sender's clock from
// before it sent the message that the grant answers, so that the grant expires
// here before it expires at the granter.
func (p *Holdings) Heard(peer string, use Use, n int, until time.Time) {
	if n <= 0 {
		return
	}
	uses, ok := p.held[peer]
	if !ok {
		uses = make(map[Use]*promises)
		p.held[peer] = uses
	}
	if uses[use] == nil {
		uses[use] = &promises{}
	}
	uses[use].add(n, until)
}

// Held returns how many requests may be sent to a peer now.
func (p *Holdings) Held(now time.Time, peer string, use Use) int {
	g := p.held[peer][use]
	if g == nil {
		return 0
	}
	g.drop(now)
	return g.sum()
}

// Take uses up to n requests of a peer's grants, and returns how many it used.
func (p *Holdings) Take(now time.Time, peer string, use Use, n int) int {
	g := p.held[peer][use]
	if g == nil {
		return 0
	}
	g.drop(now)
	return g.take(n)
}

// Forget drops the grants of a peer that was removed or is another incarnation.
func (p *Holdings) Forget(peer string) { delete(p.held, peer) }
