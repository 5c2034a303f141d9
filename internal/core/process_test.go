package core_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/replica"
	"github.com/firlever/firlever/pkg/settings"
)

// Intervals and delays of a simulated shell.
const (
	tickEvery   = 25 * time.Millisecond
	pingEvery   = 200 * time.Millisecond
	docsEvery   = 800 * time.Millisecond
	listEvery   = time.Second
	rosterSoon  = 700 * time.Millisecond
	rosterSlow  = 6 * time.Second
	deadAfter   = 1200 * time.Millisecond // silence after which a peer is not listed
	lingerFor   = 6 * time.Second         // duration of a planned stop: over the lifetime of a look-up
	lookupLife  = 5 * time.Second
	actWithin   = time.Millisecond // delay between a decision and its execution
	clockSpread = 400 * time.Millisecond
)

// proc is one process of an instance: a node with a simulated shell.
type proc struct {
	w           *simulation
	name        string
	incarnation uint64
	place       int
	node        *core.Node
	rate        float64       // of its clock; bounded by skew
	offset      time.Duration // of its clock

	dead    bool
	paused  bool
	leaving bool
	inbox   []func() // events that arrived while it was paused

	docs     *replica.Set
	snapshot *settings.Snapshot
	versions map[string]uint64 // in force, by path

	lastSeen map[string]*lastSeen
	peers    []core.Peer

	suspects map[string]time.Duration // peers that it wrongly considers dead, and until when

	rosterDue time.Time
	asking    bool

	lastID      core.ID
	exchanges   map[core.ID]*exchange
	started     time.Duration // in true time
	lastImpeded time.Duration // when a fault last impeded its access to the platform
	admitted    map[string]map[int64]int
}

// lastSeen is when and how a process last observed a peer.
type lastSeen struct {
	at          time.Time
	incarnation uint64
	leaving     bool
}

func newProc(w *simulation, name string) *proc {
	p := &proc{
		w: w, name: name, place: w.home[name], incarnation: 1, rate: 1,
		suspects: make(map[string]time.Duration),
		versions: make(map[string]uint64), lastSeen: make(map[string]*lastSeen),
		exchanges: make(map[core.ID]*exchange), started: w.now, lastImpeded: w.now,
		admitted: make(map[string]map[int64]int),
	}
	for _, o := range w.procs {
		if o.name == name {
			p.incarnation = o.incarnation + 1
		}
	}
	if !w.clocksAligned {
		p.rate = 1 + skew*w.rng.Float64()
		p.offset = w.upTo(clockSpread)
		if w.chance(0.1) {
			p.offset = w.upTo(24 * time.Hour)
		}
	}
	checks := invariant.New(func(n invariant.Name, detail string) {
		w.check.failf("invariant %s at %s: %s", n, p, detail)
	})
	p.docs = replica.New(checks)
	p.node = p.newNode(checks)
	return p
}

func (p *proc) newNode(checks *invariant.Counter) *core.Node {
	place := p.w.places[p.place]
	cfg := core.Config{
		Instance: p.name, Incarnation: p.incarnation, Place: place, Domain: place, Region: region(p.place),
		Term: term, Skew: skew, Lag: lag, ListProves: p.w.listProves, Cache: lookupLife, Grace: 2 * time.Second,
		Rand: rand.New(rand.NewPCG(p.w.rng.Uint64(), 1)), Checks: checks,
	}
	cfg.Secret[0], cfg.Seed[0] = byte(p.w.rng.Uint32()), byte(p.w.rng.Uint32())
	cfg.Seed[1] = byte(len(p.w.procs))
	n, err := core.New(cfg, p.local())
	if err != nil {
		p.w.check.failf("New: %v", err)
	}
	return n
}

func (p *proc) String() string { return fmt.Sprintf("%s/%d", p.name, p.incarnation) }

// local returns the time of the process's own clock.
func (p *proc) local() time.Time {
	return epoch.Add(p.offset + time.Duration(float64(p.w.now)*p.rate))
}

