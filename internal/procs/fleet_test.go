//go:build linux

package procs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/inproc"
	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/emulator/target"
	"github.com/firlever/firlever/internal/operator"
	"github.com/firlever/firlever/pkg/settings"
)

// awaitTimeout is how long a test waits for an expected condition before it fails.
const awaitTimeout = 45 * time.Second

const (
	service       = "shop/orders"
	token         = "procs"
	platformPoint = "platform" // link point of the platform
)

// place gives the number of instances and targets of one place of a fleet.
type place struct {
	name      string
	instances int
	targets   int
}

// options configure a fleet. The emulated targets accept more requests than their
// documents allow, because firlever alone has to enforce the limits.
type options struct {
	places  []place
	slots   int           // per target, as in its document; default 4
	limit   int           // of the service in a place; 0 means all slots
	mean    time.Duration // mean service time; default 5ms
	timeout time.Duration // of the service; default 3s
	shift   int           // maximum of shifted requests; default 1000
	linger  time.Duration // of a planned stop; 0 means the default of serve
}

func (o *options) defaults() {
	setDefault(&o.slots, 4)
	setDefault(&o.mean, 5*time.Millisecond)
	setDefault(&o.timeout, 3*time.Second)
	setDefault(&o.shift, 1000)
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// fleet is an emulated platform, emulated targets, and instances of several places that
// run as real processes.
type fleet struct {
	t                 *testing.T
	opts              options
	number            int // number of this fleet, from which its addresses are derived
	links             *link.Links
	store             *inproc.Store
	platformAddr      string
	journal           *target.Journal
	targets           map[string][]*target.Target // by place
	nodes             []*node
	pointByIP         map[netip.Addr]link.Point // not written after the first process has started
	monitor           *monitor
	retryableFailures []string // failures that a pause of this process could have caused
	began             time.Time
}

var fleetCount atomic.Int32

// newFleet starts a fleet and waits until each instance is ready and each target owned.
func newFleet(t *testing.T, opts options) *fleet {
	t.Helper()
	opts.defaults()
	f := &fleet{
		t: t, opts: opts, number: int(fleetCount.Add(1)),
		began:     time.Now(),
		links:     link.New(nil, link.Latency{}, 1, nil),
		journal:   target.NewJournal(nil, time.Now()),
		targets:   map[string][]*target.Target{},
		pointByIP: map[netip.Addr]link.Point{},
	}
	f.startPlatform()
	for i, p := range opts.places {
		f.startTargets(p)
		for j := range p.instances + 1 { // one spare node that a test can start later
			f.nodes = append(f.nodes, f.newNode(p.name, i, j+1))
		}
	}
	f.createDocuments()
	for _, p := range opts.places {
		for _, n := range f.nodesIn(p.name)[:p.instances] {
			n.start()
		}
	}
	f.monitor = startMonitor(f)
	f.awaitReady()
	return f
}

func (f *fleet) startPlatform() {
	local, err := inproc.New(store.Defaults())
	if err != nil {
		f.t.Fatal(err)
	}
	f.store = local
	ln := f.listen()
	server := local.Server()
	go server.Serve(ln)
	f.t.Cleanup(func() { server.Close() })
	f.platformAddr = ln.Addr().String()
}

func (f *fleet) listen() net.Listener {
	f.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	return ln
}

// startProxy starts a proxy that forwards to addr over the link between two points, and
// returns its address.
func (f *fleet) startProxy(from, to, addr string) string {
	p := link.NewProxy(f.listen(), f.links, link.At(from), link.At(to), addr)
	f.t.Cleanup(func() { p.Close() })
	return p.Addr()
}

// startTargetProxy is startProxy for a target, to which each node has a link of its own.
func (f *fleet) startTargetProxy(name, addr string) string {
	locate := func(dialer net.Addr) link.Point {
		a, err := netip.ParseAddrPort(dialer.String())
		if err != nil {
			return link.Point{}
		}
		return f.pointByIP[a.Addr()]
	}
	p := link.NewProxyFrom(f.listen(), f.links, locate, link.At(name), addr)
	f.t.Cleanup(func() { p.Close() })
	return p.Addr()
}

func (f *fleet) startTargets(p place) {
	for i := range p.targets {
		cfg := target.Config{
			Service: service, Place: p.name, Name: fmt.Sprintf("%s-t%d", p.name, i),
			Slots: 8 * f.opts.slots, Queue: 8 * f.opts.slots, Mean: f.opts.mean, Spread: 0.3, Seed: uint64(i + 1),
		}
		tg, err := target.Start(f.listen(), cfg, f.journal)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { tg.Close() })
		f.targets[p.name] = append(f.targets[p.name], tg)
		f.journal.SetLimit(tg.Scope(), f.opts.slots)
	}
	f.journal.SetLimit(target.Scope{Place: p.name}, f.placeLimit(p))
	f.journal.SetLimit(target.Scope{Place: p.name, Service: service}, f.placeLimit(p))
}

func (f *fleet) placeLimit(p place) int {
	if f.opts.limit > 0 {
		return f.opts.limit
	}
	return p.targets * f.opts.slots
}

// callerIP returns the source address of the callers at home in a place.
func (f *fleet) callerIP(place int) string { return fmt.Sprintf("127.%d.%d.1", 20+f.number, 100+place) }

func (f *fleet) placeIndex(name string) int {
	for i, p := range f.opts.places {
		if p.name == name {
			return i
		}
	}
	f.t.Fatalf("no place %s", name)
	return -1
}

