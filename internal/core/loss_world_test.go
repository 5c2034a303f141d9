package core

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// Sizes of the simulation: four places, each with a few instances, 20 slots and requests
// of 50 ms on average, which makes 400 requests per second.
const (
	lossFarDelay      = 20 * time.Millisecond   // one way between places
	lossNearDelay     = 1500 * time.Microsecond // one way within a place
	lossSlotsInterval = 250 * time.Millisecond
	lossServiceTime   = 50 * time.Millisecond
	lossRate          = 200.0 // requests per second at each place: half of its capacity
	lossCap           = 40    // shift cap of the service
	lossAt            = 5 * time.Second
	lossEnd           = 15 * time.Second
	lossTimeout       = time.Second
)

var lossPlaces = []string{"a", "b", "c", "d"}

// placeOf returns the place of an instance, which is the first letter of its ID.
func placeOf(id string) string { return id[:1] }

func delayOf(x, y string) time.Duration {
	if placeOf(x) == placeOf(y) {
		return lossNearDelay
	}
	return lossFarDelay
}

// lossSimulation runs nodes in virtual time.
type lossSimulation struct {
	t          testing.TB
	rng        *rand.Rand
	now        time.Time
	jobs       jobQueue
	seq        int
	ids        []string         // of the instances, sorted
	nodes      map[string]*Node // by ID
	last       ID
	open       map[ID]*hop // by the ID at the node that has it
	wrongPlace bool
	counts     tally
}

// hop is one request at one node.
type hop struct {
	node    string
	from    *hop // hop at the node that handed it off; nil if it came from a caller
	home    string
	arrived time.Time
	id      ID
	handOff HandOff // latest hand-off
}

type tally struct {
	requests, answered, refused     int
	shifted                         [20]int // answered shifted requests by the second of their admission
	answeredByHome                  map[string]int
	handOffs, refusedHandOffs, asks int
	latency                         []time.Duration
	overLimit                       int // maximum excess of requests at a place's targets over its limit
	busy                            map[string]int
}

func newTally(busy map[string]int) tally {
	return tally{answeredByHome: make(map[string]int), busy: busy}
}

type job struct {
	at  time.Time
	seq int
	do  func()
}

type jobQueue []job

func (a jobQueue) Len() int { return len(a) }
func (a jobQueue) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}
func (a jobQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *jobQueue) Push(x any)   { *a = append(*a, x.(job)) }
func (a *jobQueue) Pop() any {
	last := len(*a) - 1
	j := (*a)[last]
	*a = (*a)[:last]
	return j
}

func (w *lossSimulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.jobs, job{at: w.now.Add(d), seq: w.seq, do: do})
}

func (w *lossSimulation) run(until time.Time) {
	for len(w.jobs) > 0 && w.jobs[0].at.Before(until) {
		j := heap.Pop(&w.jobs).(job)
		w.now = j.at
		j.do()
	}
	w.now = until
}

func lossSnapshot(t testing.TB, drained ...string) *settings.Snapshot {
	t.Helper()
	var service strings.Builder
	fmt.Fprintf(&service, "class: interactive\ntimeout: %s\nshift: %d\nplaces:\n", lossTimeout, lossCap)
	var docs []settings.Document
	for _, p := range lossPlaces {
		docs = append(docs, settings.Document{
			Path: "/places/" + p, Version: 1, Body: []byte("region: " + p + "\ndomain: " + p + "\nlimit: 20\n"),
		})
		fmt.Fprintf(&service, "  %s:\n    limit: 20\n    targets:\n", p)
		for i := range 4 {
			fmt.Fprintf(&service, "      - {name: %s%d, address: \"127.0.0.1:%d\", slots: 5, connections: 99}\n", p, i, 1000+10*int(p[0])+i)
		}
	}
	docs = append(docs, settings.Document{Path: "/teams/shop/services/orders", Version: 1, Body: []byte(service.String())})
	for _, p := range drained {
		docs = append(docs, settings.Document{Path: "/drains/" + p, Version: 1, Body: []byte("place: " + p + "\n")})
	}
	s, err := settings.Compile(docs)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newLossSimulation(t testing.TB, mode handOffMode, seed uint64, size int) *lossSimulation {
	w := &lossSimulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: begin, nodes: make(map[string]*Node),
		open: make(map[ID]*hop),
	}
	w.counts = newTally(make(map[string]int))
	checks := invariant.New(func(n invariant.Name, d string) { t.Errorf("invariant %s: %s", n, d) })
	for _, p := range lossPlaces {
		w.addPlace(p, mode, seed, size, checks)
	}
	w.connectPeers()
	for _, id := range w.ids {
		w.tick(id)
		w.sendFreeSlots(id)
	}
	for _, p := range lossPlaces {
		w.arrive(p)
	}
	return w
}

