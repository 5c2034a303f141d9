package edge

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/routes"
)

// handOffTo hands a request off to a node, as a peer does, and returns its answer.
func (r *rig) handOffTo(n *Node, path string, q handOffRequest) (reply, handOffAnswer) {
	r.t.Helper()
	c, err := net.Dial("tcp", n.handOffAddress)
	if err != nil {
		r.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	text, err := json.Marshal(q)
	if err != nil {
		r.t.Fatal(err)
	}
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: q1\r\nDeadline-Ms: 1000\r\n%s: %s\r\n\r\n", path, headerHandOff, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{closed: true}, handOffAnswer{}
	}
	body, _ := io.ReadAll(resp.Body)
	var a handOffAnswer
	if err := json.Unmarshal([]byte(resp.Header.Get(headerHandOff)), &a); err != nil {
		r.t.Errorf("got the header %q: %v", resp.Header.Get(headerHandOff), err)
	}
	return reply{status: resp.StatusCode, body: string(body), retryAfter: resp.Header.Get("Retry-After")}, a
}

// A peer keeps the bounds on a request that the sender has used in part, and says whether it ran.
func TestHandOffBounds(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.configure(3, "s")
	good := r.target("good, " + headerHandOff + `: {"declined":"forged"}`)
	r.register("t0", good.address, "n1", "ready")
	r.start()
	r.waitUsable(1)
	tests := map[string]struct {
		path   string
		q      handOffRequest
		status int
		runs   int
		want   handOffAnswer
	}{
		"served":                {"/get/x", handOffRequest{From: "e2", Config: 3}, 200, 1, handOffAnswer{Config: 3, Ran: true, Target: "t0"}},
		"once only":             {"/do/x", handOffRequest{From: "e2", Config: 3}, 200, 1, handOffAnswer{Config: 3, Ran: true, Target: "t0"}},
		"one attempt left":      {"/get/x", handOffRequest{From: "e2", Config: 3, Attempts: 1, Counted: true}, 200, 1, handOffAnswer{Config: 3, Ran: true, Target: "t0"}},
		"no attempt left":       {"/get/x", handOffRequest{From: "e2", Config: 3, Attempts: 2, Counted: true}, 503, 0, handOffAnswer{Config: 3}},
		"tried the only target": {"/get/x", handOffRequest{From: "e2", Config: 3, Tried: []string{"t0"}}, 503, 0, handOffAnswer{Config: 3}},
		"newer configuration":   {"/get/x", handOffRequest{From: "e2", Config: 4}, 503, 0, handOffAnswer{Config: 3, Declined: declinedOldConfig}},
		"older configuration":   {"/get/x", handOffRequest{From: "e2", Config: 2}, 200, 1, handOffAnswer{Config: 3, Ran: true, Target: "t0"}},
		"a route that is gone":  {"/gone/x", handOffRequest{From: "e2", Config: 2}, 404, 0, handOffAnswer{Config: 3}},
		"negative attempts":     {"/get/x", handOffRequest{From: "e2", Config: 3, Attempts: -1}, 400, 0, handOffAnswer{Config: 3}},
		"not from any instance": {"/get/x", handOffRequest{Config: 3}, 400, 0, handOffAnswer{Config: 3}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before := good.runs()
			got, answer := r.handOffTo(r.node, tt.path, tt.q)
			if got.status != tt.status || answer != tt.want {
				t.Errorf("got status %d, %+v, want %d, %+v", got.status, answer, tt.status, tt.want)
			}
			if runs := good.runs() - before; runs != tt.runs {
				t.Errorf("got %d runs, want %d", runs, tt.runs)
			}
		})
	}
}

