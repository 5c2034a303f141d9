package core_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/once"
)

// caller sends requests as the callers of one place.
type caller struct {
	w       *simulation
	id      int
	place   int
	address netip.Addr
	cached  map[string]*lookup
	n       int
}

// lookup is an answer that a caller has cached.
type lookup struct {
	until     time.Duration // in true time
	instances []string
	keys      []string
}

// call is one intended request, with what really happened to it.
type call struct {
	c          *caller
	name       string
	service    string
	key        string
	tries      int
	mayHaveRun bool // an attempt with the current key may have run
	answered   bool
	disrupted  bool // the simulation lost one of its messages, or a target failed it
	over       bool
	attempts   int // attempts sent
	answers    int // attempts that ended
	begun      time.Duration

	runsByKey map[string]int // executions started, by key
	runs      int            // executions started, with any key
	wait      time.Duration  // time limit of an attempt
}

const (
	maxTries   = 6
	callEvery  = 45 * time.Millisecond  // mean time between a caller's requests
	quietEvery = 300 * time.Millisecond // the same after the faults
)

func newCaller(w *simulation, id int) *caller {
	place := id % len(w.places)
	c := &caller{w: w, id: id, place: place, cached: make(map[string]*lookup)}
	c.address = netip.AddrFrom4([4]byte{10, byte(place), 0, byte(1 + id)})
	w.after(warmUp/2+w.upTo(time.Second), c.next)
	return c
}

// next sends requests at random times, sometimes several at once.
func (c *caller) next() {
	w := c.w
	if w.now > loadEnd {
		return
	}
	many := 1
	if w.chance(0.02) {
		many = 8
	}
	for range many {
		service := serviceRead
		if w.chance(0.4) {
			service = serviceWrite
		}
		c.begin(service)
	}
	mean := callEvery
	if w.now > faultsEnd {
		mean = quietEvery
	}
	w.after(time.Duration(w.rng.ExpFloat64()*float64(mean)), c.next)
}

func (c *caller) begin(service string) *call {
	c.n++
	k := &call{
		c: c, service: service, begun: c.w.now, name: fmt.Sprintf("c%d.%d", c.id, c.n),
		runsByKey: make(map[string]int), wait: c.w.between(200*time.Millisecond, 2500*time.Millisecond),
	}
	c.w.calls = append(c.w.calls, k)
	k.start()
	return k
}

// start looks the service up and sends a first attempt, sometimes two at once.
func (k *call) start() {
	l := k.c.lookup(k.service)
	if l == nil || (k.service == serviceWrite && len(l.keys) == 0) {
		k.over = true
		return
	}
	if k.service == serviceWrite {
		k.key = l.keys[len(l.keys)-1]
		l.keys = l.keys[:len(l.keys)-1]
		k.mayHaveRun = false
	}
	k.try(l.instances[0])
	if k.key != "" && k.c.w.chance(0.05) {
		k.try(k.c.w.pickName())
	}
}

func (w *simulation) pickName() string { return w.names[w.rng.IntN(len(w.names))] }

// lookup answers from the cache, or asks any instance that can be reached.
func (c *caller) lookup(service string) *lookup {
	w := c.w
	l := c.cached[service]
	if l != nil && w.now < l.until && (service != serviceWrite || len(l.keys) > 0) {
		return l
	}
	for range 8 {
		p := w.live[w.pickName()]
		if p == nil || p.paused || w.links.cut[[2]int{endpointCallers, p.place}] > 0 {
			continue
		}
		ans, err := p.node.Lookup(p.local(), serviceID(service), c.address, 6)
		if err != nil || len(ans.Instances) == 0 {
			continue
		}
		l = &lookup{until: w.now + lookupLife, keys: ans.Keys}
		for _, in := range ans.Instances {
			l.instances = append(l.instances, in.ID)
		}
		c.cached[service] = l
		return l
	}
	return nil
}

// try sends one attempt to an instance.
func (k *call) try(name string) {
	w := k.c.w
	k.tries++
	k.attempts++
	req := core.Request{
		Service: serviceID(k.service), Method: "GET", Path: "/", Caller: k.c.address,
		Name: fmt.Sprintf("%s.%d", k.name, k.tries), Key: k.key, Replayable: !w.chance(0.1),
	}
	if k.service == serviceWrite {
		req.Method = "POST"
		req.Fingerprint = once.NewFingerprint(req.Method, k.name, nil)
	}
	a := &callerAttempt{k: k, key: k.key, name: req.Name}
	place := w.home[name]
	w.tracef("caller asks %s for %s", name, req.Name)
	w.after(k.wait+time.Second, func() { a.receive(answer{kind: core.Failed, reason: "no answer"}) })
	w.after(w.delay(endpointCallers, place), func() { a.arrive(req, name) })
}

// callerAttempt is one attempt as its caller sees it.
type callerAttempt struct {
	k    *call
	key  string
	name string
	over bool
	x    *exchange
}

func (a *callerAttempt) arrive(req core.Request, name string) {
	w := a.k.c.w
	p := w.live[name]
	if p == nil || w.links.cut[[2]int{endpointCallers, w.home[name]}] > 0 {
		a.receive(answer{kind: core.NotRun, reason: "refused connection"})
		return
	}
	p.deliver(func() {
		a.x = p.receive(core.FromCaller, req, a.k, a.k.wait, func(ans answer) {
			if w.chance(0.02) {
				a.k.disrupted = true
				return // lost on the way back
			}
			w.after(w.delay(p.place, endpointCallers), func() { a.receive(ans) })
		})
	})
}

// receive processes the answer to one attempt and decides what the caller does next.
func (a *callerAttempt) receive(ans answer) {
	if a.over {
		return
	}
	a.over = true
	k, w := a.k, a.k.c.w
	k.answers++
	w.tracef("caller got for %s: %d %s", a.name, ans.kind, ans.reason)
	if a.x != nil && !a.x.done && !a.x.p.dead {
		x := a.x
		w.after(w.delay(endpointCallers, x.p.place), func() { x.p.deliver(x.cancel) })
	}
	w.check.attemptAnswered(a, ans)
	switch {
	case ans.kind == core.Answered:
		k.answered = true
		return
	case k.over || k.answered || w.now > loadEnd:
		return
	case ans.kind == core.Failed && a.key == k.key:
		k.mayHaveRun = true
	}
	k.retry(ans)
}

// retry tries another instance with the same key, or sometimes starts again with a new
// key if nothing can have run.
func (k *call) retry(ans answer) {
	w := k.c.w
	if k.tries >= maxTries {
		k.over = true
		return
	}
	wait := w.between(time.Millisecond, 50*time.Millisecond)
	if ans.retry > 0 {
		wait += min(ans.retry, 500*time.Millisecond)
	}
	w.after(wait, func() {
		switch {
		case k.answered || k.over:
		case k.key != "" && !k.mayHaveRun && k.attempts == k.answers && w.chance(0.4):
			k.start()
		default:
			k.try(w.pickName())
		}
	})
}
