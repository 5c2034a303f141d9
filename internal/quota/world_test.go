package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// simulation runs instances with their ledgers in virtual time. Instances have records under
// leases, which others observe with a lag; requests between them take time or get lost; instances
// are killed and partitioned.
type simulation struct {
	rng        *rand.Rand
	now        time.Time
	events     events
	bounds     Bounds
	limit      Limit
	nodes      []*node
	lend       bool // instances request tokens from each other
	equalSizes bool // all machines count as equally large

	served         []time.Time // times of the served requests, in order
	windowStart    int         // index in served of the first request within the window that ends now
	refused        int
	wronglyRefused int // refused although the limit allowed them
	requests       int
}

// node is an instance of a simulation.
type node struct {
	w           *simulation
	member      Member
	ledger      *Ledger
	up          bool
	partitioned bool      // partitioned from the store and all others
	expires     time.Time // expiry of its record's lease
	run         int       // incremented with each start
}

const (
	workspaceName = "w"
	nodeLease     = 5 * time.Second
	viewLag       = 1500 * time.Millisecond // until all connected instances have observed a record
	viewInterval  = 500 * time.Millisecond
)

var simulationStart = time.Unix(1_900_000_000, 0)

// event is an action at a time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newSimulation returns a simulation of a number of instances, a fifth of them five times as large
// as the others.
func newSimulation(seed uint64, size int, limit Limit) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: simulationStart, limit: limit, lend: true,
		bounds: Bounds{Window: 5 * time.Second, OverRatio: 0.1, Slack: 20},
	}
	for i := range size {
		n := &node{w: w, member: Member{
			Name: fmt.Sprint("i", i), Domain: fmt.Sprint("d", i%6), Region: fmt.Sprint("r", i%3), Address: fmt.Sprint(i), Size: 0.2,
		}}
		if i%5 == 0 {
			n.member.Size = 1
		}
		w.nodes = append(w.nodes, n)
	}
	return w
}

// randomDuration returns a duration below most.
func (w *simulation) randomDuration(most time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(most)))
}

func (w *simulation) after(d time.Duration, do func()) {
	heap.Push(&w.events, event{at: w.now.Add(d), do: do})
}

// run runs the events until a time after the start.
func (w *simulation) run(until time.Duration) {
	for len(w.events) > 0 && !w.events[0].at.After(simulationStart.Add(until)) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = simulationStart.Add(until)
}

// start starts an instance, which then observes the others periodically.
func (n *node) start() {
	if n.up {
		return
	}
	n.up = true
	n.run++
	ledger, err := New(Config{Self: n.member.Name, Domain: n.member.Domain, Region: n.member.Region, Bounds: n.w.bounds})
	if err != nil {
		panic(err)
	}
	n.ledger = ledger
	n.ledger.SetLimits(map[string]Limit{workspaceName: n.w.limit})
	run := n.run
	n.listStore(run)
}

// listStore lists the store as soon as it is reachable.
func (n *node) listStore(run int) {
	if !n.up || n.run != run {
		return
	}
	if n.partitioned {
		n.w.after(200*time.Millisecond, func() { n.listStore(run) })
		return
	}
	known := n.w.now.Before(n.expires)
	n.renew(run)
	n.updateView(n.w.members())
	n.ledger.StartFilling(n.w.now, !known)
	n.observe(run)
}

// renew renews the record's lease while the store is reachable.
func (n *node) renew(run int) {
	if !n.up || n.run != run {
		return
	}
	if !n.partitioned {
		n.expires = n.w.now.Add(nodeLease)
	}
	n.w.after(2*time.Second, func() { n.renew(run) })
}

// observe updates the node's view, with a random lag, to the records that exist now.
func (n *node) observe(run int) {
	if !n.up || n.run != run {
		return
	}
	if !n.partitioned {
		seen := n.w.members()
		n.w.after(n.w.randomDuration(viewLag-viewInterval), func() {
			if n.up && n.run == run && !n.partitioned {
				n.updateView(seen)
			}
		})
	}
	n.w.after(viewInterval, func() { n.observe(run) })
}

func (n *node) updateView(members []Member) {
	self := false
	for _, m := range members {
		self = self || m.Name == n.member.Name
	}
	if !self {
		members = append(members, n.w.withSize(n.member))
	}
	n.ledger.SetMembers(n.w.now, members)
}

