package target

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// pace draws service times: log-normal round a mean, times a factor that falls
// to 1 while a cold target warms up.
type pace struct {
	mu       sync.Mutex
	cfg      Config
	rng      *rand.Rand
	started  time.Time
	requests int     // since started
	slowdown float64 // set by a test; 1 for none
}

func newPace(cfg Config, now time.Time) *pace {
	return &pace{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		started:  now,
		slowdown: 1,
	}
}

// next returns the service time of a request that starts now.
func (p *pace) next(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.cfg.Mean.Seconds()
	if s := p.cfg.Spread; s > 0 {
		d *= math.Exp(s*p.rng.NormFloat64() - s*s/2)
	}
	d *= p.factor(now) * p.slowdown
	p.requests++
	return time.Duration(d * float64(time.Second))
}

// factor falls in a straight line, by requests or time, whichever is further.
func (p *pace) factor(now time.Time) float64 {
	warm := 0.0
	if n := p.cfg.WarmRequests; n > 0 {
		warm = float64(p.requests) / float64(n)
	}
	if d := p.cfg.WarmFor; d > 0 {
		warm = max(warm, now.Sub(p.started).Seconds()/d.Seconds())
	}
	return 1 + (p.cfg.Cold-1)*max(0, 1-warm)
}

func (p *pace) restart(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started = now
	p.requests = 0
}

func (p *pace) setSlowdown(factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowdown = factor
}
