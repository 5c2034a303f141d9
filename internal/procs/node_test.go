//go:build linux

package procs

import (
	"context"
	"fmt"
	"net/netip"
	"regexp"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/operator"
	"github.com/firlever/firlever/pkg/settings"
)

// node is one instance, across all processes that run under its ID.
type node struct {
	f            *fleet
	id           string
	place        string
	ip           string
	peerProxy    *peerProxy // forwards from peers to the instance
	platformAddr string     // proxy through which the instance reaches the platform

	callerAddr, peerAddr, operatorAddr string // kept across restarts of the instance

	mu        sync.Mutex
	proc      *process   // current process, nil before the first start; guarded by mu
	processes []*process // all processes so far, including proc
}

var servingLine = regexp.MustCompile(`serving instance=\S+ callers=(\S+) peers=(\S+) operators=(\S+)`)

func (f *fleet) newNode(place string, index, i int) *node {
	n := &node{f: f, id: fmt.Sprintf("%s-%d", place, i), place: place}
	n.ip = fmt.Sprintf("127.%d.%d.%d", 20+f.number, index, i)
	f.pointByIP[netip.MustParseAddr(n.ip)] = link.At(n.id)
	g, err := newPeerProxy(n.ip, f.links, link.At(n.id), func(a netip.Addr) link.Point { return f.pointByIP[a] })
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(g.close)
	n.peerProxy = g
	n.platformAddr = f.startProxy(n.id, platformPoint, f.platformAddr)
	n.callerAddr, n.peerAddr, n.operatorAddr = n.ip+":0", n.ip+":0", n.ip+":0"
	f.t.Cleanup(n.kill)
	return n
}

// start runs a new process under the node's ID and waits until it serves. The process
// joins through the instances that run now.
func (n *node) start() {
	n.f.t.Helper()
	args := []string{
		"serve", "--id", n.id, "--place", n.place, "--region", "coast", "--log", "info",
		"--callers", n.callerAddr, "--peers", n.peerAddr, "--operators", n.operatorAddr,
		"--advertise-peers", n.peerProxy.addr(), "--source", n.ip,
		"--platform", n.platformAddr, "--bootstrap", settings.HashToken(token),
	}
	if d := n.f.opts.linger; d > 0 {
		args = append(args, "--linger", d.String())
	}
	for _, other := range n.f.running() {
		args = append(args, "--join", other.peerProxy.addr())
	}
	p := startProcess(n.f.t, args...)
	n.mu.Lock()
	n.processes = append(n.processes, p)
	n.mu.Unlock()
	m := p.awaitLine(n.f.t, servingLine)
	n.mu.Lock()
	n.callerAddr, n.peerAddr, n.operatorAddr = m[1], m[2], m[3]
	n.proc = p
	n.mu.Unlock()
	if err := n.peerProxy.forwardTo(n.peerAddr); err != nil {
		n.f.t.Fatal(err)
	}
}

func (n *node) kill() {
	for _, p := range n.processes {
		p.kill()
	}
}

// alive reports whether the node's current process has served and not exited. A process
// stopped by SIGSTOP is alive.
func (n *node) alive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.proc == nil {
		return false
	}
	select {
	case <-n.proc.done:
		return false
	default:
		return true
	}
}

func (n *node) status() (operator.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	n.mu.Lock()
	address := n.operatorAddr
	n.mu.Unlock()
	c := operator.NewClient(address, token)
	defer c.Close()
	return c.Status(ctx)
}

// documentVersion returns the version of a document in force at the node; 0 if the node
// does not answer or has no such document.
func (n *node) documentVersion(path string) uint64 {
	st, err := n.status()
	if err != nil {
		return 0
	}
	for _, d := range st.Documents {
		if d.Path == path {
			return d.Version
		}
	}
	return 0
}

// ownedTargets returns the targets that the node owns with an allowance for them.
func (n *node) ownedTargets() []string {
	st, err := n.status()
	if err != nil {
		return nil
	}
	var names []string
	for _, tg := range st.Targets {
		if tg.Owner == n.id && tg.Allowance > 0 {
			names = append(names, tg.Name)
		}
	}
	return names
}

// monitor polls the status of all running instances. It records a violation if the version
// of a document decreases within an incarnation, or if an instance reports an invariant
// violation.
type monitor struct {
	f       *fleet
	done    chan struct{}
	stopped chan struct{}

	mu           sync.Mutex
	versions     map[string]uint64 // by instance, incarnation and path
	checks       map[string]uint64 // by instance, incarnation and invariant
	violations   map[string]bool
	incarnations map[string]uint64 // newest incarnation by instance
	statusCount  int
}

func startMonitor(f *fleet) *monitor {
	m := &monitor{
		f: f, done: make(chan struct{}), stopped: make(chan struct{}),
		versions: map[string]uint64{}, checks: map[string]uint64{}, violations: map[string]bool{},
		incarnations: map[string]uint64{},
	}
	go m.run()
	return m
}

const monitorInterval = 300 * time.Millisecond

func (m *monitor) run() {
	defer close(m.stopped)
	for {
		m.poll()
		select {
		case <-m.done:
			m.poll()
			return
		case <-time.After(monitorInterval):
		}
	}
}

func (m *monitor) poll() {
	var all sync.WaitGroup
	for _, n := range m.f.nodes {
		if n.alive() {
			all.Go(func() {
				if st, err := n.status(); err == nil {
					m.record(st)
				}
			})
		}
	}
	all.Wait()
}

func (m *monitor) record(st operator.Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.statusCount++
	m.incarnations[st.Instance] = max(m.incarnations[st.Instance], st.Incarnation)
	prefix := fmt.Sprintf("%s/%d ", st.Instance, st.Incarnation)
	for _, d := range st.Documents {
		if previous := m.versions[prefix+d.Path]; d.Version < previous {
			m.violations[fmt.Sprintf("%s%s went back from version %d to %d", prefix, d.Path, previous, d.Version)] = true
		}
		m.versions[prefix+d.Path] = d.Version
	}
	for _, c := range st.Invariants {
		m.checks[prefix+string(c.Name)] = uint64(c.Checks)
		if c.Violations > 0 {
			m.violations[fmt.Sprintf("%sviolated %s", prefix, c.Name)] = true
		}
	}
}

func (m *monitor) stop() {
	select {
	case <-m.done:
	default:
		close(m.done)
	}
	<-m.stopped
}