// What no instance can serve is refused at once, also by a peer, and served soon after the end of the
// partition. Look-ups name instances all the while.
func TestPartitionOfAll(t *testing.T) {
	t.Parallel()
	r := newPartitionRig(t, "good")
	r.partition(link.Fault{Refuse: true}, partitionNames...)
	r.load(partitionDetection, "/get/x", partitionNames...)
	for name, n := range r.nodes {
		began := time.Now()
		got := r.sendTo(n, "", "GET", "/get/x")
		if got.status != http.StatusServiceUnavailable || got.retryAfter == "" || time.Since(began) > 100*time.Millisecond {
			t.Errorf("%s: got %+v, want 503 with Retry-After at once", name, got)
		}
		if _, answer := r.handOffTo(n, "/get/x", handOffRequest{From: "e9"}); answer.Declined != declinedPartitioned {
			t.Errorf("%s: got %+v to a hand-off, want it declined", name, answer)
		}
		if got := n.instances.near("north", "n1", "127.0.0.1", 64); len(got) != 2 {
			t.Errorf("%s: got look-up %v, want both instances of the domain", name, got)
		}
	}
	r.partition(link.Fault{}, partitionNames...)
	for name, n := range r.nodes {
		r.eventually(name+" serves again", func() bool { return r.request(n, "/get/x") == http.StatusOK })
	}
}

// Look-ups name instances that reach targets.
func TestLookupsDuringPartition(t *testing.T) {
	t.Parallel()
	r := newPartitionRig(t, "good")
	address := func(name string) string { return r.nodes[name].cfg.Settings.Callers }
	named := func() string {
		return strings.Join(r.nodes["e4"].instances.near("north", "n1", "127.0.0.1", 64), " ")
	}
	r.partition(link.Fault{Refuse: true}, "e1", "e2")
	go r.load(partitionDetection, "/get/x", "e1", "e2")
	r.eventually("look-ups name the other region", func() bool {
		return !strings.Contains(named(), address("e1")) && !strings.Contains(named(), address("e2")) && strings.Contains(named(), address("e3"))
	})
	r.partition(link.Fault{}, "e1", "e2")
	r.eventually("look-ups name the domain again", func() bool {
		return strings.Contains(named(), address("e1")) && strings.Contains(named(), address("e2"))
	})
}

// partitioned returns a rig of two instances of which e1 is partitioned from the targets, as requests
// for a path have shown.
func partitioned(t *testing.T, path string, configure func(r *rig), targets ...string) (*rig, *Node) {
	t.Helper()
	r := newRig(t)
	r.links = link.New(nil, link.Latency{}, 1, nil)
	configure(r)
	for k, address := range targets {
		r.register(fmt.Sprint("t", k), address, "n1", "ready")
	}
	r.start()
	peer := r.startInstance("e2", "n1")
	r.eventually("both are ready", func() bool {
		return peer.Ready() && len(r.node.instances.names()) == 2 && len(peer.instances.names()) == 2
	})
	r.waitUsable(len(targets))
	r.links.SetBoth("e1", "targets", link.Fault{Refuse: true})
	r.eventually("the partition is detected", func() bool {
		r.send("GET", path)
		return r.node.partition.partitioned()
	})
	return r, peer
}

// Long bodies pass through a peer whole, in both directions.
func TestHandOffOfLongBodies(t *testing.T) {
	t.Parallel()
	const size = 2 << 20
	var whole atomic.Int64
	targets := newRig(t)
	r, _ := partitioned(t, "/do/x", func(r *rig) { r.configureUploads() }, targets.uploadTarget(&whole), targets.uploadTarget(&whole))
	tests := map[string]struct{ chunks bool }{"with a length": {false}, "in chunks": {true}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before := whole.Load()
			if got := r.upload(size, size, tt.chunks); got != http.StatusOK {
				t.Errorf("got status %d, want 200", got)
			}
			if got := whole.Load() - before; got != 1 {
				t.Errorf("got %d whole bodies at the target, want 1", got)
			}
		})
	}
}