// addPlace creates the instances of a place.
func (w *lossSimulation) addPlace(p string, mode handOffMode, seed uint64, size int, checks *invariant.Counter) {
	var r owner.Roster
	for i := range size {
		r, _ = r.Join(fmt.Sprint(p, i), 1)
	}
	for i := range size {
		id := fmt.Sprint(p, i)
		n, err := New(Config{
			Instance: id, Incarnation: 1, Place: p, Domain: p, Region: p, Checks: checks, handOff: mode,
			Rand: rand.New(rand.NewPCG(seed, uint64(len(w.ids)))), Grace: time.Hour, Term: time.Hour,
		}, w.now)
		if err != nil {
			w.t.Fatal(err)
		}
		w.ids = append(w.ids, id)
		w.nodes[id] = n
		n.Step(w.now, Applied{Snapshot: lossSnapshot(w.t)})
		n.Step(w.now, RosterRead{Roster: r, Sent: w.now})
	}
}

func (w *lossSimulation) connectPeers() {
	for _, id := range w.ids {
		var peers []Peer
		for _, q := range w.ids {
			if q != id {
				p := placeOf(q)
				peers = append(peers, Peer{ID: q, Incarnation: 1, Place: p, Domain: p, Region: p})
			}
		}
		w.nodes[id].Step(w.now, PeersChanged{Peers: peers})
	}
}

func (w *lossSimulation) tick(id string) {
	w.step(id, Tick{})
	w.after(10*time.Millisecond, func() { w.tick(id) })
}

func (w *lossSimulation) sendFreeSlots(id string) {
	rooms, release := w.nodes[id].FreeSlots(w.now), w.nodes[id].Release()
	for _, q := range w.ids {
		if q != id && placeOf(q) == placeOf(id) {
			w.after(lossNearDelay, func() {
				w.step(q, FreeSlotsReceived{Peer: id, Services: rooms})
				w.step(q, Released{Release: release})
			})
		}
	}
	w.after(lossSlotsInterval, func() { w.sendFreeSlots(id) })
}

func (w *lossSimulation) arrive(p string) {
	w.after(time.Duration(w.rng.ExpFloat64()/lossRate*float64(time.Second)), func() {
		w.counts.requests++
		id := fmt.Sprint(p, w.rng.IntN(len(w.ids)/len(lossPlaces)))
		w.begin(&hop{node: id, home: w.homeAt(p)}, FromCaller, "")
		w.arrive(p)
	})
}

func (w *lossSimulation) homeAt(p string) string {
	if !w.wrongPlace {
		return p
	}
	return lossPlaces[(slices.Index(lossPlaces, p)+1)%4]
}

func (w *lossSimulation) begin(tr *hop, origin Origin, from string) {
	w.last++
	tr.id, tr.arrived = w.last, w.now
	w.open[tr.id] = tr
	w.step(tr.node, Arrived{ID: tr.id, Origin: origin, Request: Request{
		Service: ordersID, Method: "GET", Path: "/", Caller: netip.Addr{}, Home: tr.home, From: from,
		Name: fmt.Sprint(tr.id), Replayable: true,
	}})
}