// members returns the instances whose records exist.
func (w *simulation) members() []Member {
	var list []Member
	for _, n := range w.nodes {
		if w.now.Before(n.expires) {
			list = append(list, w.withSize(n.member))
		}
	}
	return list
}

func (w *simulation) withSize(m Member) Member {
	if w.equalSizes {
		m.Size = 1
	}
	return m
}

func (n *node) kill() { n.up = false }

// request is a request of a caller at an instance.
func (n *node) request() {
	w := n.w
	if !n.up {
		return
	}
	w.requests++
	d := n.ledger.Take(w.now, workspaceName)
	if d.Allowed {
		w.spend()
		return
	}
	if !w.lend || len(d.Holders) == 0 {
		n.refuse()
		return
	}
	n.askNext(d.Holders, d.Want, n.run)
}

// askNext asks one holder after the other.
func (n *node) askNext(list []Member, want Want, run int) {
	w := n.w
	if !n.up || n.run != run {
		return
	}
	if len(list) == 0 {
		n.retry()
		return
	}
	asked, holder := w.now, w.nodeNamed(list[0].Name)
	trip := w.randomDuration(60 * time.Millisecond)
	lost := w.rng.IntN(50) == 0
	answered := false
	w.after(trip, func() {
		if !holder.up || holder.partitioned != n.partitioned || n.partitioned || lost {
			return
		}
		g := holder.ledger.Give(w.now, workspaceName, want)
		w.after(trip, func() {
			if !n.up || n.run != run || n.partitioned || w.now.Sub(asked) > askTimeout {
				return
			}
			answered = true
			n.ledger.Receive(w.now, asked, workspaceName, list[0], want, g)
			if g.Tokens > 0 {
				n.retry()
				return
			}
			n.askNext(list[1:], want, run)
		})
	})
	w.after(askTimeout+time.Millisecond, func() {
		if !answered {
			n.askNext(list[1:], want, run)
		}
	})
}

func (n *node) retry() {
	if n.ledger.Retry(n.w.now, workspaceName).Allowed {
		n.w.spend()
		return
	}
	n.refuse()
}

// refuse counts a refusal, and whether the limit would have allowed the request.
func (n *node) refuse() {
	w := n.w
	w.refused++
	if float64(w.inWindow()+1) <= w.limit.Rate*w.bounds.Window.Seconds()+w.limit.Burst {
		w.wronglyRefused++
	}
}

func (w *simulation) spend() { w.served = append(w.served, w.now) }

// inWindow counts the requests served in the window that ends now.
func (w *simulation) inWindow() int {
	for w.windowStart < len(w.served) && w.now.Sub(w.served[w.windowStart]) >= w.bounds.Window {
		w.windowStart++
	}
	return len(w.served) - w.windowStart
}

// maxInWindow returns the most requests that were served in any window that begins at a time or
// later.
func (w *simulation) maxInWindow(from time.Time) int {
	most, first := 0, 0
	for i, at := range w.served {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for at.Sub(w.served[first]) >= w.bounds.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// bound returns how many requests a window may hold under the current limit.
func (w *simulation) bound() float64 {
	return (w.limit.Rate*w.bounds.Window.Seconds()+w.limit.Burst)*(1+w.bounds.OverRatio) + w.bounds.Slack
}

func (w *simulation) nodeNamed(name string) *node {
	for _, n := range w.nodes {
		if n.member.Name == name {
			return n
		}
	}
	return nil
}

// load sends requests at a rate for a while, distributed over the instances by their weights.
func (w *simulation) load(from, length time.Duration, rate float64, weight func(n *node) float64) {
	sum := 0.0
	for _, n := range w.nodes {
		sum += weight(n)
	}
	for _, n := range w.nodes {
		each := rate * weight(n) / sum
		for at := from; each > 0; {
			at += time.Duration(-math.Log(1-w.rng.Float64()) / each * float64(time.Second))
			if at > from+length {
				break
			}
			w.after(at, n.request)
		}
	}
}

// bySize weights instances by the size of their machines, the default distribution of callers.
func bySize(n *node) float64 { return n.member.Size }