// A target stops working on an idempotent request when its caller leaves, also behind a peer.
func TestCallerLeavesHandOff(t *testing.T) {
	t.Parallel()
	targets := newRig(t)
	hanging := targets.target("hang")
	r, _ := partitioned(t, "/get/x", func(r *rig) { r.configure(1, "s") }, hanging.address, targets.target("shed").address)
	c, err := net.Dial("tcp", r.node.cfg.Settings.Callers)
	if err != nil {
		t.Fatal(err)
	}
	before := hanging.requests()
	fmt.Fprint(c, "GET /get/x HTTP/1.1\r\nHost: h\r\nRequest-Id: q1\r\nDeadline-Ms: 1000\r\n\r\n")
	r.eventually("the request is at the target", func() bool { return hanging.requests() > before })
	c.Close()
	select {
	case <-hanging.callerLeft:
	case <-time.After(200 * time.Millisecond):
		t.Error("got no end of the request within 200 ms, want it before the route's timeout")
	}
}

func TestHandOffPeers(t *testing.T) {
	var known instances
	for name, r := range map[string]record{
		"self":        {Region: "north", Cores: 1},
		"small":       {Region: "north", Cores: 0.25},
		"large":       {Region: "north", Cores: 1},
		"partitioned": {Region: "north", Cores: 1, Partitioned: true},
		"leaving":     {Region: "north", Cores: 1, Leaving: true},
		"far":         {Region: "south", Cores: 1},
		"old":         {Region: "north", Cores: 1},
	} {
		r.Callers, r.Peers, r.HandOffs = name, name, name+"-handoffs"
		if name == "old" {
			r.HandOffs = "" // of a version that takes none
		}
		known.put(name, r)
	}
	tests := map[string]struct {
		regions routes.Regions
		avoided string
		want    string // peers, in the order of their names
		first   string // the peer that comes first most often
	}{
		"any region":          {nil, "", "far large small", "large"},
		"own region":          {routes.Regions{"north"}, "", "large small", "large"},
		"another region":      {routes.Regions{"south"}, "", "far", "far"},
		"one is avoided":      {nil, "large", "far small", "small"},
		"none in the regions": {routes.Regions{"west"}, "", "", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			seen, first := make(map[string]bool), make(map[string]int)
			for request := range 1000 {
				list := known.handOffPeers(record{Peers: "self", Region: "north"}, fmt.Sprint(request), tt.regions, 3, func(peer string) bool { return peer == tt.avoided })
				for _, peer := range list {
					seen[peer.name] = true
				}
				if len(list) > 0 {
					first[list[0].name]++
				}
			}
			if got := strings.Join(slices.Sorted(maps.Keys(seen)), " "); got != tt.want {
				t.Errorf("got peers %q, want %q", got, tt.want)
			}
			if tt.first != "" && first[tt.first] < 700 {
				t.Errorf("got %v first, want mostly %s", first, tt.first)
			}
		})
	}
}

// What callers have seen of a configuration through a peer is not undone by an instance that doesn't
// have it in force yet.
func TestBehindPeers(t *testing.T) {
	t.Parallel()
	r := newPartitionRig(t, "good")
	n := r.nodes["e1"]
	later := *n.rules.Load().Config()
	later.Version++
	for _, name := range []string{"e2", "e3", "e4"} {
		r.nodes[name].rules.Store(newRules(later))
	}
	if got := r.request(n, "/none/x"); got != http.StatusNotFound {
		t.Errorf("got %d before anything was handed off, want 404", got)
	}
	r.partition(link.Fault{Refuse: true}, "e1")
	r.load(time.Second, "/get/x", "e1")
	r.partition(link.Fault{}, "e1")
	r.eventually("the partition is over", func() bool { return !n.partition.partitioned() })
	if got := r.request(n, "/none/x"); got != http.StatusServiceUnavailable {
		t.Errorf("got %d for what the later configuration may have, want 503", got)
	}
	if got := r.request(n, "/get/x"); got != http.StatusOK {
		t.Errorf("got %d, want 200 by a peer", got)
	}
	n.rules.Store(newRules(later))
	if got := r.request(n, "/none/x"); got != http.StatusNotFound {
		t.Errorf("got %d once the later configuration is in force, want 404", got)
	}
}
