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
	edgeCount    = 4
	targetCount  = 6
	callerCount  = 8
	maxAttempts  = 2 // of each route
	routeTimeout = 500 * time.Millisecond
)

// restoreStream separates the random stream for restores of the store from the other streams of
// the same seed.
const restoreStream = 0xbac

// cluster is a deployment of instances, targets and a store, with the faults that can be injected
// into it.
type cluster struct {
	t             *testing.T
	rng           *rand.Rand
	restoreRNG    *rand.Rand // decides when and how the store is restored
	partitionRNG  *rand.Rand // decides when and how instances are partitioned from the targets
	burstRNG      *rand.Rand // decides when additional callers come
	bursts        int        // so far
	links         *link.Links
	store         *store.Store
	journal       *journal
	notices       *noticeChecker
	workspaces    *workspaceChecker
	edges         []*edge
	targets       []*target
	removed       []*target         // replaced targets, whose entries are removed from the store
	nextTarget    int               // number of the next target
	configVersion atomic.Int64      // last version of the configuration that was written
	quiet         atomic.Bool       // set once no fault has been active for settleTime
	snapshots     []*store.Snapshot // of the store, newest last

	mu           sync.Mutex
	activeFaults map[string]bool // by the component or link that they affect; guarded by mu
	background   sync.WaitGroup
}

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), restoreRNG: rand.New(rand.NewPCG(seed, restoreStream)), partitionRNG: rand.New(rand.NewPCG(seed, partitionStream)), burstRNG: rand.New(rand.NewPCG(seed, burstStream)), store: store.New(), journal: newJournal(), activeFaults: make(map[string]bool),
		links: link.New(nil, link.Latency{}, seed, nil),
	}
	c.notices, c.workspaces = newNoticeChecker(c.journal), newWorkspaceChecker(c.journal)
	server := httptest.NewServer(c.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		c.store.Close()
	})
	c.writeConfig()
	for range targetCount {
		c.addTarget()
	}
	var peers []string
	for k := range edgeCount {
		peers = append(peers, fmt.Sprintf("%s:%d", edgeIP(k), peerPort))
	}
	for k := range edgeCount {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		proxy := link.NewProxy(ln, c.links, link.At(fmt.Sprint("e", k)), link.At("store"), server.Listener.Addr().String())
		t.Cleanup(func() { proxy.Close() })
		e := newEdge(t, k, domainOf(k), proxy.Addr(), []string{peers[(k+1)%edgeCount], peers[(k+2)%edgeCount]})
		e.onSignal = func() { c.notices.resetInstance(e.ip) }
		e.start()
		t.Cleanup(func() { e.stop(false) })
		c.edges = append(c.edges, e)
	}
	return c
}

// locate returns the point of an instance by the address from which it connects.
func (c *cluster) locate(dialer net.Addr) link.Point {
	ip, _, _ := net.SplitHostPort(dialer.String())
	for k := range edgeCount {
		if edgeIP(k) == ip {
			return link.At(edgeName(k))
		}
	}
	return link.At("elsewhere")
}

func domainOf(k int) string { return [...]string{"n1", "n2"}[k%2] }

// writeConfig writes the next version of the configuration to the store.
func (c *cluster) writeConfig() {
	version := c.configVersion.Add(1)
	const route = `{"resource_kind":"routes","metadata":{"name":"%s"},"spec":{"host":"h","prefix":"/%s/","route_type":"%s","timeout":"%dms","target_latency":"100ms","max_attempts":%d,"priority":%d,"service":"s","session_affinity":true}}`
	const service = `{"resource_kind":"services","metadata":{"name":"s"},"spec":{"warmup":"300ms","cold_per_s":50,"health_check_path":"/health"}}`
	const marker = `{"resource_kind":"routes","metadata":{"name":"at"},"spec":{"host":"h","prefix":"%s","route_type":"idempotent","timeout":"1s","target_latency":"1s","max_attempts":1,"service":"none","public":true}}`
	c.store.Put(platform.ConfigKey, fmt.Appendf(nil, `{"version":%d,"resources":[%s,%s,%s,%s,%s,%s]}`, version,
		fmt.Sprintf(marker, markerPath(version)),
		fmt.Sprintf(route, "get", "get", "idempotent", routeTimeout.Milliseconds(), maxAttempts, 2),
		fmt.Sprintf(route, "do", "do", "non_idempotent", routeTimeout.Milliseconds(), maxAttempts, 1), service,
		unlimited.resource(), limited.resource()))
}

// addTarget starts a target and registers it in the store.
func (c *cluster) addTarget() {
	t := newTarget(c, fmt.Sprint("t", c.nextTarget), domainOf(c.nextTarget), c.rng.Uint64())
	c.nextTarget++
	c.targets = append(c.targets, t)
	t.register(c.store, "ready", 100*time.Millisecond)
}

// startCallers starts the callers, and the checks of the configuration in force. They run until
// ctx ends. With an odd seed, one more caller sends the poison request.
func (c *cluster) startCallers(ctx context.Context, seed uint64) {
	for k := range callerCount {
		cl := c.newCaller(seed, k)
		cl.name = fmt.Sprint("c", k)
		if k%2 == 1 {
			cl.workspace = limited
		}
		c.background.Go(func() { cl.run(ctx) })
	}
	for _, e := range c.edges {
		c.background.Go(func() { c.watchConfig(ctx, e) })
	}
	if seed%2 == 1 {
		poisoner := c.newCaller(seed, callerCount)
		poisoner.name, poisoner.poison = "crash", true
		c.background.Go(func() { poisoner.run(ctx) })
	}
}

func (c *cluster) newCaller(seed uint64, k int) *caller {
	return &caller{
		cluster: c, workspace: unlimited,
		rng: rand.New(rand.NewPCG(seed, uint64(k))), keyRNG: rand.New(rand.NewPCG(seed, uint64(1000+k))),
	}
}

// waitUntil waits until a condition holds, and fails the test if it does not within limit.
func (c *cluster) waitUntil(limit time.Duration, condition string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.t.Errorf("not within %s: %s", limit, condition)
}
