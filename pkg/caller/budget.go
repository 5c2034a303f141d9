package caller

import "sync"

// budget limits retries to a share of the requests made, so that they can't
// amplify an outage. It is safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	tokens float64 // 0 to burst
	burst  float64
	ratio  float64
}

func newBudget(burst int, ratio float64) *budget {
	return &budget{tokens: float64(burst), burst: float64(burst), ratio: ratio}
}

// credit adds the tokens that one request earns, up to burst.
func (b *budget) credit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// take reports whether a retry may be made, and if so takes a token for it.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
