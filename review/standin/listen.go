package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	usualClients = 2450 // of one region, each with one connection that it keeps open
	burstFactor  = 1.7  // the burst of the site: times the usual traffic
	burstTime    = 3 * time.Second
	stableWindow = 4 * time.Second
	thinkTime    = 10 * time.Second // between two requests of a client; four fifths of idle_timeout are 12 s
	ownFDs       = 6000             // descriptors that the clients and upstreams take
	triers       = 12               // clients that open new connections after the burst
)

// listen has many clients of one region come at once, and asks whether the region's instance takes
// new connections after they have left.
func listen(w *world, trouble bool) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < ownFDs {
		return couldNot, fmt.Errorf("the clients need %d descriptors; there are %d, %v", ownFDs, limit.Cur, err)
	}
	for n := range 6 {
		u := &upstream{
			id: fmt.Sprintf("i-%08x", 0x5eed0+n), service: "fixtures-svc", version: "v1", zone: zones[n%len(zones)].name, address: w.ip(100+n) + ":8080",
			slots: 16, queue: 16, work: 5 * time.Millisecond, store: w.store, record: w.record,
		}
		if err := startUpstream(u); err != nil {
			return couldNot, err
		}
	}
	w.store.put("op/config", configuration(3, route("r-read", "/read/", "idempotent", "fixtures-svc"), service("fixtures-svc")))
	for range zones {
		w.addInstance()
	}
	for _, i := range w.instances {
		if err := i.start(); err != nil {
			return couldNot, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(stableWindow)

	first := w.instances[0]
	crowd := &crowd{world: w, zone: first.zone, stop: make(chan struct{})}
	crowd.come(usualClients, 8*time.Second, crowd.stop)
	w.record.result("%d clients have come; answered %d, failed %d", usualClients, crowd.answered.Load(), crowd.failed.Load())
	time.Sleep(4 * time.Second)
	if trouble {
		leave := make(chan struct{})
		extra := int((burstFactor - 1) * usualClients)
		crowd.come(extra, burstTime/2, leave)
		time.Sleep(burstTime / 2)
		close(leave)
		w.record.result("burst of %d more clients over; answered %d, failed %d", extra, crowd.answered.Load(), crowd.failed.Load())
	}
	time.Sleep(stableWindow)

	kept := crowd.answered.Load()
	status := held
	longest := time.Duration(0)
	var silentSince time.Time
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		began := time.Now()
		ready := first.isReady()
		taken, other := tryAll(w, first), tryAll(w, w.instances[1])
		w.record.result("%s: ready %t, answers on new connections: %d of %d tried (%s: %d of %d)", first.name, ready, taken, triers, w.instances[1].name, other, triers)
		switch {
		case taken > 0 || !ready:
			silentSince = time.Time{}
		case silentSince.IsZero():
			silentSince = began
		default:
			longest = max(longest, time.Since(silentSince))
		}
		time.Sleep(time.Until(began.Add(time.Second)))
	}
	if longest > stableWindow {
		status = broken
	}
	w.record.result("answers on connections that were open before: %d", crowd.answered.Load()-kept)
	w.record.result("%s was ready and took no new connection for %.1f s, with %d clients trying", first.name, longest.Seconds(), triers)
	close(crowd.stop)
	return status, nil
}

// tryAll has some clients open a connection each and send a request, and returns how many got an
// answer within a second.
func tryAll(w *world, i *instance) int {
	var answered atomic.Int64
	var all sync.WaitGroup
	for range triers {
		all.Go(func() {
			c, err := net.DialTimeout("tcp", i.front(), time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(time.Second))
			id := nextID()
			status, err := get(c, bufio.NewReader(c), id)
			w.record.add("client sent %s to %s on a new connection and got %d %v", id, i.front(), status, err)
			if err == nil && status > 0 {
				answered.Add(1)
			}
		})
	}
	all.Wait()
	return int(answered.Load())
}

var lastID atomic.Uint64

func nextID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

func get(c net.Conn, reader *bufio.Reader, id string) (int, error) {
	if _, err := fmt.Fprintf(c, "GET /read/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n\r\n", hostName, id); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// crowd is a number of clients of one zone that keep connections open.
type crowd struct {
	world            *world
	zone             string
	stop             chan struct{}
	answered, failed atomic.Int64
}

// come starts a number of clients within a time. They leave when leave is closed.
func (k *crowd) come(n int, within time.Duration, leave chan struct{}) {
	begin := time.Now()
	for i := range n {
		time.Sleep(time.Until(begin.Add(within * time.Duration(i) / time.Duration(n))))
		go k.client(leave)
	}
	time.Sleep(time.Until(begin.Add(within)))
}

func (k *crowd) client(leave chan struct{}) {
	for {
		k.session(leave)
		select {
		case <-leave:
			return
		case <-time.After(time.Second):
		}
	}
}

// session looks up an address, opens a connection and sends requests on it until it fails.
func (k *crowd) session(leave chan struct{}) {
	address, err := k.world.resolve(k.zone)
	if err != nil {
		k.failed.Add(1)
		return
	}
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		k.failed.Add(1)
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		c.SetDeadline(time.Now().Add(2 * time.Second))
		id := nextID()
		status, err := get(c, reader, id)
		k.world.record.add("client sent %s to %s on a kept connection and got %d %v", id, address, status, err)
		if err != nil || status != http.StatusOK {
			k.failed.Add(1)
		} else {
			k.answered.Add(1)
		}
		if err != nil {
			return
		}
		select {
		case <-leave:
			return
		case <-time.After(thinkTime):
		}
	}
}

var lookups = http.Client{Timeout: time.Second}

// resolve asks for the addresses to use, as a client of a zone does, and returns the first.
func (w *world) resolve(zone string) (string, error) {
	list, err := w.addresses(zone)
	if err != nil {
		return "", err
	}
	return list[0], nil
}

// addresses asks up to three instances, those of the zone first, for the addresses to use.
func (w *world) addresses(zone string) ([]string, error) {
	region := ""
	for _, z := range zones {
		if z.name == zone {
			region = z.region
		}
	}
	nearest := slices.Clone(w.instances)
	slices.SortStableFunc(nearest, func(a, b *instance) int { return distance(a, zone) - distance(b, zone) })
	err := fmt.Errorf("no instance")
	for _, i := range nearest[:min(3, len(nearest))] {
		var list []string
		if list, err = i.lookUp(url.Values{"name": {hostName}, "region": {region}, "zone": {zone}}); err == nil {
			return list, nil
		}
	}
	return nil, err
}

func distance(i *instance, zone string) int {
	if i.zone == zone {
		return 0
	}
	return 1
}

func (i *instance) lookUp(query url.Values) ([]string, error) {
	resp, err := lookups.Get("http://" + i.directory() + "/resolve?" + query.Encode())
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || len(body.Addresses) == 0 {
		return nil, fmt.Errorf("no addresses: %d %v", resp.StatusCode, err)
	}
	return body.Addresses, nil
}
