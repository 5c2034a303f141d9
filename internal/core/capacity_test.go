package core

import (
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// benchSize is the size of the configuration and the membership of a benchmark's node.
type benchSize struct {
	places   int // in the settings
	services int // with a site in the node's place
	others   int // services without one
	targets  int // of each service in the place
	spread   int // places that each service has a site in
	roster   int // instances of the place
	peers    int // instances in other places
	blocks   int // prefixes, a thousand per document
}

// defaultSize is the size of the place on which docs/CAPACITY.md bases its figures.
var defaultSize = benchSize{places: 23, services: 10, targets: 12, spread: 3, roster: 9, peers: 776, blocks: 1000}

const (
	benchTeam   = "shop"
	perDocument = 1000
)

var benchStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func placeName(i int) string { return fmt.Sprintf("place-%03d", i) }

func (w benchSize) documents() []settings.Document {
	var docs []settings.Document
	add := func(path, body string) {
		docs = append(docs, settings.Document{Path: path, Version: 1, Body: []byte(body)})
	}
	for i := range w.places {
		add("/places/"+placeName(i), fmt.Sprintf("region: region-%d\ndomain: domain-%02d\nlimit: 100000\n", i%10, i%21))
	}
	for i := range w.services {
		add(w.service(i, 0))
	}
	for i := range w.others {
		add(w.service(w.services+i, 1))
	}
	for i := 0; i < w.blocks; i += perDocument {
		add(fmt.Sprintf("/blocks/part-%03d", i/perDocument), blocksBody(i, min(perDocument, w.blocks-i), w.places))
	}
	return docs
}

// service returns the path and body of a service's document, with sites in consecutive
// places from first on.
func (w benchSize) service(i, first int) (path, body string) {
	var b strings.Builder
	b.WriteString("class: interactive\ntimeout: 2s\nshift: 10\nplaces:\n")
	for p := range w.spread {
		fmt.Fprintf(&b, "  %s:\n    limit: %d\n    targets:\n", placeName((first+p)%w.places), 10*w.targets)
		for t := range w.targets {
			port := (i*w.spread+p)*w.targets + t
			fmt.Fprintf(&b, "      - {name: t%d-%d, address: \"10.%d.%d.%d:80\", slots: 10, connections: 100}\n", p, t, port>>16, port>>8&255, port&255)
		}
	}
	return fmt.Sprintf("/teams/%s/services/s%d", benchTeam, i), b.String()
}

func blocksBody(first, n, places int) string {
	var b strings.Builder
	b.WriteString("blocks:\n")
	for i := first; i < first+n; i++ {
		fmt.Fprintf(&b, "  - {prefix: %d.%d.%d.0/24, place: %s}\n", 1+i>>16, i>>8&255, i&255, placeName(i%places))
	}
	return b.String()
}

func (w benchSize) snapshot(b testing.TB) *settings.Snapshot {
	s, err := settings.Compile(w.documents())
	if err != nil {
		b.Fatal(err)
	}
	return s
}

func (w benchSize) peerList() []Peer {
	var peers []Peer
	for i := range w.roster - 1 {
		peers = append(peers, Peer{ID: fmt.Sprintf("entry-%04d", i+1), Incarnation: 1, Place: placeName(0), Address: "10.0.0.1:1", CallersAddress: "10.0.0.1:2"})
	}
	for i := range w.peers {
		peers = append(peers, Peer{ID: fmt.Sprintf("far-%04d", i), Incarnation: 1, Place: placeName(1 + i%max(w.places-1, 1)), Address: "10.0.0.1:1", CallersAddress: "10.0.0.1:2"})
	}
	return peers
}

// node returns a node that owns its part of the place. Its lease is confirmed for an hour
// by the acks of all other instances, as in steady state.
func (w benchSize) node(b testing.TB) *Node {
	n, err := New(Config{Instance: "entry-0000", Incarnation: 1, Place: placeName(0), Domain: "domain-00", Region: "region-0", Term: time.Hour}, benchStart)
	if err != nil {
		b.Fatal(err)
	}
	r := owner.Roster{}
	for i := range w.roster {
		if r, err = r.Join(fmt.Sprintf("entry-%04d", i), 1); err != nil {
			b.Fatal(err)
		}
	}
	n.Step(benchStart, PeersChanged{Peers: w.peerList()})
	n.Step(benchStart, Applied{Snapshot: w.snapshot(b)})
	n.Step(benchStart, RosterRead{Roster: r, Sent: benchStart.Add(-2 * time.Hour)})
	for i := range w.roster - 1 {
		n.Step(benchStart, PeerAcked{Peer: fmt.Sprintf("entry-%04d", i+1), Incarnation: 1, Sent: benchStart, Roster: r.Version})
	}
	if !n.Confirmed(benchStart.Add(time.Minute)) {
		b.Fatal("lease is not confirmed by acks")
	}
	return n
}

func (w benchSize) vary(b *testing.B, sizes []int, set func(*benchSize, int), run func(*testing.B, benchSize)) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			v := w
			set(&v, size)
			run(b, v)
		})
	}
}