var ordersID = settings.ServiceID{Team: "shop", Name: "orders"}

func (w *lossSimulation) step(id string, ev Event) {
	for _, d := range w.nodes[id].Step(w.now, ev) {
		w.act(id, d)
	}
}

func (w *lossSimulation) act(id string, d Decision) {
	p := placeOf(id)
	switch d := d.(type) {
	case Serve:
		tr := w.open[d.ID]
		w.counts.busy[p]++
		w.counts.overLimit = max(w.counts.overLimit, w.counts.busy[p]-20)
		if d.Shifted {
			w.counts.shifted[int(w.now.Sub(begin)/time.Second)]++
		}
		took := lossServiceTime/2 + time.Duration(w.rng.Int64N(int64(lossServiceTime)))
		w.after(took, func() {
			w.counts.busy[p]--
			w.step(id, Finished{ID: d.ID, Result: Answered, Status: 200, Took: took})
			w.finish(tr, Finished{Result: Answered, Status: 200})
		})
	case HandOff:
		if d.Peer.Place != p {
			w.counts.handOffs++
		}
		tr := w.open[d.ID]
		tr.handOff = d
		w.after(delayOf(id, d.Peer.ID), func() { w.begin(&hop{node: d.Peer.ID, from: tr, home: tr.home}, FromPeer, id) })
	case Refuse:
		w.finish(w.open[d.ID], Finished{Result: NotRun, Reason: d.Reason, RetryAt: d.RetryAt})
	case AskGrant:
		w.counts.asks++
		sent := w.now
		w.after(lossFarDelay, func() { w.offer(id, d, sent) })
	}
}

func (w *lossSimulation) offer(id string, d AskGrant, sent time.Time) {
	o := w.nodes[d.Peer.ID].Offer(w.now, Ask{Peer: id, Service: d.Service, Home: d.Home, Want: d.Want, Release: d.Release})
	life := o.Until.Sub(w.now)
	w.after(lossFarDelay, func() {
		w.step(id, GrantReceived{Peer: d.Peer.ID, Incarnation: 1, Service: d.Service, Home: d.Home, Free: o.Free, Grant: o.Grant, Until: sent.Add(life)})
	})
}

// finish returns the outcome of a request to the caller or the node that sent it.
func (w *lossSimulation) finish(tr *hop, ev Finished) {
	delete(w.open, tr.id)
	if tr.from == nil {
		w.final(tr, ev)
		return
	}
	upstream := tr.from
	o := w.nodes[tr.node].Offer(w.now, Ask{Peer: upstream.node, Service: ordersID, Home: tr.home, Want: upstream.handOff.Want})
	life, sent := o.Until.Sub(w.now), tr.arrived.Add(-delayOf(upstream.node, tr.node))
	if ev.Result == NotRun && placeOf(upstream.node) != placeOf(tr.node) {
		w.counts.refusedHandOffs++
	}
	w.after(delayOf(upstream.node, tr.node), func() {
		w.step(upstream.node, GrantReceived{
			ID: upstream.id, Peer: tr.node, Incarnation: 1, Service: ordersID, Home: upstream.handOff.Home,
			Free: o.Free, Grant: o.Grant, Until: sent.Add(life),
		})
		ev.ID, ev.Took = upstream.id, w.now.Sub(sent)
		w.step(upstream.node, ev)
		if ev.Result == Answered {
			w.finish(upstream, ev)
		}
	})
}

func (w *lossSimulation) final(tr *hop, ev Finished) {
	if ev.Result == Answered {
		w.counts.answered++
		w.counts.answeredByHome[tr.home]++
		w.counts.latency = append(w.counts.latency, w.now.Sub(tr.arrived))
		return
	}
	w.counts.refused++
}

// drainPlaces drains the targets of places.
func (w *lossSimulation) drainPlaces(places ...string) {
	s := lossSnapshot(w.t, places...)
	for _, id := range w.ids {
		w.step(id, Applied{Snapshot: s})
	}
}
