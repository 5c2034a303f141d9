package edge

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/mirror"
	"github.com/firlever/firlever/internal/peerhttp"
	"github.com/firlever/firlever/platform"
)

const (
	// answerRetention is how long a published answer is kept: the longest lease that the platform
	// grants. crashRetention is how long the report of a crash is kept. Entries are written under
	// a lease for half of its duration, so an answer outlasts all reports from before it. Without
	// the answer, these would count again at an instance that starts then.
	answerRetention = 10 * time.Minute
	crashRetention  = answerRetention / 2
	// maxOutbox bounds the entries that wait to be written, and maxBatch those of one
	// transaction. writeInterval lets the reports of many targets that end at once be batched.
	// While calls fail, one is made each renewRetry.
	maxOutbox     = 256
	maxBatch      = 32
	writeInterval = 250 * time.Millisecond
	// notifyTimeout bounds the notification of peers: some round trips within a region.
	// maxConcurrentNotify bounds the peers that are notified at the same time.
	notifyTimeout       = 400 * time.Millisecond
	maxConcurrentNotify = 16
	// maxNotification bounds the bytes that are read of a peer's notification.
	maxNotification = 64 << 10
)

// crashesPath is where an instance receives notifications from peers that can't reach the store.
const crashesPath = "/crashes"

// notifier passes this instance's crash reports and answers to the others: through the store, which
// keeps them for instances that start later, and to the peers of the region while the store is
// unreachable. It is safe for concurrent use.
type notifier struct {
	node   *Node
	client *peerhttp.Client
	wake   chan struct{} // wakes run when there is something to write

	mu     sync.Mutex
	outbox []entry // waiting to be written; the oldest first, maxOutbox at most; guarded by mu

	// Used only by the goroutine of run.
	leases   map[time.Duration]currentLease // by duration
	notified string                         // last key of the last batch that peers were notified of
}

// entry is a key and value to be written to the store, and its lifetime.
type entry struct {
	key      string
	value    []byte
	lifetime time.Duration
}

// currentLease is a lease of the store under which entries are written until a time.
type currentLease struct {
	platform.Lease
	usableUntil time.Time
}

func newNotifier(n *Node) *notifier {
	return &notifier{node: n, wake: make(chan struct{}, 1), client: peerhttp.New("", 1, maxNotification), leases: make(map[time.Duration]currentLease)}
}

// enqueue queues an entry to be written. It replaces a waiting entry with the same key, as a
// transaction can't write a key twice.
func (t *notifier) enqueue(e entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.IndexFunc(t.outbox, func(o entry) bool { return o.key == e.key }); i >= 0 {
		t.outbox[i] = e
		return
	}
	if len(t.outbox) >= maxOutbox {
		t.node.cfg.Log.Warn("outbox full; oldest entry dropped", "key", t.outbox[0].key)
		t.outbox = t.outbox[1:]
	}
	t.outbox = append(t.outbox, e)
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// run writes queued entries until ctx ends.
func (t *notifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		boottime.Sleep(ctx, boottime.Now().Add(writeInterval))
		for batch := t.nextBatch(); len(batch) > 0 && ctx.Err() == nil; batch = t.nextBatch() {
			pause := writeInterval
			if err := t.write(ctx, batch); err != nil && ctx.Err() == nil {
				t.node.cfg.Metrics.CountPlatformFailure("crashes")
				t.notifyPeers(ctx, batch)
				pause = renewRetry
			}
			boottime.Sleep(ctx, boottime.Now().Add(pause))
		}
	}
}

// nextBatch returns the oldest queued entries, maxBatch at most.
func (t *notifier) nextBatch() []entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.outbox[:min(len(t.outbox), maxBatch)])
}

// write writes a batch to the store, and removes it from the outbox. An expired lease is replaced
// at once, as instances that start now need the entries that expired with it.
func (t *notifier) write(ctx context.Context, batch []entry) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	at, err := t.put(ctx, batch)
	if platform.LeaseLost(err) {
		clear(t.leases)
		at, err = t.put(ctx, batch)
	}
	if err != nil {
		return err
	}
	t.node.crashes.written(batch, at)
	t.mu.Lock()
	defer t.mu.Unlock()
	last := batch[len(batch)-1].key
	if i := slices.IndexFunc(t.outbox, func(w entry) bool { return w.key == last }); i >= 0 {
		t.outbox = t.outbox[i+1:]
	}
	return nil
}

// put writes a batch in one transaction.
func (t *notifier) put(ctx context.Context, batch []entry) (platform.Revision, error) {
	var txn platform.Txn
	for _, w := range batch {
		l, err := t.leaseFor(ctx, w.lifetime)
		if err != nil {
			return platform.Revision{}, err
		}
		txn.Put = append(txn.Put, platform.Write{Key: w.key, Value: w.value, Lease: l})
	}
	return t.node.store.Do(ctx, txn)
}

// leaseFor returns a lease under which an entry exists for at least half of its lifetime.
func (t *notifier) leaseFor(ctx context.Context, lifetime time.Duration) (platform.Lease, error) {
	now := boottime.Now()
	if l := t.leases[lifetime]; now.Before(l.usableUntil) {
		return l.Lease, nil
	}
	granted, err := t.node.store.Grant(ctx, lifetime)
	if err != nil {
		return platform.Lease{}, err
	}
	t.leases[lifetime] = currentLease{Lease: granted, usableUntil: now.Add(lifetime / 2)}
	return granted, nil
}

// peerEntry is the form of an entry in a notification to peers.
type peerEntry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// notifyPeers sends the peers of the region a batch that could not be written, once.
func (t *notifier) notifyPeers(ctx context.Context, batch []entry) {
	last := batch[len(batch)-1].key
	if t.notified == last {
		return
	}
	t.notified = last
	list := make([]peerEntry, 0, len(batch))
	for _, w := range batch {
		list = append(list, peerEntry{Key: w.key, Value: w.value})
	}
	body, err := json.Marshal(list)
	if err != nil {
		t.node.cfg.Log.Error("notification of peers not encoded", "key", last, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentNotify)
	var all sync.WaitGroup
	s := &t.node.cfg.Settings
	for _, address := range t.node.instances.regionPeers(s.Region, s.Instance) {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			if _, err := t.client.Post(ctx, address, crashesPath, nil, body); err != nil {
				t.node.cfg.Metrics.CountDecision(metrics.Decision{Kind: "crashes", Reason: "peer-not-told"})
			}
		})
	}
	all.Wait()
}

// ServeHTTP receives a notification from a peer.
func (c *crashTracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxNotification))
	var list []peerEntry
	if err == nil {
		err = json.Unmarshal(b, &list)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var changes []mirror.Change
	for _, e := range list {
		if isCrashKey(e.Key) {
			changes = append(changes, mirror.Change{Item: platform.Item{Key: e.Key, Value: e.Value}})
		}
	}
	c.apply(changes)
}