func benchTick(b *testing.B, w benchSize) {
	n := w.node(b)
	now := benchStart.Add(time.Minute)
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		n.Step(now, Tick{})
	}
}

func BenchmarkCapacityTickServices(b *testing.B) {
	defaultSize.vary(b, []int{1, 10, 30}, func(w *benchSize, n int) { w.services = n }, benchTick)
}

func BenchmarkCapacityTickTargets(b *testing.B) {
	defaultSize.vary(b, []int{3, 30, 300}, func(w *benchSize, n int) { w.targets, w.services = n, 1 }, benchTick)
}

func BenchmarkCapacityTickRoster(b *testing.B) {
	defaultSize.vary(b, []int{3, 9, 30}, func(w *benchSize, n int) { w.roster = n }, benchTick)
}

func BenchmarkCapacityTickOthers(b *testing.B) {
	defaultSize.vary(b, []int{10, 100, 1000}, func(w *benchSize, n int) { w.others = n }, benchTick)
}

func BenchmarkCapacityTickPeers(b *testing.B) {
	defaultSize.vary(b, []int{10, 100, 776}, func(w *benchSize, n int) { w.peers = n }, benchTick)
}

// benchRequest measures requests that arrive and end, each served by an owned target.
func benchRequest(b *testing.B, w benchSize) {
	n := w.node(b)
	now := benchStart.Add(time.Minute)
	id := settings.ServiceID{Team: benchTeam, Name: "s0"}
	caller := netip.MustParseAddr("1.0.0.1")
	i := ID(0)
	for b.Loop() {
		i++
		now = now.Add(time.Microsecond)
		n.Step(now, Arrived{ID: i, Request: Request{Service: id, Method: "GET", Path: "/", Caller: caller, Name: "r"}})
		n.Step(now, Finished{ID: i, Result: Answered, Status: 200, Took: time.Millisecond})
	}
}

func BenchmarkCapacityStepTargets(b *testing.B) {
	defaultSize.vary(b, []int{3, 30, 300}, func(w *benchSize, n int) { w.targets, w.services = n, 1 }, benchRequest)
}

func BenchmarkCapacityStepServices(b *testing.B) {
	defaultSize.vary(b, []int{1, 10, 30}, func(w *benchSize, n int) { w.services = n }, benchRequest)
}

func BenchmarkCapacityStepPlaces(b *testing.B) {
	defaultSize.vary(b, []int{3, 23, 230}, func(w *benchSize, n int) { w.places, w.spread = n, n }, benchRequest)
}

