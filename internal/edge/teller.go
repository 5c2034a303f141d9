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
	// answerTime is how long an answer is remembered: the longest lease that the platform
	// gives. evidenceTime is how long a target's end is: a lease is written under for half
	// of its time, so that an answer outlasts all ends from before it, which would count
	// again without it at an instance that starts then.
	answerTime   = 10 * time.Minute
	evidenceTime = answerTime / 2
	// mostOutbox bounds what waits to be written, mostWrites what one call writes. Writes are
	// gathered for writePause, as many targets may end at once; while calls fail, one is made
	// each renewRetry.
	mostOutbox = 256
	mostWrites = 32
	writePause = 250 * time.Millisecond
	// tellTime is how long a peer may take to be told: some round trips in a region.
	// tellAtOnce bounds how many are told at the same time.
	tellTime   = 400 * time.Millisecond
	tellAtOnce = 16
	// maxTold bounds what is read of what a peer tells, in bytes.
	maxTold = 64 << 10
)

// crashesPath is where an instance takes what peers tell while the store is out of reach.
const crashesPath = "/crashes"

// teller tells other instances what this one has found out: through the store, which keeps
// it for those that start later, and while that is out of reach to the peers of the region.
// It is safe for concurrent use.
type teller struct {
	node   *Node
	client *peerhttp.Client
	soon   chan struct{} // tells run that there is something to write

	mu     sync.Mutex
	outbox []note // that have to be written yet; the oldest first, mostOutbox at most; guarded by mu

	// Used by the goroutine of run alone.
	leases map[time.Duration]lease // by how long they last
	told   string                  // key of the last that peers were told
}

// note is what has to be written, and how long it has to last.
type note struct {
	key   string
	value []byte
	life  time.Duration
}

// lease is one of the platform's, under which notes are written until a time.
type lease struct {
	platform.Lease
	until time.Time
}

func newTeller(n *Node) *teller {
	return &teller{node: n, soon: make(chan struct{}, 1), client: peerhttp.New("", 1, maxTold), leases: make(map[time.Duration]lease)}
}

// post has a note written. It takes the place of one that waits under its key: one call writes
// no key twice.
func (t *teller) post(w note) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.IndexFunc(t.outbox, func(o note) bool { return o.key == w.key }); i >= 0 {
		t.outbox[i] = w
		return
	}
	if len(t.outbox) >= mostOutbox {
		t.node.cfg.Log.Warn("not told, as too much waits", "key", t.outbox[0].key)
		t.outbox = t.outbox[1:]
	}
	t.outbox = append(t.outbox, w)
	select {
	case t.soon <- struct{}{}:
	default:
	}
}

// run writes what there is until ctx ends.
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

// first returns the first of what has to be written.
func (t *teller) first() []note {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.outbox[:min(len(t.outbox), mostWrites)])
}

// write writes a batch into the store, and takes it out of the outbox. A lease that has ended
// is replaced at once: whoever starts now should find what went with it.
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

// put makes one transaction of a batch.
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

// under returns a lease under which a note lasts for half of a time at least.
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

// toldWrite is a write as peers are told of it.
type toldWrite struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// tellPeers tells the peers of the region what could not be written, once.
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
		t.node.cfg.Log.Error("peers not told", "key", last, "err", err)
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

// ServeHTTP takes what a peer tells.
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
