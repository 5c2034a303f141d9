package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/mirror"
	"github.com/firlever/firlever/internal/tcp"
	"github.com/firlever/firlever/platform"
)

const (
	// evidenceTime is how long what is told is remembered: the longest lease that the
	// platform gives.
	evidenceTime = 10 * time.Minute
	// mostOutbox bounds what waits to be written, mostWrites what one call writes. At most
	// one call is made each writePause, or each renewRetry while they fail.
	mostOutbox = 256
	mostWrites = 32
	writePause = 100 * time.Millisecond
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
	client *http.Client
	soon   chan struct{} // tells run that there is something to write

	mu     sync.Mutex
	outbox []platform.Write // that have to be written yet; the oldest first, mostOutbox at most; guarded by mu

	// Used by the goroutine of run alone.
	lease      platform.LeaseID // under which is written; 0: none
	leaseUntil time.Time        // nothing is written under it later, so that all lasts long enough
	told       string           // key of the last that peers were told
}

func newTeller(n *Node) *teller {
	transport := &http.Transport{DialContext: tcp.NewDialer("").DialContext, MaxIdleConnsPerHost: 1}
	return &teller{node: n, soon: make(chan struct{}, 1), client: &http.Client{Transport: transport}}
}

// post has something written.
func (t *teller) post(w platform.Write) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.outbox) >= mostOutbox {
		t.node.cfg.Log.Warn("not told, as too much waits", "key", t.outbox[0].Key)
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
func (t *teller) first() []platform.Write {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.outbox[:min(len(t.outbox), mostWrites)])
}

// write writes a batch into the store, and takes it out of the outbox.
func (t *teller) write(ctx context.Context, batch []platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if now := boottime.Now(); t.lease == 0 || !now.Before(t.leaseUntil) {
		lease, err := t.node.store.Grant(ctx, evidenceTime)
		if err != nil {
			return err
		}
		t.lease, t.leaseUntil = lease, now.Add(evidenceTime/2)
	}
	for i := range batch {
		batch[i].Lease = t.lease
	}
	_, err := t.node.store.Do(ctx, platform.Txn{Put: batch})
	var missing *platform.MissingError
	if errors.As(err, &missing) {
		t.lease = 0
	}
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	last := batch[len(batch)-1].Key
	if i := slices.IndexFunc(t.outbox, func(w platform.Write) bool { return w.Key == last }); i >= 0 {
		t.outbox = t.outbox[i+1:]
	}
	return nil
}

// toldWrite is a write as peers are told of it.
type toldWrite struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// tellPeers tells the peers of the region what could not be written, once.
func (t *teller) tellPeers(ctx context.Context, batch []platform.Write) {
	last := batch[len(batch)-1].Key
	if t.told == last {
		return
	}
	t.told = last
	list := make([]toldWrite, 0, len(batch))
	for _, w := range batch {
		list = append(list, toldWrite{Key: w.Key, Value: w.Value})
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
			if err := t.tellPeer(ctx, address, body); err != nil {
				t.node.cfg.Metrics.Decided(metrics.Decision{Kind: "crashes", Reason: "peer-not-told"})
			}
		})
	}
	all.Wait()
}

// PeerError says that a peer could not be told.
type PeerError struct {
	Address string
	Status  int // of its answer
}

func (e *PeerError) Error() string {
	return fmt.Sprintf("edge: peer %s answers %d", e.Address, e.Status)
}

func (t *teller) tellPeer(ctx context.Context, address string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+crashesPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := t.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &PeerError{Address: address, Status: resp.StatusCode}
	}
	return nil
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
