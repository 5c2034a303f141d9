package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	orderTime    = 16 * time.Second         // that the operator gives the rollout, as on the site's days
	freezeAfter  = 10300 * time.Millisecond // from the order
	freezeTime   = 5 * time.Second
	trafficTime  = 92 * time.Second
	rollbackWait = 2 * time.Second // from rolled_back until the new upstreams drain
	drainTime    = 3 * time.Second
	starvedShare = 0.25
)

// kinds of requests of the site, with the service that runs them.
var kinds = []struct {
	name, kind, prefix, service string
	deadline                    time.Duration
}{
	{"fixture-browse", "idempotent", "/browse/", "fixtures-svc", 5 * time.Second},
	{"seat-purchase", "non_idempotent", "/seats/", "checkout-svc", 6 * time.Second},
	{"pass-history", "idempotent", "/history/", "pass-svc", 12 * time.Second},
	{"gate-check", "idempotent", "/gate/", "pass-svc", 2 * time.Second},
}

const perSecond = 50 // requests of each kind

// rollout rolls out a good version of a service. One instance, that which last wrote to the store
// under a condition, stands still for some seconds meanwhile.
func rollout(w *world, trouble bool) (int, error) {
	p, err := newVersions(w)
	if err != nil {
		return couldNot, err
	}
	t := newTraffic(w)
	begin := time.Now()
	go t.run(begin.Add(trafficTime))
	time.Sleep(time.Second)
	if err := p.order("v2", func(*upstream) {}); err != nil {
		return couldNot, err
	}
	ordered := time.Now()
	go p.follow(begin.Add(trafficTime))
	if trouble {
		time.Sleep(time.Until(ordered.Add(freezeAfter)))
		i := w.callerOf(w.store.lastWriter())
		if i == nil {
			return couldNot, fmt.Errorf("no instance has written under a condition")
		}
		w.record.result("SIGSTOP %s, which last wrote under a condition, %.1f s after the order", i.name, time.Since(ordered).Seconds())
		i.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		i.cmd.Process.Signal(syscall.SIGCONT)
		w.record.result("SIGCONT %s", i.name)
	}
	time.Sleep(time.Until(begin.Add(trafficTime)))
	t.wait()
	return t.judge(), nil
}

// newVersions starts a deployment of which one service has upstreams of version v1.
func newVersions(w *world) (*versions, error) {
	p := &versions{world: w, service: kinds[0].service}
	for n := range 10 {
		p.old = append(p.old, p.upstream(n, "v1"))
	}
	others := []*upstream{}
	for k, name := range []string{"checkout-svc", "pass-svc"} {
		for n := range 6 {
			others = append(others, w.newUpstream(100+10*(k+1)+n, name, "v1", zones[n%len(zones)].name))
		}
	}
	for _, u := range append(others, p.old...) {
		if err := startUpstream(u); err != nil {
			return nil, err
		}
	}
	var resources []map[string]any
	for _, k := range kinds {
		resources = append(resources, route("r-"+k.name, k.prefix, k.kind, k.service))
	}
	for _, name := range []string{"fixtures-svc", "checkout-svc", "pass-svc"} {
		resources = append(resources, service(name))
	}
	w.store.put("op/config", configuration(3, resources...))
	for range 10 {
		w.addInstance()
	}
	for _, i := range w.instances {
		if err := i.start(); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(8 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return p, nil
}

// versions are the upstreams of a service before and after a rollout.
type versions struct {
	world    *world
	service  string
	old, new []*upstream
	seen     func(state string) // called when the status has changed; may be nil
}

func (p *versions) upstream(n int, version string) *upstream {
	at := map[string]int{"v1": 100, "v2": 140, "v3": 160}[version] + n
	return p.world.newUpstream(at, p.service, version, zones[n%len(zones)].name)
}

// workTime is how long the work of the kind takes that is rolled out, as on the site. The others take
// less, so that fewer upstreams do.
const workTime = time.Second

// newUpstream returns an upstream that is not started yet.
func (w *world) newUpstream(n int, service, version, zone string) *upstream {
	work := 100 * time.Millisecond
	if service == kinds[0].service {
		work = workTime
	}
	return &upstream{
		id: fmt.Sprintf("i-%08x", 0x5eed00+n), service: service, version: version, zone: zone, address: w.ip(n) + ":8080",
		slots: 9, queue: 9, work: work, store: w.store, record: w.record,
	}
}

// order starts the upstreams of a new version and writes the operator's order.
func (p *versions) order(version string, each func(u *upstream)) error {
	p.new = nil
	for n := range p.old {
		u := p.upstream(n, version)
		u.warm = time.Now().Add(3 * time.Second)
		each(u)
		p.new = append(p.new, u)
		if err := startUpstream(u); err != nil {
			return err
		}
	}
	p.world.record.result("the operator orders %s to go to %s within %s", p.service, version, orderTime)
	p.world.store.put("op/rollout/"+p.service, map[string]any{
		"service": p.service, "target_version": version, "duration": fmt.Sprintf("%dms", orderTime.Milliseconds()),
	})
	return nil
}

// follow does what the platform does as the status of the rollout changes.
func (p *versions) follow(end time.Time) {
	last, began := "", time.Now()
	for time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
		it, from := p.world.store.read("status/rollout/" + p.service)
		var status struct {
			State   string `json:"state"`
			Version string `json:"target_version"`
		}
		if json.Unmarshal(it.Value, &status) != nil || status.Version+" "+status.State == last {
			continue
		}
		last = status.Version + " " + status.State
		p.world.record.result("status %s at %.1f s after the first order, written by %s", last, time.Since(began).Seconds(), p.world.name(from))
		switch status.State {
		case "completed":
			for _, u := range p.old {
				u.stop()
			}
			p.world.record.result("the old upstreams stop")
			p.old = p.new
		case "rolled_back":
			time.AfterFunc(rollbackWait, func() {
				p.world.record.result("the new upstreams drain")
				for _, u := range p.new {
					u.drain(drainTime)
				}
			})
		}
		if p.seen != nil {
			p.seen(last)
		}
	}
}

// traffic is the requests of all kinds.
type traffic struct {
	world *world
	all   sync.WaitGroup

	mu        sync.Mutex
	addresses map[string][]string // by zone
	sent      map[string]int      // by kind
	served    map[string]int
	lateFrom  time.Time      // requests sent later than that are counted separately; zero: none
	late      [2]int         // sent and served
	answers   map[string]int // by kind and status of the last attempt
}

func newTraffic(w *world) *traffic {
	return &traffic{world: w, addresses: make(map[string][]string), sent: make(map[string]int), served: make(map[string]int), answers: make(map[string]int)}
}

func (t *traffic) run(end time.Time) {
	t.all.Add(1)
	defer t.all.Done()
	t.lookUp()
	t.all.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(time.Second)
			t.lookUp()
		}
	})
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for n := 0; time.Now().Before(end); n++ {
		for k := range kinds {
			t.all.Go(func() { t.request(k, zones[(n+k)%len(zones)].name, n) })
		}
		<-ticker.C
	}
}

