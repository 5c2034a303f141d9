package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/wire"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// event is the arrival of a packet, or a Tick if data is nil.
type event struct {
	at   time.Time
	n    uint64 // order of events at the same time
	to   string
	data []byte
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].n < e[j].n
}

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// network is an in-memory network in virtual time.
type network struct {
	t         testing.TB
	rng       *rand.Rand
	now       time.Time
	n         uint64
	queue     events
	lists     map[string]*List // by address
	order     []string
	ticks     map[string]time.Time
	paused    map[string]bool
	drop      func(from, to string) bool
	jitter    time.Duration // maximum random delay in addition to the link's
	duplicate bool
	bytes     map[string]int
	packets   int
	changes   map[string][]Change
	highest   map[string][2]uint64 // highest incarnation and refutation, by holder and member
}

func newNetwork(t testing.TB) *network {
	return &network{
		t: t, rng: rand.New(rand.NewPCG(1, 2)), now: start, lists: map[string]*List{}, ticks: map[string]time.Time{},
		paused: map[string]bool{}, bytes: map[string]int{}, changes: map[string][]Change{}, highest: map[string][2]uint64{},
		drop: func(string, string) bool { return false },
	}
}

// instance returns the i'th instance of a cluster with so many instances per place and places per
// domain.
func instance(i, perPlace, placesPerDomain int) docstore.Instance {
	place := i / perPlace
	return docstore.Instance{
		ID: fmt.Sprintf("entry-%04d", i), Incarnation: uint64(start.UnixNano()),
		PeerAddress: address(i), CallersAddress: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250+1), OperatorsAddress: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250+1),
		Place: fmt.Sprintf("place-%03d", place), Domain: fmt.Sprintf("domain-%02d", place/placesPerDomain), Region: "region-1",
	}
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func cluster(n, perPlace, placesPerDomain int) []docstore.Instance {
	var all []docstore.Instance
	for i := range n {
		all = append(all, instance(i, perPlace, placesPerDomain))
	}
	return all
}

func (w *network) add(in docstore.Instance, seeds ...string) *List {
	w.t.Helper()
	l, err := New(Config{Self: in, Seeds: seeds, Seed: uint64(len(w.order))}, w.now)
	if err != nil {
		w.t.Fatal(err)
	}
	if w.lists[in.PeerAddress] == nil {
		w.order = append(w.order, in.PeerAddress)
	}
	w.lists[in.PeerAddress] = l
	w.tickAt(in.PeerAddress, w.now.Add(time.Duration(w.rng.IntN(1000))*time.Millisecond))
	return l
}

// start starts n instances that get each other from the platform's list.
func (w *network) start(n, perPlace, placesPerDomain int) {
	all := cluster(n, perPlace, placesPerDomain)
	for _, in := range all {
		w.add(in).MergeListing(w.now, all)
	}
}

func (w *network) tickAt(addr string, at time.Time) {
	w.ticks[addr] = at
	w.push(at, addr, nil)
}

func (w *network) push(at time.Time, to string, data []byte) {
	w.n++
	heap.Push(&w.queue, event{at: at, n: w.n, to: to, data: data})
}

func (w *network) send(from string, sends []Send) {
	for _, s := range sends {
		data, err := proto.Marshal(s.Packet)
		if err != nil || len(data) > wire.MaxPacket {
			w.t.Fatalf("packet of %d bytes: %v", len(data), err)
		}
		w.bytes[from] += len(data)
		w.packets++
		for range w.copies() {
			delay := time.Millisecond + time.Duration(w.rng.Int64N(int64(w.jitter)+1))
			if !w.drop(from, s.To) {
				w.push(w.now.Add(delay), s.To, data)
			}
		}
	}
}

func (w *network) copies() int {
	if w.duplicate {
		return 1 + w.rng.IntN(3)
	}
	return 1
}

func (w *network) run(d time.Duration) {
	w.runUntil(d, func() bool { return false })
}

// runUntil runs until done returns true, which is checked twice per virtual second, and returns the
// time taken.
func (w *network) runUntil(most time.Duration, done func() bool) time.Duration {
	begin, end := w.now, w.now.Add(most)
	check := w.now.Add(500 * time.Millisecond)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.handle(e)
		if w.now.After(check) {
			check = w.now.Add(500 * time.Millisecond)
			if done() {
				return w.now.Sub(begin)
			}
		}
	}
	w.now = end
	return most
}

func (w *network) handle(e event) {
	l := w.lists[e.to]
	if l == nil || e.data == nil && !e.at.Equal(w.ticks[e.to]) {
		return // crashed, or a Tick that was rescheduled
	}
	if w.paused[e.to] {
		w.delay(e)
		return
	}
	if e.data == nil {
		w.send(e.to, l.Tick(w.now))
	} else {
		p := &wire.Packet{}
		if err := proto.Unmarshal(e.data, p); err != nil {
			w.t.Fatal(err)
		}
		sends, _ := l.Receive(w.now, p)
		w.send(e.to, sends)
	}
	w.recordChanges(e.to, l)
	if next := l.Next(); e.data == nil || next.Before(w.ticks[e.to]) {
		if !next.After(w.now) {
			next = w.now.Add(time.Millisecond)
		}
		w.tickAt(e.to, next)
	}
}

// delay reschedules an event while its receiver is paused.
func (w *network) delay(e event) {
	at := w.now.Add(50 * time.Millisecond)
	if e.data == nil {
		w.tickAt(e.to, at)
		return
	}
	w.push(at, e.to, e.data)
}

// recordChanges records the changes, and fails the test if an incarnation or refutation decreased.
func (w *network) recordChanges(addr string, l *List) {
	for _, c := range l.Changes() {
		w.changes[addr] = append(w.changes[addr], c)
		m, held := l.members[c.Member.ID]
		if !held {
			continue
		}
		key := addr + " " + c.Member.ID
		was, now := w.highest[key], [2]uint64{m.in.Incarnation, m.refutation}
		if now[0] < was[0] || now[0] == was[0] && now[1] < was[1] {
			w.t.Fatalf("%s: got incarnation %v after %v", key, now, was)
		}
		w.highest[key] = now
	}
}

// allHold reports whether each running list, except those given, holds id in the state.
func (w *network) allHold(id string, want State, except ...string) bool {
	for _, addr := range w.order {
		l := w.lists[addr]
		if l == nil || l.self.in.ID == id || contains(except, addr) {
			continue
		}
		if m, ok := l.Get(id); !ok || m.State != want {
			return false
		}
	}
	return true
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// count returns the number of changes of a kind that all lists have reported.
func (w *network) count(kind ChangeKind) int {
	n := 0
	for _, changes := range w.changes {
		for _, c := range changes {
			if c.Kind == kind {
				n++
			}
		}
	}
	return n
}
