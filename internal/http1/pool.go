package http1

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/tcp"
)

const (
	// dialTimeout bounds the opening of a connection: several round trips between
	// regions, and less than the second after which a lost packet is sent again,
	// so that another target is tried instead.
	dialTimeout = 500 * time.Millisecond
	// defaultIdle is how long a connection is kept whose target doesn't say.
	defaultIdle = 4 * time.Second
	// idleShare is the part of what a target says that is used, as the target may
	// close just when a request is on its way. A non-idempotent request, which
	// can't be repeated then, uses half of that.
	idleShare     = 0.8
	sweepInterval = time.Second
)

// Pool keeps connections to targets. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer
	stop   chan struct{}

	idleLimits idleLimits

	mu      sync.Mutex
	idle    map[string][]*poolConn  // by target; the last used is last; guarded by mu
	pending map[*poolConn]time.Time // connections on which answers are waited for, and until when; guarded by mu
	closed  bool                    // guarded by mu
}

// NewPool makes a pool whose connections come from ip; "" lets the system choose.
func NewPool(ip string) *Pool {
	p := &Pool{idle: make(map[string][]*poolConn), pending: make(map[*poolConn]time.Time), stop: make(chan struct{}), dialer: tcp.NewDialer(ip)}
	go p.sweep()
	return p
}

// Close drops the connections that are not in use.
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

// Forget drops the connections to a target that is gone.
func (p *Pool) Forget(target string) {
	p.mu.Lock()
	list := p.idle[target]
	delete(p.idle, target)
	p.mu.Unlock()
	closeAll(list)
}

// dropBefore drops the connections to a target that were last answered before a request
// was sent on another one in vain: what silences one, such as a partition or a lost
// entry of a firewall, silences those beside it. With all of them silenced at once, 30
// instead of 41 requests failed in the seconds after the first.
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

// get returns a kept connection to a target, or opens one. once says that the
// request can't be repeated: it gets no connection that may be closing.
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
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", e.Address)
	if err != nil {
		return nil, err
	}
	return newPoolConn(conn, e.Target), nil
}

// Reach opens a connection to a target, which is kept for requests. Its error shows whether
// the target is there.
func (p *Pool) Reach(ctx context.Context, target, address string) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	p.putIdle(newPoolConn(conn, target), 0)
	return nil
}

// takeIdle takes the connection that was used last, if one is fresh enough.
func (p *Pool) takeIdle(e *Exchange) *poolConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[e.Target]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	now := boottime.Now()
	if !now.Before(c.usableUntil) || e.Once && !now.Before(c.nonIdempotentUntil) {
		return nil
	}
	if e.Once && !p.idleLimits.allows(now, e.Group, c.idleSince) {
		return nil
	}
	p.idle[e.Target] = list[:len(list)-1]
	return c
}

// putIdle keeps a connection for further requests.
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

// trackPending notes that an answer is waited for until a time.
func (p *Pool) trackPending(c *poolConn, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[c] = until
}

// untrackPending notes that none is waited for any more.
func (p *Pool) untrackPending(c *poolConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, c)
}

// abortOverdue ends the waiting for answers that were due while the machine was suspended: the
// connections' own deadlines stood still.
func (p *Pool) abortOverdue(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, until := range p.pending {
		if !now.Before(until) {
			c.conn.SetDeadline(time.Unix(1, 0))
		}
	}
}

// sweep closes connections that were idle for too long.
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
