package grant

import "time"

// Holdings is the sender's side: what peers have granted to it.
type Holdings struct {
	held map[string]map[Use]*promises // by peer
}

// NewHoldings makes an empty holdings.
func NewHoldings() *Holdings { return &Holdings{held: make(map[string]map[Use]*promises)} }

// Heard takes in a grant. until must be counted by the sender's clock from
// before it sent what earned the grant, so that it ends here before it ends at
// the granter.
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

// Held returns how many requests a peer may be sent now.
func (p *Holdings) Held(now time.Time, peer string, use Use) int {
	g := p.held[peer][use]
	if g == nil {
		return 0
	}
	g.drop(now)
	return g.sum()
}

// Take uses up to n requests of a peer's grants, and returns how many there were.
func (p *Holdings) Take(now time.Time, peer string, use Use, n int) int {
	g := p.held[peer][use]
	if g == nil {
		return 0
	}
	g.drop(now)
	return g.take(n)
}

// Forget drops the grants of a peer that has gone or is another incarnation.
func (p *Holdings) Forget(peer string) { delete(p.held, peer) }
