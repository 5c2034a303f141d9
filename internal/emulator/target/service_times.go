package target

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// serviceTimes draws service times from a log-normal distribution around a mean, times a
// factor that falls to 1 while a cold target warms up.
type serviceTimes struct {
	mu          sync.Mutex
	cfg         Config
	rng         *rand.Rand
	warmupStart time.Time
	requests    int     // since warmupStart
	slowdown    float64 // factor; 1 for none
}

func newServiceTimes(cfg Config, now time.Time) *serviceTimes {
	return &serviceTimes{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, 0)),
		warmupStart: now,
		slowdown:    1,
	}
}

// next returns the service time of a request that starts now.
func (p *serviceTimes) next(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.cfg.Mean.Seconds()
	if s := p.cfg.Spread; s > 0 {
		d *= math.Exp(s*p.rng.NormFloat64() - s*s/2)
	}
	d *= p.coldFactor(now) * p.slowdown
	p.requests++
	return time.Duration(d * float64(time.Second))
}

// coldFactor falls linearly from Config.Cold to 1, by the number of requests or by time,
// whichever has progressed further.
func (p *serviceTimes) coldFactor(now time.Time) float64 {
	warm := 0.0
	if n := p.cfg.WarmRequests; n > 0 {
		warm = float64(p.requests) / float64(n)
	}
	if d := p.cfg.WarmFor; d > 0 {
		warm = max(warm, now.Sub(p.warmupStart).Seconds()/d.Seconds())
	}
	return 1 + (p.cfg.Cold-1)*max(0, 1-warm)
}

func (p *serviceTimes) resetWarmup(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmupStart = now
	p.requests = 0
}

func (p *serviceTimes) setSlowdown(factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowdown = factor
}
