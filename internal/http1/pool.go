package http1

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/boottime"
)

const (
	// dialTimeout bounds the time to connect: several round trips between regions,
	// and less than the second after which a lost SYN is retransmitted, so that
	// another target is tried instead.
	dialTimeout = 500 * time.Millisecond
	// defaultIdle is the assumed keep-alive time of a target that announces none.
	defaultIdle = 4 * time.Second
	// idleShare is the fraction of a target's keep-alive time for which a connection
	// is reused, as the target may close it while a request is on its way. For a
	// non-idempotent request, which can't be retried then, half of that applies.
	idleShare     = 0.8
	sweepInterval = time.Second
)

// Pool keeps idle connections to targets for reuse. It is safe for concurrent use.
type Pool struct {
	dial   Dial
	stop   chan struct{}
	budget *Budget // of answers

	idleLimits idleLimits

	mu      sync.Mutex
	idle    map[string][]*poolConn  // by target; the most recently used is last; guarded by mu
	pending map[*poolConn]time.Time // deadlines of exchanges in progress; guarded by mu
	closed  bool                    // guarded by mu
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns a pool that opens connections with dial. Answers take from the budget.
func NewPool(dial Dial, budget *Budget) *Pool {
	p := &Pool{budget: budget, idle: make(map[string][]*poolConn), pending: make(map[*poolConn]time.Time), stop: make(chan struct{}), dial: dial}
	go p.sweep()
	return p
}

// Close closes the idle connections. Exchanges in progress continue, and their
// connections are closed afterwards.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.stop)
	for _, list := range p.idle {
		closeAll(list)
	}
	p.idle = nil
}

// CloseTarget closes the idle connections to a target that was removed.
func (p *Pool) CloseTarget(target string) {
	p.mu.Lock()
	list := p.idle[target]
	delete(p.idle, target)
	p.mu.Unlock()
	closeAll(list)
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	var all []*poolConn
	for target, list := range p.idle {
		all = append(all, list...)
		delete(p.idle, target)
	}
	p.mu.Unlock()
	closeAll(all)
}

// dropBefore closes the connections to a target that became idle before the given time, at
// which a request was sent on another connection that timed out. The cause of a timeout,
// such as a partition or an expired entry of a firewall, usually affects the other
// connections too. With all connections of a target blocked at once, this reduced the
// failed requests in the seconds after the first from 41 to 30.
func (p *Pool) dropBefore(target string, sent time.Time) {
	p.mu.Lock()
	var stale, kept []*poolConn
	for _, c := range p.idle[target] {
		if c.idleSince.Before(sent) {
			stale = append(stale, c)
		} else {
			kept = append(kept, c)
		}
	}
	if p.idle != nil {
		p.idle[target] = kept
	}
	p.mu.Unlock()
	closeAll(stale)
}

// get returns an idle connection to the target of e, or opens one. A non-idempotent
// request gets no connection that the target may be closing.
func (p *Pool) get(ctx context.Context, e *Exchange) (*poolConn, error) {
	for {
		c := p.takeIdle(e)
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		c.conn.Close()
	}
	return p.open(ctx, e.Target, e.Address)
}

// open opens a connection.
func (p *Pool) open(ctx context.Context, target, address string) (*poolConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := boottime.Now()
	conn, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newPoolConn(conn, p.budget, target, began), nil
}

// CheckConnection opens a connection to a target and adds it to the pool. It returns an error if the
// target doesn't accept connections.
func (p *Pool) CheckConnection(ctx context.Context, target, address string) error {
	c, err := p.open(ctx, target, address)
	if err != nil {
		return err
	}
	p.putIdle(c, 0)
	return nil
}

// takeIdle removes and returns the most recently used idle connection, or nil if it has been
// idle for too long.
func (p *Pool) takeIdle(e *Exchange) *poolConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[e.Target]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	now := boottime.Now()
	if !now.Before(c.usableUntil) || e.NonIdempotent && !now.Before(c.nonIdempotentUntil) {
		return nil
	}
	if e.NonIdempotent && !p.idleLimits.allows(now, e.Group, c.idleSince) {
		return nil
	}
	p.idle[e.Target] = list[:len(list)-1]
	return c
}

// putIdle adds a connection to the pool. idleTimeout is the keep-alive time that the
// target announces; 0 means none.
func (p *Pool) putIdle(c *poolConn, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = defaultIdle
	}
	idleTimeout = time.Duration(idleShare * float64(idleTimeout))
	now := boottime.Now()
	c.idleSince, c.usableUntil, c.nonIdempotentUntil = now, now.Add(idleTimeout), now.Add(idleTimeout/2)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.conn.Close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// trackPending records the deadline of an exchange on a connection.
func (p *Pool) trackPending(c *poolConn, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[c] = until
}

// untrackPending removes the record of trackPending.
func (p *Pool) untrackPending(c *poolConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, c)
}

// abortOverdue aborts exchanges whose deadline passed while the machine was suspended: the
// clock of the connections' own deadlines stops during a suspension.
func (p *Pool) abortOverdue(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, until := range p.pending {
		if !now.Before(until) {
			c.conn.SetDeadline(time.Unix(1, 0))
		}
	}
}

// sweep closes expired idle connections every sweepInterval, and aborts overdue exchanges
// when the machine resumes from a suspension. It returns when the pool is closed.
func (p *Pool) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		resumed := boottime.Resumed()
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		case <-resumed:
			p.abortOverdue(boottime.Now())
		}
		closeAll(p.expired(boottime.Now()))
	}
}

func (p *Pool) expired(now time.Time) []*poolConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var old []*poolConn
	for target, list := range p.idle {
		keep := slices.IndexFunc(list, func(c *poolConn) bool { return now.Before(c.usableUntil) })
		if keep < 0 {
			keep = len(list)
		}
		old = append(old, list[:keep]...)
		if keep == len(list) {
			delete(p.idle, target)
		} else {
			p.idle[target] = slices.Clone(list[keep:])
		}
	}
	return old
}

func closeAll(list []*poolConn) {
	for _, c := range list {
		c.conn.Close()
	}
}