// deliver runs something in the process, or later if the process is paused.
func (p *proc) deliver(do func()) {
	switch {
	case p.dead:
	case p.paused:
		p.inbox = append(p.inbox, do)
	default:
		do()
	}
}

// after runs something after a time measured by the process's clock.
func (p *proc) after(d time.Duration, do func()) {
	p.w.after(time.Duration(float64(d)/p.rate), func() { p.deliver(do) })
}

func (p *proc) every(d time.Duration, do func()) {
	p.after(d, func() {
		do()
		p.every(d, do)
	})
}

func (p *proc) begin() {
	p.w.tracef("%s starts, rate %.3f", p, p.rate)
	p.every(tickEvery, p.tick)
	p.every(pingEvery, p.ping)
	p.every(docsEvery, p.readDocs)
	p.every(listEvery, p.register)
	p.readDocs()
	p.register()
}

// step passes an event to the node and carries out its decisions.
func (p *proc) step(ev core.Event) {
	for _, d := range p.node.Step(p.local(), ev) {
		p.carryOut(d)
	}
}

func (p *proc) carryOut(d core.Decision) {
	id, ok := core.RequestOf(d)
	if !ok {
		p.control(d)
		return
	}
	x := p.exchanges[id]
	if x == nil {
		p.w.check.failf("%s decided %T on request %d, which already got its answer", p, d, id)
		return
	}
	p.w.tracef("%s: %s: %T %+v", p, x.req.Name, d, d)
	p.w.check.decided(x, d)
	if x.decided(d) {
		return
	}
	p.w.after(p.w.upTo(actWithin), func() { p.deliver(func() { x.act(d) }) })
}

func (p *proc) control(d core.Decision) {
	switch d := d.(type) {
	case core.SwapRoster:
		p.swapRoster(d)
	case core.Probe:
		p.probe(d)
	}
}

// readDocs reads all documents from the platform.
func (p *proc) readDocs() {
	p.w.store.call(p, func() func() {
		docs := p.w.store.all()
		return func() { p.takeDocs(docs) }
	}, func() {})
}

// takeDocs puts documents in force if they are newer than those held.
func (p *proc) takeDocs(docs []settings.Document) {
	var newer []settings.Document
	for _, doc := range docs {
		if p.docs.Apply(doc) {
			newer = append(newer, doc)
		}
	}
	if len(newer) == 0 {
		return
	}
	p.snapshot, _ = settings.Advance(p.snapshot, newer)
	p.w.check.documentsApplied(p)
	p.step(core.Applied{Snapshot: p.snapshot})
}

// probe answers a probe after a delay, sometimes wrongly.
func (p *proc) probe(d core.Probe) {
	w := p.w
	t := w.targets[d.Address]
	ev := core.Probed{Target: d.Target, Sent: d.Sent, Err: t.down, Healthy: !t.degraded || w.chance(0.5), Slots: 5, Busy: len(t.works), Check: d.Check}
	if w.chance(0.1) {
		ev.Healthy, ev.Busy = w.chance(0.5), w.rng.IntN(9)
	}
	p.after(w.between(time.Millisecond, 50*time.Millisecond), func() { p.step(ev) })
}

func (p *proc) tick() {
	if !p.w.reachable(p) {
		p.lastImpeded = p.w.now
	}
	p.listPeers()
	p.step(core.Tick{})
	if !p.asking && !p.local().Before(p.rosterDue) {
		p.readRoster()
	}
}

// listPeers passes the recently seen peers to the node.
func (p *proc) listPeers() {
	var peers []core.Peer
	for _, name := range p.w.names {
		h := p.lastSeen[name]
		if h == nil || p.local().Sub(h.at) > deadAfter || p.w.now < p.suspects[name] {
			continue
		}
		place := p.w.home[name]
		peers = append(peers, core.Peer{
			ID: name, Incarnation: h.incarnation, Address: name, Place: p.w.places[place],
			Domain: p.w.places[place], Region: region(place), Leaving: h.leaving,
		})
	}
	if !slices.Equal(peers, p.peers) {
		p.peers = peers
		p.step(core.PeersChanged{Peers: peers})
	}
}
