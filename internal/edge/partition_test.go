package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/store"
)

// partitionRig is a rig of four instances in two failure domains, whose links to the targets can
// fail, and a record of the requests that were sent to them.
type partitionRig struct {
	*rig
	nodes   map[string]*Node
	targets []*target
	lastID  atomic.Int64
}

// loadInterval is the time between two requests to one instance.
const loadInterval = 20 * time.Millisecond

// partitionNames are the instances of a partitionRig; e1 and e2 are in domain n1, the others in s1.
var partitionNames = []string{"e1", "e2", "e3", "e4"}

func newPartitionRig(t *testing.T, behaviour string) *partitionRig {
	t.Helper()
	r := &partitionRig{rig: newRig(t), nodes: make(map[string]*Node)}
	r.links = link.New(nil, link.Latency{}, 1, nil)
	r.configureTimeout(1, "s", callerWait)
	for k := range 6 {
		target := r.target(behaviour)
		r.targets = append(r.targets, target)
		r.register(fmt.Sprint("t", k), target.address, []string{"n1", "s1"}[k%2], "ready")
	}
	for k, name := range partitionNames {
		r.nodes[name] = r.startInstance(name, []string{"n1", "n1", "s1", "s1"}[k])
	}
	for name, n := range r.nodes {
		r.eventually(name+" is ready and knows the others", func() bool {
			return n.Ready() && len(n.instances.names()) == len(partitionNames) && r.usable(n) == len(r.targets)
		})
	}
	return r
}

func (r *partitionRig) usable(n *Node) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, usable := n.fleet.CountTargets(time.Now(), "s")
	return usable
}

// partition sets a fault between instances and the targets, in both directions.
func (r *partitionRig) partition(f link.Fault, names ...string) {
	for _, name := range names {
		r.links.SetBoth(name, "targets", f)
	}
}

// runs returns the runs at all targets.
func (r *partitionRig) runs() int {
	total := 0
	for _, target := range r.targets {
		total += target.runs()
	}
	return total
}

// served counts the requests of some callers to one instance.
type served struct{ sent, good, unknown int }

// load sends requests to instances for a time, each in its turn on a new connection, and returns
// what became of them by instance. path is that of idempotent or other requests.
func (r *partitionRig) load(length time.Duration, path string, names ...string) map[string]served {
	var mu sync.Mutex
	counts := make(map[string]served)
	var callers sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(loadInterval) {
		for _, name := range names {
			callers.Go(func() {
				status := r.request(r.nodes[name], path)
				mu.Lock()
				defer mu.Unlock()
				c := counts[name]
				c.sent++
				switch status {
				case http.StatusOK:
					c.good++
				case http.StatusServiceUnavailable:
				default:
					c.unknown++
				}
				counts[name] = c
			})
		}
	}
	callers.Wait()
	return counts
}

// callerWait is how long callers wait, and the timeout of the routes: what a busy machine takes longer
// for is not what these tests are about.
const callerWait = 2 * time.Second

// request sends one request with an ID of its own and returns the answer's status; 0 if there is none.
func (r *partitionRig) request(n *Node, path string) int {
	c, err := net.Dial("tcp", n.cfg.Settings.Callers)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * callerWait))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: r%d\r\nDeadline-Ms: %d\r\n\r\n", path, r.lastID.Add(1), callerWait.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// partitionDetection is within which time callers of an instance that was partitioned from all
// targets must be served again.
const partitionDetection = 2 * time.Second

// partitionCase is a partition of instances from all targets, and the requests sent meanwhile.
type partitionCase struct {
	fault     link.Fault
	cut       []string
	path      string
	behaviour string // of the targets
}

// Callers of instances that are partitioned from all targets are served nearly as often as those
// of the others, and nothing runs twice.
func TestPartitionFromTargets(t *testing.T) {
	tests := map[string]partitionCase{
		"one, refused":                {link.Fault{Refuse: true}, []string{"e1"}, "/get/x", "good"},
		"one, silent":                 {link.Fault{Partition: true}, []string{"e1"}, "/get/x", "good"},
		"one, new connections":        {link.Fault{RefuseNew: true}, []string{"e1"}, "/get/x", "good, Connection: close"},
		"one, refused, once only":     {link.Fault{Refuse: true}, []string{"e1"}, "/do/x", "good"},
		"one, silent, once only":      {link.Fault{Partition: true}, []string{"e1"}, "/do/x", "good"},
		"a domain, refused":           {link.Fault{Refuse: true}, []string{"e1", "e2"}, "/get/x", "good"},
		"a domain, silent, once only": {link.Fault{Partition: true}, []string{"e1", "e2"}, "/do/x", "good"},
		"half, across domains":        {link.Fault{Refuse: true}, []string{"e2", "e3"}, "/get/x", "good"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tt.check(t)
		})
	}
}

// One instance that reaches targets serves the callers of three that don't.
func TestPartitionOfAllButOne(t *testing.T) {
	t.Parallel()
	partitionCase{link.Fault{Refuse: true}, []string{"e1", "e2", "e3"}, "/get/x", "good"}.check(t)
}