// createDocuments writes the documents of the places, the address blocks and the service.
func (f *fleet) createDocuments() {
	var blocks, places strings.Builder
	for i, p := range f.opts.places {
		fmt.Fprintf(&blocks, "  - {prefix: %s/32, place: %s}\n", f.callerIP(i), p.name)
		fmt.Fprintf(&places, "  %s:\n    limit: %d\n    targets:\n", p.name, f.placeLimit(p))
		for _, tg := range f.targets[p.name] {
			name := tg.Config().Name
			fmt.Fprintf(&places, "      - {name: %s, address: %q, slots: %d, connections: 100}\n",
				name, f.startTargetProxy(name, tg.Addr()), f.opts.slots)
		}
		f.createDocument("/places/"+p.name, fmt.Sprintf("region: coast\ndomain: %s\nlimit: %d\n", p.name, f.placeLimit(p)))
	}
	f.createDocument("/blocks/all", "blocks:\n"+blocks.String())
	f.createDocument("/teams/"+strings.Replace(service, "/", "/services/", 1),
		fmt.Sprintf("class: interactive\ntimeout: %s\nshift: %d\nplaces:\n%s", f.opts.timeout, f.opts.shift, places.String()))
}

// createDocument creates a document directly in the platform's store.
func (f *fleet) createDocument(path, body string) {
	f.t.Helper()
	if _, err := docstore.PutDocument(context.Background(), f.store, path, 0, []byte(body), "setup"); err != nil {
		f.t.Fatal(err)
	}
}

// put writes a document through an instance and returns the accepted version.
func (f *fleet) put(n *node, path string, version uint64, body string) uint64 {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	c := operator.NewClient(n.operatorAddr, token)
	defer c.Close()
	name := fmt.Sprintf("w-%d-%d", f.number, rand.Uint64())
	doc := settings.Document{Path: path, Version: version, Body: []byte(body)}
	change, err := c.Put(ctx, doc, name, true)
	if err != nil {
		f.t.Fatalf("put %s at %s: %v", path, n.id, err)
	}
	return change.Version
}

// nodesIn returns the instances of a place, including those not started.
func (f *fleet) nodesIn(place string) []*node {
	var list []*node
	for _, n := range f.nodes {
		if n.place == place {
			list = append(list, n)
		}
	}
	return list
}

// running returns the instances whose processes run.
func (f *fleet) running() []*node {
	var list []*node
	for _, n := range f.nodes {
		if n.alive() {
			list = append(list, n)
		}
	}
	return list
}

// awaitReady waits until each running instance is ready and each target of their places
// has an owner with an allowance for it.
func (f *fleet) awaitReady() {
	f.t.Helper()
	f.await("all instances ready and all targets owned", func() string {
		usable := map[string]int{}
		for _, n := range f.running() {
			st, err := n.status()
			if err != nil {
				return err.Error()
			}
			if !st.Ready || st.Reason != "" {
				return n.id + ": " + st.Reason
			}
			for _, tg := range st.Targets {
				usable[tg.Name] += tg.Allowance
			}
		}
		return f.unownedTarget(usable)
	})
}

// unownedTarget names a target without allowance at any instance, in a place that has
// running instances; "" if there is none.
func (f *fleet) unownedTarget(usable map[string]int) string {
	for place, list := range f.targets {
		if !slices.ContainsFunc(f.nodesIn(place), (*node).alive) {
			continue
		}
		for _, tg := range list {
			if usable[tg.Config().Name] == 0 {
				return tg.Config().Name + " has no owner with an allowance"
			}
		}
	}
	return ""
}

// await polls cond until it returns no reason to wait, and returns the time that took.
// It fails the test after awaitTimeout.
func (f *fleet) await(what string, cond func() string) time.Duration {
	f.t.Helper()
	began := time.Now()
	for {
		reason := cond()
		if reason == "" {
			return time.Since(began)
		}
		if time.Since(began) > awaitTimeout {
			f.t.Fatalf("%s: condition not met within %s: %s\n%s", what, awaitTimeout, reason, f.lastOutput())
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// runCount returns the number of requests that the targets of a scope have started.
func (f *fleet) runCount(s target.Scope) int { return f.journal.Usage(s).Runs }

// lastOutput returns the last lines that each instance wrote.
func (f *fleet) lastOutput() string {
	var b strings.Builder
	for _, n := range f.nodes {
		if n.proc != nil {
			fmt.Fprintf(&b, "--- %s\n%s\n", n.id, n.proc.out.tail(8))
		}
	}
	return b.String()
}

// check fails the test if the targets' journal or the status of an instance shows an
// invariant violation, or if a process crashed. It stops the monitor.
func (f *fleet) check() {
	f.t.Helper()
	f.monitor.stop()
	f.checkJournal()
	f.monitor.report(f.t)
	for _, n := range f.nodes {
		for _, p := range n.processes {
			if text := p.out.crashOutput(); text != "" {
				f.t.Errorf("%s: %s", n.id, text)
			}
		}
	}
}

// documentBody reads a document from the emulated platform.
func documentBody(t *testing.T, f *fleet, path string) []byte {
	t.Helper()
	e, err := f.store.Get(context.Background(), path)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := docstore.DecodeDocument(e)
	if err != nil {
		t.Fatal(err)
	}
	return doc.Body
}
