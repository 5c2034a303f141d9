//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	longUploads = 30
	longBytes   = 1 << 20
	longPiece   = 16 << 10
)

// changedUpload has clients upload long bodies through a machine that reaches its upstreams again after
// a cut, while it and another machine are turned away by the store and so lack a new configuration.
func changedUpload(trouble bool) (bool, string) {
	zones := []zone{{"za", "ra"}, {"zb", "rb"}, {"zc", "rc"}}
	d := newDeployment(zones, 1)
	for i := range 3 {
		d.machines = append(d.machines, &machine{name: fmt.Sprintf("edge-zb-%d", i+2), ip: fmt.Sprintf("127.0.0.%d", 30+i), zone: zones[1]})
	}
	d.ports = d.freePorts()
	current = d
	routes := []route{
		{prefix: "/up/", kind: "upload", service: "files", timeout: 6 * time.Second, attempts: 2},
		{prefix: "/q/", kind: "idempotent", service: "files", timeout: 2 * time.Second, attempts: 2},
	}
	d.configure(1, routes...)
	a, c := d.machines[0], d.machines[2]
	var cut atomic.Bool
	probed := make(chan struct{}, 1) // gets a value when an upstream answers a health check of a
	var upstreams []*upstream
	for i := range 6 {
		u := d.startUpstream(fmt.Sprintf("i-00%02d", i), "files", zones[i%3], func(w http.ResponseWriter, r *http.Request, run *run) {
			if run.receive(r) == nil {
				answer(w, run, fmt.Sprintf("%d bytes", len(run.body)))
			}
		})
		u.resetTo = func(ip string) bool { return cut.Load() && ip == a.ip }
		u.onProbe = func(ip string) {
			if ip == a.ip {
				select {
				case probed <- struct{}{}:
				default:
				}
			}
		}
		upstreams = append(upstreams, u)
	}
	d.startAll()
	time.Sleep(4 * time.Second)

	// Clients of a read all the while.
	var readers sync.WaitGroup
	var served, read atomic.Int64
	stop := make(chan struct{})
	for k := range 4 {
		readers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				read.Add(1)
				if getOnce(d.at(a, portFront), "/q/x", fmt.Sprintf("read-%d-%d", k, i)) == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		cut.Store(true)
		note("%s is cut off from all upstreams", a.name)
		awaitServed(&served, 12*time.Second)
		close(stop)
		readers.Wait()
		d.store.turnAway(true, a.name, c.name)
		note("the store turns %s and %s away", a.name, c.name)
	}
	d.configure(2, append(routes, route{prefix: "/new/", kind: "idempotent", service: "files", timeout: 2 * time.Second, attempts: 2})...)
	time.Sleep(300 * time.Millisecond)
	var few sync.WaitGroup
	for i := range 3 {
		few.Go(func() { getOnce(d.at(a, portFront), "/q/x", fmt.Sprintf("few-%d", i)) })
	}
	few.Wait()
	if trouble {
		drain(probed)
		cut.Store(false)
		note("%s reaches the upstreams again", a.name)
		select {
		case <-probed:
		case <-time.After(5 * time.Second):
			unable("%s doesn't check its upstreams", a.name)
		}
		time.Sleep(50 * time.Millisecond)
	} else {
		close(stop)
		readers.Wait()
	}

	var all sync.WaitGroup
	sums := make([][sha256.Size]byte, longUploads)
	results := make([]outcome, longUploads)
	for i := range longUploads {
		body := bytes.Repeat([]byte(fmt.Sprintf("%07d,", i)), longBytes/8)
		for k := 0; k < len(body); k += 64 {
			copy(body[k:], fmt.Sprintf("%08d", k))
		}
		sums[i] = sha256.Sum256(body)
		all.Go(func() { results[i] = uploadChunked(d.at(a, portFront), fmt.Sprintf("upload-%d", i), body) })
	}
	all.Wait()
	changed, good := 0, 0
	for i, o := range results {
		for _, u := range upstreams {
			r := u.run(o.id)
			if r == nil || !r.complete {
				continue
			}
			if sha256.Sum256(r.body) == sums[i] {
				good++
				continue
			}
			changed++
			note("%s ran %s with a body of %d bytes in place of %d; the client got %d, signed %t", u.id, o.id, len(r.body), longBytes, o.status, o.signed)
		}
	}
	return changed > 0, fmt.Sprintf("UNASKED: %d of %d uploads ran with a changed body, %d unchanged", changed, longUploads, good)
}

// awaitServed waits until reads are served again.
func awaitServed(served *atomic.Int64, most time.Duration) {
	end := time.Now().Add(most)
	time.Sleep(2 * time.Second)
	for before := served.Load(); served.Load() < before+10; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			unable("no reads are served through other machines")
		}
	}
	note("reads are served through other machines")
}

func drain(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// getOnce sends a request on a new connection, and returns the status of the answer; 0 if there is none.
func getOnce(address, path, id string) int {
	c, err := connect(address)
	if err != nil {
		return 0
	}
	defer c.conn.Close()
	c.conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprint(c.conn, head(http.MethodGet, path, id, 1500*time.Millisecond, "Connection: close\r\n"))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// uploadChunked sends a body in chunks on a new connection and reads the answer.
func uploadChunked(address, id string, body []byte) outcome {
	o := outcome{id: id}
	c, err := connect(address)
	if err != nil {
		o.err = err
		return o
	}
	defer c.conn.Close()
	const deadline = 6 * time.Second
	c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	go func() {
		var b strings.Builder
		b.WriteString(head(http.MethodPost, "/up/file", id, deadline, "Transfer-Encoding: chunked\r\n"))
		for k := 0; k < len(body); k += longPiece {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", longPiece, body[k:k+longPiece])
			if _, err := c.conn.Write([]byte(b.String())); err != nil {
				return
			}
			b.Reset()
		}
		c.conn.Write([]byte("0\r\n\r\n"))
	}()
	return c.read(http.MethodPost, o)
}
