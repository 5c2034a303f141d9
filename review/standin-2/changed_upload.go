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
	uploadRounds = 3
	longUploads  = 30
	longBytes    = 1 << 20
	longPiece    = 16 << 10
)

// uploadCase is the deployment of changedUpload. a and c are alone in their regions.
type uploadCase struct {
	*deployment

	a, c      *machine
	upstreams []*upstream
	cut       atomic.Bool   // a is cut off from the upstreams
	probed    chan struct{} // gets a value when an upstream answers a health check of a
}

// changedUpload has clients upload long bodies through a machine that reaches its upstreams again after
// a cut, while it and another machine are turned away by the store and so lack a new configuration. It
// does so up to uploadRounds times.
func changedUpload(trouble bool) (bool, string) {
	zones := []zone{{"za", "ra"}, {"zb", "rb"}, {"zc", "rc"}}
	u := &uploadCase{deployment: newDeployment(zones, 1), probed: make(chan struct{}, 1)}
	for i := range 3 {
		u.machines = append(u.machines, &machine{name: fmt.Sprintf("edge-zb-%d", i+2), ip: fmt.Sprintf("127.0.0.%d", 30+i), zone: zones[1]})
	}
	u.ports = u.freePorts()
	current = u.deployment
	u.a, u.c = u.machines[0], u.machines[2]
	u.configureUploads(1)
	for i := range 6 {
		u.addUpstream(i)
	}
	u.startAll()
	changed, good, round := 0, 0, 0
	for round < uploadRounds && changed == 0 {
		round++
		time.Sleep(4 * time.Second) // longer than stable_window
		if trouble {
			u.fallBehind(round)
		}
		u.configureUploads(round + 1)
		time.Sleep(300 * time.Millisecond)
		u.sendFew(round)
		if trouble {
			u.endCut()
		}
		c, g := u.upload(round)
		changed, good = changed+c, good+g
		u.store.turnAway(false, u.a.name, u.c.name)
	}
	return changed > 0, fmt.Sprintf("UNASKED: %d of %d uploads ran with a changed body, %d unchanged, in %d rounds", changed, round*longUploads, good, round)
}

func (u *uploadCase) addUpstream(i int) {
	up := u.startUpstream(fmt.Sprintf("i-00%02d", i), "files", u.zones[i%len(u.zones)], func(w http.ResponseWriter, r *http.Request, run *run) {
		if run.receive(r) == nil {
			answer(w, run, fmt.Sprintf("%d bytes", len(run.body)))
		}
	})
	up.resetTo = func(ip string) bool { return u.cut.Load() && ip == u.a.ip }
	up.onProbe = func(ip string) {
		if ip == u.a.ip {
			select {
			case u.probed <- struct{}{}:
			default:
			}
		}
	}
	u.upstreams = append(u.upstreams, up)
}

// configureUploads writes a version of the configuration, each with one route more.
func (u *uploadCase) configureUploads(version int) {
	routes := []route{
		{prefix: "/up/", kind: "upload", service: "files", timeout: 6 * time.Second, attempts: 2},
		{prefix: "/q/", kind: "idempotent", service: "files", timeout: 2 * time.Second, attempts: 2},
	}
	for v := 2; v <= version; v++ {
		routes = append(routes, route{prefix: fmt.Sprintf("/new-%d/", v), kind: "idempotent", service: "files", timeout: 2 * time.Second, attempts: 2})
	}
	u.configure(version, routes...)
}

// fallBehind cuts a off from the upstreams until its requests are served through other machines, and
// then has the store turn a and c away.
func (u *uploadCase) fallBehind(round int) {
	var readers sync.WaitGroup
	var served atomic.Int64
	stop := make(chan struct{})
	for k := range 4 {
		readers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				if getOnce(u.at(u.a, portFront), "/q/x", fmt.Sprintf("read-%d-%d-%d", round, k, i)) == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	u.cut.Store(true)
	note("%s is cut off from all upstreams", u.a.name)
	awaitServed(&served, 12*time.Second)
	close(stop)
	readers.Wait()
	u.store.turnAway(true, u.a.name, u.c.name)
	note("the store turns %s and %s away", u.a.name, u.c.name)
}

// sendFew sends a few reads to a.
func (u *uploadCase) sendFew(round int) {
	var few sync.WaitGroup
	for i := range 3 {
		few.Go(func() { getOnce(u.at(u.a, portFront), "/q/x", fmt.Sprintf("few-%d-%d", round, i)) })
	}
	few.Wait()
}

// endCut lets a reach the upstreams again, and waits until it has found out.
func (u *uploadCase) endCut() {
	select {
	case <-u.probed:
	default:
	}
	u.cut.Store(false)
	note("%s reaches the upstreams again", u.a.name)
	select {
	case <-u.probed:
	case <-time.After(5 * time.Second):
		unable("%s doesn't check its upstreams", u.a.name)
	}
	time.Sleep(50 * time.Millisecond)
}

// upload sends uploads to a, and returns how many ran with a changed body and how many unchanged.
func (u *uploadCase) upload(round int) (changed, good int) {
	var all sync.WaitGroup
	sums := make([][sha256.Size]byte, longUploads)
	results := make([]outcome, longUploads)
	for i := range longUploads {
		body := bytes.Repeat(fmt.Appendf(nil, "%07d,", i), longBytes/8)
		for k := 0; k < len(body); k += 64 {
			copy(body[k:], fmt.Sprintf("%08d", k))
		}
		sums[i] = sha256.Sum256(body)
		all.Go(func() { results[i] = uploadChunked(u.at(u.a, portFront), fmt.Sprintf("upload-%d-%d", round, i), body) })
	}
	all.Wait()
	for i, o := range results {
		for _, up := range u.upstreams {
			r := up.run(o.id)
			if r == nil || !r.complete {
				continue
			}
			if sha256.Sum256(r.body) == sums[i] {
				good++
				continue
			}
			changed++
			note("%s ran %s with a body of %d bytes in place of %d; the client got %d, signed %t", up.id, o.id, len(r.body), longBytes, o.status, o.signed)
		}
	}
	return changed, good
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
