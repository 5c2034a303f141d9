//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	uploads        = 6
	uploadBytes    = 200 << 10
	uploadDeadline = 10 * time.Second
	// slowRead is how long a slow upstream works on a request before it reads the body.
	slowRead   = 1500 * time.Millisecond
	uploadWork = 300 * time.Millisecond
)

// slowUpload stops a machine while upstreams are at work on uploads that they read slowly.
func slowUpload(trouble bool) (bool, string) {
	zones := []zone{{"za", "ra"}, {"zb", "rb"}}
	d := newDeployment(zones, 1)
	current = d
	d.configure(1, route{prefix: "/up/", kind: "upload", service: "files", timeout: uploadDeadline, attempts: 2})
	slow := make(chan struct{}) // closed when upstreams begin to read slowly
	var upstreams []*upstream
	for i := range 4 {
		upstreams = append(upstreams, d.startUpstream(fmt.Sprintf("i-00%02d", i), "files", zones[i%2], func(w http.ResponseWriter, r *http.Request, run *run) {
			select {
			case <-slow:
				time.Sleep(slowRead)
			default:
			}
			if err := run.receive(r); err != nil {
				note("upload %s broke off at the upstream: %v", run.id, err)
				return
			}
			time.Sleep(uploadWork)
			answer(w, run, fmt.Sprintf("%d bytes received", len(run.body)))
		}))
	}
	d.startAll()
	m := d.machines[0]
	clients := make([]*client, uploads)
	body := bytes.Repeat([]byte("0123456789abcdef"), uploadBytes/16)
	for i := range clients {
		c, err := connect(d.at(m, portFront))
		if err != nil {
			unable("connect: %v", err)
		}
		clients[i] = c
		if o := c.post("/up/first", fmt.Sprintf("first-%d", i), uploadDeadline, body); o.status != http.StatusOK {
			unable("an upload before the test got %d, %v", o.status, o.err)
		}
	}
	time.Sleep(4 * time.Second) // longer than stable_window
	if trouble {
		close(slow)
		note("upstreams read slowly from now on")
	}
	results := make([]outcome, uploads)
	var all sync.WaitGroup
	for i, c := range clients {
		all.Go(func() { results[i] = c.post("/up/file", fmt.Sprintf("file-%d", i), uploadDeadline, body) })
	}
	time.Sleep(300 * time.Millisecond)
	m.cmd.Process.Signal(syscall.SIGTERM)
	stopped := time.Now()
	note("SIGTERM to %s", m.name)
	all.Wait()
	lost := 0
	for _, o := range results {
		if o.signed && o.status == http.StatusOK {
			continue
		}
		for _, u := range upstreams {
			if r := u.run(o.id); r != nil && r.atWork(o.at) {
				lost++
				note("%s: %s is at work on it when the client gets %d, %.3f s after SIGTERM", o.id, u.id, o.status, o.at.Sub(stopped).Seconds())
			}
		}
	}
	return lost > 0, fmt.Sprintf("LOST: %d of %d uploads were broken off after SIGTERM while their upstream was at work", lost, uploads)
}
