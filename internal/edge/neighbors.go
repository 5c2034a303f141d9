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
	"github.com/firlever/firlever/internal/tcp"
	"github.com/firlever/firlever/platform"
)

const (
	// neighborCount is how many neighbors that live an instance looks for, and so how many instances
	// check one that has ended.
	neighborCount = 3
	// maxNeighborChecks bounds the neighbors that are checked at once, as many may have ended.
	maxNeighborChecks = 16
	neighborInterval  = 500 * time.Millisecond
	// neighborTimeout bounds the time to connect: several round trips between regions.
	neighborTimeout = 300 * time.Millisecond
	// unreachableMisses is how many checks in a row must fail, as a packet may be lost.
	unreachableMisses = 2
)

// neighborMonitor finds out which instances have ended while the store was down. Leases may stand still with
// the store, so that the records of such instances remain for up to a lease after it is back. From its
// first failed renewal until a lease after the store is back, each instance checks the next ones in an
// order that all share, and asks those that can't be reached to confirm their records: it marks the record
// as unconfirmed, and the owner, if it lives, writes it anew.
type neighborMonitor struct {
	node    *Node
	dial    http1.Dial
	changed chan struct{} // signals that the store was lost or is back

	mu      sync.Mutex
	outages int       // how often renewals of the lease began to fail; guarded by mu
	backAt  time.Time // when they ceased to; zero before; guarded by mu
}

func newNeighborMonitor(n *Node) *neighborMonitor {
	return &neighborMonitor{node: n, dial: tcp.NewDialer(n.cfg.Settings.IP).DialContext, changed: make(chan struct{}, 1)}
}

// storeLost records that renewals of this instance's lease have begun to fail.
func (m *neighborMonitor) storeLost() {
	m.mu.Lock()
	m.outages, m.backAt = m.outages+1, time.Time{}
	m.mu.Unlock()
	m.signal()
}

// storeBack records that renewals have ceased to fail.
func (m *neighborMonitor) storeBack(now time.Time) {
	m.mu.Lock()
	m.backAt = now
	m.mu.Unlock()
	m.signal()
}

func (m *neighborMonitor) signal() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// storeBackAt returns when the store was back; zero while it is lost.
func (m *neighborMonitor) storeBackAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.backAt
}

// due returns the number of the outage for which neighbors are to be checked; 0 if they aren't. Records
// that the store kept through an outage end a lease after it.
func (m *neighborMonitor) due(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.backAt.IsZero() || now.Before(m.backAt.Add(m.node.cfg.leaseDuration())) {
		return m.outages
	}
	return 0
}

// run checks neighbors, when that is due, until ctx ends.
func (m *neighborMonitor) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.changed:
			m.watch(ctx)
		}
	}
}

// watch checks neighbors as long as that is due.
func (m *neighborMonitor) watch(ctx context.Context) {
	var o *outage
	for ctx.Err() == nil {
		number := m.due(boottime.Now())
		if number == 0 {
			break
		}
		if o == nil || o.number != number {
			o = newOutage(number)
		}
		unreachable := m.check(ctx, o)
		m.node.instances.setUnreachable(unreachable)
		m.mark(ctx, o, unreachable)
		select {
		case <-ctx.Done():
		case <-m.changed:
		case <-time.After(neighborInterval):
		}
	}
	m.node.instances.setUnreachable(nil)
}

// outage is what was learned of the neighbors in one outage of the store and after it. It is used by one
// goroutine.
type outage struct {
	number  int
	records map[string]record // as first seen, by instance
	misses  map[string]int    // failed checks in a row, by instance
	marked  map[string]bool   // instances whose records need no mark any more
}

func newOutage(number int) *outage {
	return &outage{number: number, records: make(map[string]record), misses: make(map[string]int), marked: make(map[string]bool)}
}

// confirmed reports whether the owner of a record has written it since the neighbor was first seen.
func (o *outage) confirmed(nb neighbor) bool {
	first, ok := o.records[nb.name]
	if !ok {
		o.records[nb.name] = nb.record
		return false
	}
	return !nb.record.Unconfirmed && (nb.record.Run != first.Run || nb.record.Change != first.Change)
}

// unreachableNeighbor is an instance that has ended or can't be reached.
type unreachableNeighbor struct {
	neighbor

	rank int // how many of the instances that also check it are asked before this one to mark it
}

