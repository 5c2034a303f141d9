package edge

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/neighbor"
	"github.com/firlever/firlever/internal/tcp"
	"github.com/firlever/firlever/platform"
)

// neighborTimeout bounds the time to connect to a neighbor: several round trips between regions.
const neighborTimeout = 300 * time.Millisecond

// neighborChecks checks neighbors around outages of the store. It is safe for concurrent use.
type neighborChecks struct {
	node    *Node
	dial    http1.Dial
	changed chan struct{} // signals that the store was lost or is back

	mu      sync.Mutex
	monitor *neighbor.Monitor // guarded by mu
}

func newNeighborChecks(n *Node) *neighborChecks {
	return &neighborChecks{
		node: n, dial: tcp.NewDialer(n.cfg.Settings.IP).DialContext, changed: make(chan struct{}, 1),
		monitor: neighbor.New(n.cfg.leaseDuration()),
	}
}

// withMonitor calls f with the monitor, under the lock.
func (c *neighborChecks) withMonitor(f func(m *neighbor.Monitor)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.monitor)
}

// storeLost records that renewals of this instance's lease have begun to fail.
func (c *neighborChecks) storeLost() {
	c.withMonitor(func(m *neighbor.Monitor) { m.StoreLost() })
	c.wake()
}

// storeBack records that renewals have ceased to fail.
func (c *neighborChecks) storeBack() {
	c.withMonitor(func(m *neighbor.Monitor) { m.StoreBack(boottime.Now()) })
	c.wake()
}

// wake lets run look at once whether checks are due.
func (c *neighborChecks) wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// run checks neighbors, when that is due, until ctx ends.
func (c *neighborChecks) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
		}
		for c.due() && ctx.Err() == nil {
			c.round(ctx)
			select {
			case <-ctx.Done():
			case <-c.changed:
			case <-time.After(neighbor.RoundInterval):
			}
		}
		c.node.instances.setUnreachable(nil)
	}
}

func (c *neighborChecks) due() (due bool) {
	c.withMonitor(func(m *neighbor.Monitor) { due = m.Due(boottime.Now()) })
	return due
}

// round checks neighbors, and marks the records of those that can't be reached once the store is back.
func (c *neighborChecks) round(ctx context.Context) {
	records := c.node.instances.peers()
	unreachable := c.check(ctx, records)
	if ctx.Err() != nil {
		return
	}
	c.node.instances.setUnreachable(unreachable)
	var marks []neighbor.Unreachable
	c.withMonitor(func(m *neighbor.Monitor) { marks = m.Marks(boottime.Now(), unreachable) })
	for _, u := range marks {
		marked, err := c.mark(ctx, u.Name, records[u.Name])
		if err == nil {
			c.withMonitor(func(m *neighbor.Monitor) { m.Settle(u.Name) })
		}
		c.logMark(u, marked, err)
	}
}

// check makes one round of checks and returns the instances that can't be reached.
func (c *neighborChecks) check(ctx context.Context, records map[string]record) []neighbor.Unreachable {
	all := make([]neighbor.Instance, 0, len(records))
	for name, r := range records {
		all = append(all, neighbor.Instance{Name: name, Record: r.neighborRecord()})
	}
	ring := neighbor.Ring(all, c.node.cfg.Settings.Instance)
	var round *neighbor.Round
	c.withMonitor(func(m *neighbor.Monitor) { round = m.Begin(ring) })
	for batch := round.Next(); len(batch) > 0; batch = round.Next() {
		results := c.connect(ctx, batch, records)
		c.withMonitor(func(*neighbor.Monitor) { round.Record(results) })
	}
	unreachable := round.Unreachable()
	c.logUnreachable(unreachable, records)
	return unreachable
}

// connect connects to instances at once and returns the results.
func (c *neighborChecks) connect(ctx context.Context, batch []neighbor.Instance, records map[string]record) []neighbor.Result {
	results := make([]neighbor.Result, len(batch))
	var all sync.WaitGroup
	for k, i := range batch {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, neighborTimeout)
			defer cancel()
			conn, err := c.dial(ctx, "tcp", records[i.Name].Peers)
			switch {
			case err == nil:
				results[k] = neighbor.Reached
				conn.Close()
			case errors.Is(err, syscall.ECONNREFUSED):
				results[k] = neighbor.Refused
			}
		})
	}
	all.Wait()
	return results
}

// mark marks a record as unconfirmed, under the lease that it has, and reports whether it has done so. It
// does nothing if the store has no record, or another one.
func (c *neighborChecks) mark(ctx context.Context, name string, known record) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var missing *platform.MissingError
	item, err := c.node.store.Get(ctx, instancePrefix+name)
	if errors.As(err, &missing) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	stored, err := decodeRecord(item.Value)
	if err != nil || stored != known {
		return false, err
	}
	stored.Unconfirmed, stored.Change = true, 0
	value, err := json.Marshal(stored)
	if err != nil {
		return false, err
	}
	_, err = c.node.store.Do(ctx, platform.Txn{
		If:  []platform.Condition{{Key: item.Key, Changed: item.Changed}},
		Put: []platform.Write{{Key: item.Key, Value: value, Lease: item.Lease}},
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) || errors.As(err, &missing) {
		return false, nil
	}
	return err == nil, err
}

// logUnreachable counts and logs instances that have become unreachable.
func (c *neighborChecks) logUnreachable(list []neighbor.Unreachable, records map[string]record) {
	n, now := c.node, boottime.Now()
	for _, u := range list {
		if !u.Begins() {
			continue
		}
		n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "neighbor", Reason: "unreachable"})
		if suppressed, ok := n.changeLimiter.Allow(now); ok {
			r := records[u.Name]
			n.cfg.Log.Warn("instance unreachable", "name", u.Name, "domain", r.Domain, "address", r.Peers, "misses", u.Misses, "result", u.Result,
				"store-age", n.mirror.Age(now), "suppressed", suppressed)
		}
	}
}

// logMark counts and logs the mark of a record.
func (c *neighborChecks) logMark(u neighbor.Unreachable, marked bool, err error) {
	outcome := "marked"
	switch {
	case err != nil:
		outcome = "mark-failed"
	case !marked:
		outcome = "changed"
	}
	n, now := c.node, boottime.Now()
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "neighbor", Reason: outcome})
	if suppressed, ok := n.changeLimiter.Allow(now); ok {
		var back time.Time
		c.withMonitor(func(m *neighbor.Monitor) { back = m.BackAt() })
		n.cfg.Log.Warn("instance unconfirmed", "name", u.Name, "outcome", outcome, "rank", u.Rank, "store-back", now.Sub(back),
			"suppressed", suppressed, "err", err)
	}
}