func (t *traffic) wait() { t.all.Wait() }

// lookUp asks for the addresses of all zones. What was answered before is kept if nothing is.
func (t *traffic) lookUp() {
	for _, z := range zones {
		if list, err := t.world.addresses(z.name); err == nil {
			t.mu.Lock()
			t.addresses[z.name] = list
			t.mu.Unlock()
		}
	}
}

// request sends a request, and once more after a failure that allows it.
func (t *traffic) request(k int, zone string, n int) {
	kind := kinds[k]
	t.mu.Lock()
	list := t.addresses[zone]
	late := !t.lateFrom.IsZero() && time.Now().After(t.lateFrom)
	t.sent[kind.name]++
	if late {
		t.late[0]++
	}
	t.mu.Unlock()
	if len(list) == 0 {
		return
	}
	deadline := time.Now().Add(kind.deadline)
	status := 0
	for attempt := range 2 {
		var after time.Duration
		status, after = t.attempt(list[(n+attempt)%len(list)], k, deadline)
		repeatable := kind.kind == "idempotent" || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if status == http.StatusOK || !repeatable {
			break
		}
		time.Sleep(min(after, time.Until(deadline)/3))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if status == http.StatusOK {
		t.served[kind.name]++
		if late {
			t.late[1]++
		}
	}
	t.answers[fmt.Sprintf("%s %d", kind.name, status)]++
}

// attempt makes an attempt on a new connection. It returns the status, 0 if there is no answer, and
// when to come back.
func (t *traffic) attempt(address string, k int, deadline time.Time) (status int, after time.Duration) {
	kind, id := kinds[k], nextID()
	t.world.record.add("client sends %s (%s) to %s", id, kind.name, address)
	defer func() { t.world.record.add("client gets %d for %s", status, id) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0
	}
	defer c.Close()
	patience := deadline
	if kind.kind == "idempotent" {
		// A client gives up what is not read; here, what is not answered for as long.
		patience = time.Now().Add(max(time.Until(deadline)/3, workTime*3/2))
	}
	c.SetDeadline(patience)
	method, body := http.MethodGet, ""
	if kind.kind != "idempotent" {
		method, body = http.MethodPost, "seat"
	}
	fmt.Fprintf(c, "%s %s2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, kind.prefix, hostName, id, time.Until(deadline).Milliseconds(), len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0
	}
	after, _ = time.ParseDuration(strings.TrimSpace(resp.Header.Get("Retry-After")) + "s")
	return resp.StatusCode, after
}

// judge reports how often each kind was served, and whether one was starved.
func (t *traffic) judge() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, served, status := 0, 0, held
	for _, k := range kinds {
		sent, served = sent+t.sent[k.name], served+t.served[k.name]
	}
	all := float64(served) / float64(max(1, sent))
	for name, n := range t.answers {
		t.world.record.add("last answers: %s: %d", name, n)
	}
	for _, k := range kinds {
		share := float64(t.served[k.name]) / float64(max(1, t.sent[k.name]))
		t.world.record.result("%s: %d sent, %d served, share %.3f; of all %.3f", k.name, t.sent[k.name], t.served[k.name], share, all)
		if share < starvedShare*all {
			t.world.record.result("%s is starved", k.name)
			status = broken
		}
	}
	return status
}