// check checks the next neighbors until enough of them live, and returns those that can't be reached. It
// returns none if the fault may be on this instance's side.
func (m *neighborMonitor) check(ctx context.Context, o *outage) []unreachableNeighbor {
	list := m.node.instances.neighbors(m.node.cfg.Settings.Instance)
	var unreachable []unreachableNeighbor
	living, answered, checks := 0, 0, 0
	for len(list) > 0 && living < neighborCount && checks < maxNeighborChecks {
		batch := list[:min(neighborCount-living, maxNeighborChecks-checks, len(list))]
		list, checks = list[len(batch):], checks+len(batch)
		for k, err := range m.connect(ctx, o, batch) {
			name := batch[k].name
			if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
				answered++
			}
			if err == nil {
				living++
				delete(o.misses, name)
				continue
			}
			if o.misses[name]++; o.misses[name] >= unreachableMisses {
				unreachable = append(unreachable, unreachableNeighbor{batch[k], living})
				m.logUnreachable(batch[k], o.misses[name], err)
			}
		}
	}
	if ctx.Err() != nil || answered == 0 && checks > 1 {
		return nil
	}
	return unreachable
}

// connect connects to neighbors and returns the errors, nil for those that live.
func (m *neighborMonitor) connect(ctx context.Context, o *outage, batch []neighbor) []error {
	errs := make([]error, len(batch))
	var all sync.WaitGroup
	for k, nb := range batch {
		if o.confirmed(nb) {
			continue
		}
		all.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, neighborTimeout)
			defer cancel()
			c, err := m.dial(ctx, "tcp", nb.record.Peers)
			if err == nil {
				c.Close()
			}
			errs[k] = err
		})
	}
	all.Wait()
	return errs
}

// mark marks the records of neighbors that can't be reached, once the store is back. Of the instances
// that check the same one, each gives those before it time to do so.
func (m *neighborMonitor) mark(ctx context.Context, o *outage, unreachable []unreachableNeighbor) {
	back := m.storeBackAt()
	if back.IsZero() {
		return
	}
	for _, u := range unreachable {
		due := back.Add(time.Duration(u.rank) * neighborInterval)
		if o.marked[u.name] || boottime.Now().Before(due) {
			continue
		}
		if u.record.Unconfirmed {
			o.marked[u.name] = true
			continue
		}
		marked, err := m.markUnconfirmed(ctx, u.neighbor)
		o.marked[u.name] = err == nil
		m.logMark(u, marked, err)
	}
}

// markUnconfirmed marks a record as unconfirmed under the lease that it has, and reports whether it has
// done so. It does nothing if the record has gone or changed.
func (m *neighborMonitor) markUnconfirmed(ctx context.Context, nb neighbor) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var missing *platform.MissingError
	var conflict *platform.ConflictError
	item, err := m.node.store.Get(ctx, instancePrefix+nb.name)
	if errors.As(err, &missing) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	r, err := decodeRecord(item.Value)
	if err != nil {
		return false, err
	}
	if r != nb.record {
		return false, nil
	}
	r.Unconfirmed, r.Change = true, 0
	value, err := json.Marshal(r)
	if err != nil {
		return false, err
	}
	_, err = m.node.store.Do(ctx, platform.Txn{
		If:  []platform.Condition{{Key: item.Key, Changed: item.Changed}},
		Put: []platform.Write{{Key: item.Key, Value: value, Lease: item.Lease}},
	})
	if errors.As(err, &conflict) || errors.As(err, &missing) {
		return false, nil
	}
	return err == nil, err
}

// logUnreachable counts and logs a neighbor that can't be reached, each time that it is checked.
func (m *neighborMonitor) logUnreachable(nb neighbor, misses int, err error) {
	n := m.node
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "neighbor", Reason: "unreachable"})
	if suppressed, ok := n.changeLimiter.Allow(boottime.Now()); ok && misses == unreachableMisses {
		n.cfg.Log.Warn("instance unreachable", "name", nb.name, "domain", nb.record.Domain, "address", nb.record.Peers, "misses", misses,
			"store-age", n.mirror.Age(boottime.Now()), "suppressed", suppressed, "err", err)
	}
}

// logMark counts and logs the mark of a record.
func (m *neighborMonitor) logMark(u unreachableNeighbor, marked bool, err error) {
	n := m.node
	reason := "marked"
	switch {
	case err != nil:
		reason = "mark-failed"
	case !marked:
		reason = "changed"
	}
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "neighbor", Reason: reason})
	if suppressed, ok := n.changeLimiter.Allow(boottime.Now()); ok {
		n.cfg.Log.Warn("instance unconfirmed", "name", u.name, "outcome", reason, "rank", u.rank, "store-back", boottime.Since(m.storeBackAt()),
			"suppressed", suppressed, "err", err)
	}
}
