//go:build review

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a stand-in of an upstream that runs requests as a function says.
type upstream struct {
	id, service, address string
	zone                 zone
	work                 func(w http.ResponseWriter, r *http.Request, run *run)
	resetTo              func(ip string) bool // callers whose connections are reset for now; may be nil
	onProbe              func(ip string)      // called when a health check is answered; may be nil

	mu   sync.Mutex
	runs map[string]*run // by Request-Id
}

// run is one run of a request at an upstream.
type run struct {
	mu       sync.Mutex
	id       string
	began    time.Time
	ended    time.Time // zero while the upstream is at work
	left     time.Time // when the upstream saw that its caller had closed the connection; zero if it didn't
	body     []byte
	complete bool // the body was received whole
}

func (r *run) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = time.Now()
}

// atWork reports whether the run was under way at a time.
func (r *run) atWork(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !t.Before(r.began) && (r.ended.IsZero() || t.Before(r.ended))
}

// startUpstream starts an upstream and registers it in the store.
func (d *deployment) startUpstream(id, service string, z zone, work func(w http.ResponseWriter, r *http.Request, run *run)) *upstream {
	ln, err := net.Listen("tcp", "127.0.0.200:0")
	if err != nil {
		unable("upstream: %v", err)
	}
	u := &upstream{id: id, service: service, address: ln.Addr().String(), zone: z, work: work, runs: make(map[string]*run)}
	go http.Serve(ln, u)
	d.store.put("servers/"+id, map[string]any{
		"address": u.address, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": service, "version": "v1", "zone": z.name, "capacity": 9},
		"status": map[string]any{"state": "ready", "sequence": 1, "warmup_left": "0ms"},
	})
	return u
}

// ServeHTTP answers health checks and runs requests.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	if u.resetTo != nil && u.resetTo(ip) {
		resetConn(w)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", u.id)
		if u.onProbe != nil {
			u.onProbe(ip)
		}
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if want := r.Header.Get("Target-Instance"); want != "" && want != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := &run{id: r.Header.Get("Request-Id"), began: time.Now()}
	u.mu.Lock()
	u.runs[run.id] = run
	u.mu.Unlock()
	note("%s runs %s", u.id, run.id)
	defer run.end()
	u.work(w, r, run)
}

func (u *upstream) run(id string) *run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// receive reads the body of a request.
func (r *run) receive(in *http.Request) error {
	b, err := io.ReadAll(in.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.body, r.complete = b, err == nil
	return err
}

// answer sends a signed answer with a body.
func answer(w http.ResponseWriter, run *run, body string) {
	sum := sha256.Sum256([]byte(run.id + body))
	w.Header().Set("Response-Signature", hex.EncodeToString(sum[:8]))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	fmt.Fprint(w, body)
}

// resetConn resets the connection of a request.
func resetConn(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
