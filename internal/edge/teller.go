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
	answerTime   = 10 * time.Minute
	evidenceTime = answerTime / 2
	// maxOutbox bounds the entries that wait to be written, and maxBatch those of one
	// transaction. writeInterval lets the reports of many targets that end at once be batched.
	// While calls fail, one is made each renewRetry.
	mostOutbox = 256
	mostWrites = 32
	writePause = 250 * time.Millisecond
	// notifyTimeout bounds the notification of peers: some round trips within a region.
	// maxConcurrentNotify bounds the peers that are notified at the same time.
	tellTime   = 400 * time.Millisecond
	tellAtOnce = 16
	// maxNotification bounds the bytes that are read of a peer's notification.
	maxTold = 64 << 10
)

// crashesPath is where an instance receives notifications from peers that can't reach the store.
const crashesPath = "/crashes"

// notifier passes this instance's crash reports and answers to the others: through the store, which
// keeps them for instances that start later, and to the peers of the region while the store is
// unreachable. It is safe for concurrent use.
type teller struct {
	node   *Node
	client *peerhttp.Client
	soon   chan struct{} // wakes run when there is something to write

	mu     sync.Mutex
	outbox []note // waiting to be written; the oldest first, maxOutbox at most; guarded by mu

	// Used only by the goroutine of run.
	leases map[time.Duration]lease // by duration
	told   string                  // last key of the last batch that peers were notified of
}

// entry is a key and value to be written to the store, and its lifetime.
type note struct {
	key   string
	value []byte
	life  time.Duration
}

// currentLease is a lease of the store under which entries are written until a time.
type lease struct {
	platform.Lease
	until time.Time
}

func newTeller(n *Node) *teller {
	return &teller{node: n, soon: make(chan struct{}, 1), client: peerhttp.New("", 1, maxTold), leases: make(map[time.Duration]lease)}
}

// enqueue queues an entry to be written. It replaces a waiting entry with the same key, as a
// transaction can't write a key twice.
func (t *teller) post(w note) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.IndexFunc(t.outbox, func(o note) bool { return o.key == w.key }); i >= 0 {
		t.outbox[i] = w
		return
	}
	if len(t.outbox) >= mostOutbox {
		t.node.cfg.Log.Warn("outbox full; oldest entry dropped", "key", t.outbox[0].key)
		t.outbox = t.outbox[1:]
	}
	t.outbox = append(t.outbox, w)
	select {
	case t.soon <- struct{}{}:
	default:
	}
}

// run writes queued entries until ctx ends.
func (t *teller) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.soon:
		}
		boottime.Sleep(ctx, boottime.Now().Add(writePause))
		for batch := t.first(); len(batch) > 0 && ctx.Err() == nil; batch = t.first() {
			pause := writePause
			if err := t.write(ctx, batch); err != nil && ctx.Err() == nil {
				t.node.cfg.Metrics.PlatformFailed("crashes")
				t.tellPeers(ctx, batch)
				pause = renewRetry
			}
			boottime.Sleep(ctx, boottime.Now().Add(pause))
		}
	}
}

// nextBatch returns the oldest queued entries, maxBatch at most.
func (t *teller) first() []note {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.outbox[:min(len(t.outbox), mostWrites)])
}

// write writes a batch to the store, and removes it from the outbox. An expired lease is replaced
// at once, as instances that start now need the entries that expired with it.
func (t *teller) write(ctx context.Context, batch []note) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	at, err := t.put(ctx, batch)
	if platform.LeaseGone(err) {
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
	if i := slices.IndexFunc(t.outbox, func(w note) bool { return w.key == last }); i >= 0 {
		t.outbox = t.outbox[i+1:]
	}
	return nil
}

// put writes a batch in one transaction.
func (t *teller) put(ctx context.Context, batch []note) (platform.Revision, error) {
	var txn platform.Txn
	for _, w := range batch {
		l, err := t.under(ctx, w.life)
		if err != nil {
			return platform.Revision{}, err
		}
		txn.Put = append(txn.Put, platform.Write{Key: w.key, Value: w.value, Lease: l})
	}
	return t.node.store.Do(ctx, txn)
}

// leaseFor returns a lease under which an entry exists for at least half of its lifetime.
func (t *teller) under(ctx context.Context, life time.Duration) (platform.Lease, error) {
	now := boottime.Now()
	if l := t.leases[life]; now.Before(l.until) {
		return l.Lease, nil
	}
	granted, err := t.node.store.Grant(ctx, life)
	if err != nil {
		return platform.Lease{}, err
	}
	t.leases[life] = lease{Lease: granted, until: now.Add(life / 2)}
	return granted, nil
}

// peerEntry is the form of an entry in a notification to peers.
type toldWrite struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// notifyPeers sends the peers of the region a batch that could not be written, once.
func (t *teller) tellPeers(ctx context.Context, batch []note) {
	last := batch[len(batch)-1].key
	if t.told == last {
		return
	}
	t.told = last
	list := make([]toldWrite, 0, len(batch))
	for _, w := range batch {
		list = append(list, toldWrite{Key: w.key, Value: w.value})
	}
	body, err := json.Marshal(list)
	if err != nil {
		t.node.cfg.Log.Error("notification of peers not encoded", "key", last, "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	slots := make(chan struct{}, tellAtOnce)
	var all sync.WaitGroup
	s := &t.node.cfg.Settings
	for _, address := range t.node.instances.region(s.Region, s.Instance) {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			if _, err := t.client.Post(ctx, address, crashesPath, nil, body); err != nil {
				t.node.cfg.Metrics.Decided(metrics.Decision{Kind: "crashes", Reason: "peer-not-told"})
			}
		})
	}
	all.Wait()
}

// ServeHTTP receives a notification from a peer.
func (c *crashes) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxTold))
	var list []toldWrite
	if err == nil {
		err = json.Unmarshal(b, &list)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var changes []mirror.Change
	for _, told := range list {
		if isCrash(told.Key) {
			changes = append(changes, mirror.Change{Item: platform.Item{Key: told.Key, Value: told.Value}})
		}
	}
	c.apply(changes)
}
