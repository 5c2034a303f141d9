//go:build linux

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/platform"
)

const (
	edges    = 4
	targets  = 6
	callers  = 8
	attempts = 2 // of the routes
	timeout  = 500 * time.Millisecond
)

// backStream keeps the draws for returns of the store apart from others of the same seed.
const backStream = 0xbac

// world is a whole deployment, with what may be done to it.
type world struct {
	t        *testing.T
	rng      *rand.Rand
	backs    *rand.Rand // decides when the store goes back
	links    *link.Links
	store    *store.Store
	journal  *journal
	wants    *wants
	accounts *accounts
	edges    []*edge
	targets  []*target
	gone     []*target     // that the store has no entry of any more
	next     int           // number of the next target
	version  atomic.Int64  // of the configuration
	quiet    atomic.Bool   // no fault has come for some time
	copies   []*store.Copy // of the store, the newest last

	mu     sync.Mutex
	broken map[string]bool // faults that last, by what they are on; guarded by mu
	work   sync.WaitGroup
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), backs: rand.New(rand.NewPCG(seed, backStream)), store: store.New(), journal: newJournal(), broken: make(map[string]bool),
		links: link.New(nil, link.Latency{}, seed, nil),
	}
	w.wants, w.accounts = newWants(w.journal), newAccounts(w.journal)
	server := httptest.NewServer(w.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		w.store.Close()
	})
	w.configure()
	for range targets {
		w.add()
	}
	var peers []string
	for k := range edges {
		peers = append(peers, fmt.Sprintf("%s:%d", address(k), peerPort))
	}
	for k := range edges {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p := link.NewProxy(ln, w.links, link.At(fmt.Sprint("e", k)), link.At("store"), server.Listener.Addr().String())
		t.Cleanup(func() { p.Close() })
		e := newEdge(t, k, domain(k), p.Addr(), []string{peers[(k+1)%edges], peers[(k+2)%edges]})
		e.harmed = func() { w.wants.excuse(e.ip) }
		e.start()
		t.Cleanup(func() { e.stop(false) })
		w.edges = append(w.edges, e)
	}
	return w
}

func domain(k int) string { return [...]string{"n1", "n2"}[k%2] }

// configure writes the next version of the configuration.
func (w *world) configure() {
	version := w.version.Add(1)
	const route = `{"resource_kind":"routes","metadata":{"name":"%s"},"spec":{"host":"h","prefix":"/%s/","route_type":"%s","timeout":"%dms","target_latency":"100ms","max_attempts":%d,"service":"s","session_affinity":true}}`
	const service = `{"resource_kind":"services","metadata":{"name":"s"},"spec":{"warmup":"300ms","cold_per_s":50}}`
	const marker = `{"resource_kind":"routes","metadata":{"name":"at"},"spec":{"host":"h","prefix":"%s","route_type":"idempotent","timeout":"1s","target_latency":"1s","max_attempts":1,"service":"none","public":true}}`
	w.store.Put(platform.ConfigKey, fmt.Appendf(nil, `{"version":%d,"resources":[%s,%s,%s,%s,%s,%s]}`, version,
		fmt.Sprintf(marker, markerPath(version)),
		fmt.Sprintf(route, "get", "get", "idempotent", timeout.Milliseconds(), attempts),
		fmt.Sprintf(route, "do", "do", "non_idempotent", timeout.Milliseconds(), attempts), service,
		unlimited.resource(), limited.resource()))
}

// add adds a target.
func (w *world) add() {
	t := newTarget(w, fmt.Sprint("t", w.next), domain(w.next), w.rng.Uint64())
	w.next++
	w.targets = append(w.targets, t)
	t.register(w.store, "ready", 100*time.Millisecond)
}

// calls runs the callers until ctx ends.
func (w *world) calls(ctx context.Context, seed uint64) {
	for k := range callers {
		c := w.caller(seed, k)
		c.name = fmt.Sprint("c", k)
		if k%2 == 1 {
			c.workspace = limited
		}
		w.work.Go(func() { c.run(ctx) })
	}
	for _, e := range w.edges {
		w.work.Go(func() { w.watch(ctx, e) })
	}
	if seed%2 == 1 {
		c := w.caller(seed, callers)
		c.name, c.crash = "crash", true
		w.work.Go(func() { c.run(ctx) })
	}
}

func (w *world) caller(seed uint64, k int) *caller {
	return &caller{
		world: w, workspace: unlimited,
		rng: rand.New(rand.NewPCG(seed, uint64(k))), keys: rand.New(rand.NewPCG(seed, uint64(1000+k))),
	}
}

// within fails the test unless ok holds within a time.
func (w *world) within(limit time.Duration, what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.t.Errorf("not within %s: %s", limit, what)
}