func (tt partitionCase) check(t *testing.T) {
	t.Helper()
	r := newPartitionRig(t, tt.behaviour)
	before := r.load(200*time.Millisecond, tt.path, partitionNames...)
	r.partition(tt.fault, tt.cut...)
	during := r.load(partitionDetection, tt.path, partitionNames...)
	after := r.load(time.Second, tt.path, partitionNames...)
	r.partition(link.Fault{}, tt.cut...)
	healing := r.load(partitionDetection, tt.path, partitionNames...)
	healed := r.load(time.Second, tt.path, partitionNames...)
	sent := 0
	for _, counts := range []map[string]served{before, during, after, healing, healed} {
		for _, c := range counts {
			sent += c.sent
		}
	}
	for _, n := range partitionNames {
		for phase, c := range map[string]served{"partitioned": after[n], "healed": healed[n]} {
			if c.good*50 < c.sent*49 {
				t.Errorf("%s, %s: got %+v, want 49 of 50 served", phase, n, c)
			}
		}
	}
	if tt.path == "/do/x" && r.runs() > sent {
		t.Errorf("got %d runs of %d requests, want none twice", r.runs(), sent)
	}
	if slices.Contains(tt.cut, "e1") && during["e1"].good == 0 {
		t.Errorf("got %+v in the first %s, want some served", during["e1"], partitionDetection)
	}
}

// An instance that reaches no target tells others neither that targets have ended, nor that requests
// end them.
func TestNoCrashReportsFromPartition(t *testing.T) {
	t.Parallel()
	tests := map[string]link.Fault{"refused": {Refuse: true}, "silent": {Partition: true}}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newPartitionRig(t, "hang")
			var callers sync.WaitGroup
			for range 20 {
				callers.Go(func() { r.request(r.nodes["e1"], "/get/x") })
			}
			r.eventually("requests are at all targets", func() bool { return r.runs() >= 20 })
			r.partition(fault, "e1")
			callers.Wait()
			r.eventually("the partition is detected", func() bool {
				r.request(r.nodes["e1"], "/get/x")
				return r.nodes["e1"].partition.partitioned()
			})
			time.Sleep(200 * time.Millisecond) // for reports to be written
			for name, n := range r.nodes {
				n.crashes.mu.Lock()
				if got := len(n.crashes.retained); got != 0 {
					t.Errorf("%s: got %d reports of ended targets, want none", name, got)
				}
				n.crashes.mu.Unlock()
			}
		})
	}
}

// Failures of an instance that reaches no target don't count against a version.
func TestNoRolloutEvidenceFromPartition(t *testing.T) {
	t.Parallel()
	r := newPartitionRig(t, "good")
	n := r.nodes["e1"]
	r.order("v2", "60s")
	r.node = n
	r.waitRollout("running", changeTimeout)
	for k := range 2 {
		r.registerVersion(fmt.Sprint("new", k), r.target("good").address, "v2", "ready")
	}
	r.load(500*time.Millisecond, "/get/x", "e1")
	r.partition(link.Fault{Refuse: true}, "e1")
	r.load(time.Second, "/get/x", "e1")
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	answers, bad := 0, 0
	for _, tally := range n.rollouts.byService["s"].counts {
		answers, bad = answers+int(tally.Answers), bad+int(tally.Bad)
	}
	if answers == 0 || bad != 0 {
		t.Errorf("got %d bad of %d answers, want none", bad, answers)
	}
}

// Callers of a partitioned instance are served beside other trouble: while the store is away, while a
// peer stops, when it has just started, and when one instance after the other is partitioned.
func TestPartitionBesideTrouble(t *testing.T) {
	refused := link.Fault{Refuse: true}
	tests := map[string]func(t *testing.T, r *partitionRig) (asked []string){
		"the store is away": func(_ *testing.T, r *partitionRig) []string {
			r.store.SetFaults(store.Faults{Refuse: true})
			r.partition(refused, "e1", "e2")
			return []string{"e1", "e2"}
		},
		"a peer stops": func(t *testing.T, r *partitionRig) []string {
			r.partition(refused, "e1")
			go r.nodes["e2"].Stop()
			t.Cleanup(func() { r.eventually("it has stopped", func() bool { return r.nodes["e2"].ctx.Err() != nil }) })
			return []string{"e1"}
		},
		"since its start": func(_ *testing.T, r *partitionRig) []string {
			r.partition(link.Fault{Partition: true}, "e9")
			r.nodes["e9"] = r.startInstance("e9", "n1")
			r.eventually("it is ready", func() bool { return r.nodes["e9"].Ready() && r.usable(r.nodes["e9"]) > 0 })
			return []string{"e9"}
		},
		"in turn": func(_ *testing.T, r *partitionRig) []string {
			for _, name := range partitionNames {
				r.partition(refused, name)
				r.load(500*time.Millisecond, "/do/x", partitionNames...)
				r.partition(link.Fault{}, name)
			}
			r.partition(refused, "e4")
			return partitionNames
		},
	}
	for name, begin := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newPartitionRig(t, "good")
			asked := begin(t, r)
			r.load(partitionDetection, "/do/x", asked...)
			for instance, c := range r.load(time.Second, "/do/x", asked...) {
				if c.good*50 < c.sent*49 {
					t.Errorf("%s: got %+v, want 49 of 50 served", instance, c)
				}
			}
			if sent := int(r.lastID.Load()); r.runs() > sent {
				t.Errorf("got %d runs of %d requests, want none twice", r.runs(), sent)
			}
		})
	}
}