func benchLookup(b *testing.B, w benchSize) {
	n := w.node(b)
	id := settings.ServiceID{Team: benchTeam, Name: "s0"}
	caller := netip.MustParseAddr("1.0.0.1")
	for b.Loop() {
		if _, err := n.Lookup(benchStart, id, caller, 0); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCapacityCoreLookupPeers(b *testing.B) {
	defaultSize.vary(b, []int{10, 100, 776}, func(w *benchSize, n int) { w.peers = n }, benchLookup)
}

func BenchmarkCapacityCoreLookupPlaces(b *testing.B) {
	defaultSize.vary(b, []int{3, 23, 230}, func(w *benchSize, n int) { w.places, w.spread = n, n }, benchLookup)
}

// TestTickFollowsRights checks that ticks, which skip the work for each service while
// nothing has changed, follow changes of the lease and of ownership.
func TestTickFollowsRights(t *testing.T) {
	n := defaultSize.node(t)
	id := settings.ServiceID{Team: benchTeam, Name: "s0"}
	grown := func(at time.Time) int {
		n.Step(at, Tick{})
		return n.state(at, id).ramp.Counts(at.Add(time.Second)).Budget
	}
	now := benchStart.Add(time.Minute)
	confirmed := grown(now)
	if confirmed == 0 {
		t.Fatal("got no shifted request with a confirmed lease")
	}
	if got := grown(now.Add(2 * time.Hour)); got >= confirmed {
		t.Errorf("got a cap of %d with an expired lease, want less than %d", got, confirmed)
	}
	next, err := n.Roster().Remove("entry-0001", 1, true)
	if err != nil {
		t.Fatal(err)
	}
	owned := len(n.owners.Owned())
	n.Step(now.Add(3*time.Hour), RosterReceived{Roster: next})
	if got := len(n.owners.Owned()); got <= owned {
		t.Errorf("got %d owned targets after a member left, want more than %d", got, owned)
	}
	probed := map[owner.TargetKey]int{}
	for i := range 500 {
		for _, d := range n.Step(now.Add(3*time.Hour+time.Duration(i)*10*time.Millisecond), Tick{}) {
			if p, ok := d.(Probe); ok {
				probed[p.Target]++
			}
		}
	}
	for _, key := range n.owners.Owned() {
		if got := probed[key]; got != 5 {
			t.Errorf("got %d probes of %v in 5 s, want 5", got, key)
		}
	}
}

// TestProbesOfBusyTargets checks that a target that answers requests is not probed in
// addition, and that one that refuses them is.
func TestProbesOfBusyTargets(t *testing.T) {
	tests := map[string]struct {
		result Result
		policy Policy
		want   int // probes in the 10 s after the first
	}{
		"answers":          {Answered, PolicyOwner, 0},
		"refuses":          {NotRun, PolicyOwner, 9},
		"answers baseline": {Answered, PolicyTwoChoices, 9},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := defaultSize.node(t)
			n.cfg.Policy = tt.policy
			key := n.owners.Owned()[0]
			id := key.Service
			n.Step(benchStart.Add(time.Second), Tick{})
			probes := 0
			for i := range 1000 {
				now := benchStart.Add(time.Second + time.Duration(i)*10*time.Millisecond)
				if i%50 == 0 {
					n.recordAttempt(now, &inFlight{req: Request{Service: id, Deadline: now.Add(time.Second)}, target: key}, Finished{Result: tt.result, Proof: once.ProofRefusal})
				}
				for _, d := range n.Step(now, Tick{}) {
					if p, ok := d.(Probe); ok && p.Target == key {
						probes++
					}
				}
			}
			if probes != tt.want {
				t.Errorf("got %d probes in 10 s, want %d", probes, tt.want)
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCapacityBlockMemory reports the memory of the block documents as text, parsed,
// and as the node's table, in bytes.
func BenchmarkCapacityBlockMemory(b *testing.B) {
	sizes := []int{1000, 10_000, 100_000, 260_000}
	defaultSize.vary(b, sizes, func(w *benchSize, n int) { w.blocks, w.places = n, 230 }, func(b *testing.B, w benchSize) {
		for b.Loop() {
			empty := heapInUse()
			docs := w.documents()
			text := heapInUse()
			s, _ := settings.CompileLenient(docs)
			parsed := heapInUse()
			n, _ := New(Config{Instance: "entry-0000", Incarnation: 1, Place: placeName(0), Domain: "domain-00", Region: "region-0"}, benchStart)
			n.Step(benchStart, Applied{Snapshot: s})
			all := heapInUse()
			b.ReportMetric(float64(text-empty), "text-bytes")
			b.ReportMetric(float64(parsed)-float64(text), "parsed-bytes")
			b.ReportMetric(float64(all)-float64(parsed), "table-bytes")
			runtime.KeepAlive(docs)
			runtime.KeepAlive(n)
		}
	})
}
