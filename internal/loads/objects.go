package loads

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/peerhttp"
	"github.com/firlever/firlever/internal/placement"
)

// ObjectsPath is the path under which an instance accepts the counts of requests for objects.
const ObjectsPath = "/loads/objects"

const (
	// objectInterval is how often the counts are exchanged.
	objectInterval = time.Second
	// resyncDelay is how long a collector that has just begun may not know all objects. After it,
	// those that it doesn't tell are forgotten.
	resyncDelay = 15 * time.Second
)

// ObjectPeers is the interface of an ObjectExchange to its instance. The functions must be safe for
// concurrent use.
type ObjectPeers struct {
	// Collector returns the address of the instance that collects; "" if it is this one.
	Collector func() string
	// Counts returns up to most counts since the last call.
	Counts func(most int) []placement.ServiceCounts
	// Receive is called with the work of objects, and periodically without.
	Receive func(now time.Time, b placement.Batch)
	// Failed is called if the collector could not be called or an answer could not be encoded.
	Failed func(err error)
}

// ObjectExchange tells the collector which objects this instance's requests are for, and gets the work
// of each object over all instances of the region. As an http.Handler it collects for others.
type ObjectExchange struct {
	peers  ObjectPeers
	run    uint64 // identifies this process
	client *peerhttp.Client
	now    func() time.Time

	mu     sync.Mutex
	ledger *placement.Ledger // guarded by mu

	// Used by the goroutine of Run alone.
	known        objectHead // head of the last answer
	pending      bool       // there is more than the last answer told
	answeredAt   time.Time  // time of that answer; zero before the first
	resyncAt     time.Time  // everything is asked for anew; zero if it was
	backoffUntil time.Time  // no collector is called before
}

// NewObjects returns an exchange.
func NewObjects(peers ObjectPeers) *ObjectExchange {
	return &ObjectExchange{
		peers: peers, run: uint64(time.Now().UnixNano()), client: peerhttp.New("", 1, maxObjectBytes), now: boottime.Now, ledger: placement.NewLedger(),
	}
}

// Run exchanges counts periodically until ctx ends.
func (x *ObjectExchange) Run(ctx context.Context) {
	repeat(ctx, func() time.Duration { return objectInterval }, func() { x.exchangeOnce(ctx, x.now()) })
}

// exchangeOnce exchanges counts once. An instance that has none to tell calls nobody.
func (x *ObjectExchange) exchangeOnce(ctx context.Context, now time.Time) {
	defer x.peers.Receive(now, placement.Batch{}) // plans are updated although nothing is heard
	if now.Before(x.backoffUntil) {
		return
	}
	if now.Sub(x.answeredAt) > placement.Retention/2 || !x.resyncAt.IsZero() && !now.Before(x.resyncAt) {
		x.known.Last, x.resyncAt = 0, time.Time{}
	}
	counts := x.peers.Counts(maxObjects)
	if len(counts) == 0 && !x.pending {
		return
	}
	m := objectMessage{objectHead: x.known, counts: counts}
	answer, err := x.call(ctx, now, m)
	if err != nil {
		x.backoffUntil = now.Add(collectorBackoff)
		if ctx.Err() == nil {
			x.peers.Failed(err)
		}
		return
	}
	b := answer.batch()
	if answer.Run != x.known.Run {
		x.resyncAt = now.Add(resyncDelay)
	}
	if !x.resyncAt.IsZero() {
		b.First, b.End = false, false
	}
	x.answeredAt = now
	x.known, x.pending = objectHead{Run: answer.Run, Last: answer.Last}, !answer.batch().End
	x.peers.Receive(now, b)
}

// call sends a message to the collector, which may be this instance.
func (x *ObjectExchange) call(ctx context.Context, now time.Time, m objectMessage) (objectMessage, error) {
	address := x.peers.Collector()
	if address == "" {
		return x.collect(now, m), nil
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	b, err := x.client.Post(ctx, address, ObjectsPath, nil, m.encode())
	if err != nil {
		return objectMessage{}, err
	}
	answer, err := decodeObjects(b)
	if err != nil {
		return objectMessage{}, errors.Trace(&peerhttp.Error{Address: address, Status: http.StatusOK, Err: err})
	}
	return answer, nil
}

// collect adds the counts of a message, and answers with the work of objects.
func (x *ObjectExchange) collect(now time.Time, m objectMessage) objectMessage {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ledger.Add(now, m.counts)
	known := m.Last
	if m.Run != x.run {
		known = 0 // the sequence number is that of another process, or of none
	}
	return answerOf(x.run, x.ledger.Since(now, known, maxObjects))
}

// ServeHTTP accepts the counts of an instance.
func (x *ObjectExchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m, err := decodeObjects(b)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(x.collect(x.now(), m).encode()) // an error means that the peer has disconnected
}
