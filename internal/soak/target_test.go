//go:build linux

package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/notice"
	"github.com/firlever/firlever/platform"
)

// target emulates a target behind a proxy. It misbehaves at random, and crashes when it executes a
// request for crashPath.
type target struct {
	name, domain string
	cluster      *cluster
	journal      *journal
	work         *work
	server       *httptest.Server
	refusing     atomic.Bool  // it refuses all requests as not executed
	faultPercent atomic.Int64 // percentage of the requests at which it misbehaves
	sequence     atomic.Int64 // of its last report to the store
	notice       atomic.Pointer[notice.Notice]

	mu       sync.Mutex
	rng      *rand.Rand  // guarded by mu
	proxy    *link.Proxy // guarded by mu
	runs     int         // restarts after crashes; guarded by mu
	crashing bool        // until it is back after a crash; guarded by mu
	closed   bool        // removed permanently, does not restart; guarded by mu
}

const (
	crashPath  = "/get/crash"
	healthPath = "/health"
	// crashDelay is how long a target works on a poison request before it crashes, and
	// restartDelay how long it then takes to restart.
	crashDelay   = 10 * time.Millisecond
	restartDelay = 300 * time.Millisecond
)

func newTarget(c *cluster, name, domain string, seed uint64) *target {
	t := &target{name: name, domain: domain, cluster: c, journal: c.journal, work: newWork(seed), rng: rand.New(rand.NewPCG(seed, 1))}
	t.notice.Store(&notice.Notice{})
	t.server = httptest.NewServer(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	t.proxy = link.NewProxyFrom(ln, c.links, c.locate, link.At(domain), t.server.Listener.Addr().String())
	return t
}

// id returns the instance ID of the current run of the target.
func (t *target) id() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%s-%d", t.name, t.runs)
}

func (t *target) address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.proxy.Addr()
}

// crash simulates a crash: connections of the target are closed and nothing listens at its
// address until it restarts there with another ID.
func (t *target) crash() {
	t.mu.Lock()
	alreadyDown := t.crashing || t.closed
	t.crashing = true
	t.mu.Unlock()
	if alreadyDown {
		return
	}
	t.journal.recordCrash()
	id, address := t.id(), t.address()
	t.proxy.Close()
	time.Sleep(restartDelay)
	t.cluster.store.Remove(platform.TargetPrefix + id)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return // the port was taken meanwhile: the target stays down
	}
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		ln.Close()
		return
	}
	t.proxy = link.NewProxyFrom(ln, t.cluster.links, t.cluster.locate, link.At(t.domain), t.server.Listener.Addr().String())
	t.runs++
	t.crashing = false
	t.mu.Unlock()
	t.register(t.cluster.store, "ready", 0)
}

// register writes the entry of the target to the store.
func (t *target) register(s *store.Store, state string, warmup time.Duration) {
	s.Put(platform.TargetPrefix+t.id(), fmt.Appendf(nil,
		`{"address":%q,"info":{"service":"s","version":"v1","zone":%q,"capacity":%d},"status":{"state":%q,"sequence":%d,"warmup_left":"%dms"}}`,
		t.address(), t.domain, slots, state, t.sequence.Add(1), warmup.Milliseconds()))
}

func (t *target) close() {
	t.mu.Lock()
	t.closed = true
	proxy := t.proxy
	t.mu.Unlock()
	proxy.Close()
	t.server.CloseClientConnections()
	t.server.Close()
}

// isClosed reports whether the target has been removed permanently.
func (t *target) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

func (t *target) randN(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.IntN(n)
}

// ServeHTTP answers a request, or injects one of the faults of targets.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set("Instance-Id", t.id())
		return
	}
	id := r.Header.Get("Request-Id")
	if own := t.id(); r.Header.Get("Target-Instance") != own {
		t.journal.recordArrival(id)
		w.Header().Set("Instance-Id", own)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.journal.recordArrival(id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // disconnected before the body was complete
	}
	if t.writeNotice(w.Header(), r) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	misbehaves := int64(t.randN(100)) < t.faultPercent.Load()
	mode := t.randN(7)
	if misbehaves && mode == 0 || t.refusing.Load() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if t.cluster.quiet.Load() && t.isClosed() {
		t.journal.addViolation("%s received %s after its entry was removed from the store", t.id(), id)
	}
	t.journal.recordExecution(id)
	t.cluster.workspaces.checkExecution(id, r.Header, time.Now())
	if r.URL.Path == crashPath {
		time.Sleep(crashDelay)
		go t.crash()
		<-r.Context().Done()
		return
	}
	length, load := t.work.begin(objectOf(r))
	time.Sleep(length)
	t.work.end()
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Response-Signature", "sig")
	h.Set("Server-Load", load)
	if !misbehaves {
		io.WriteString(w, answerTo(id, body))
		return
	}
	switch mode {
	case 1:
		w.WriteHeader(http.StatusInternalServerError)
	case 2:
		time.Sleep(routeTimeout)
		io.WriteString(w, answerTo(id, body))
	case 6:
		h.Del("Response-Signature")
		io.WriteString(w, "not what "+id+" asked for")
	default:
		t.writeBrokenAnswer(w, mode, id, answerTo(id, body))
	}
}

// objectOf returns the object of a request; "" if it has none.
func objectOf(r *http.Request) string {
	c, err := r.Cookie("Affinity-Key")
	if err != nil {
		return ""
	}
	return c.Value
}

// writeBrokenAnswer writes to the connection an answer that breaks the protocol, by mode.
func (t *target) writeBrokenAnswer(w http.ResponseWriter, mode int, id, body string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig\r\nContent-Length: %d\r\n\r\n%s"
	switch mode {
	case 3: // connection reset without an answer
		conn.(*net.TCPConn).SetLinger(0)
	case 4: // body shorter than Content-Length
		fmt.Fprintf(conn, head, id, len(body)+10, body)
	case 5: // surplus answers, at once and later
		fmt.Fprintf(conn, head, id, len(body), body)
		fmt.Fprintf(conn, head, id, 5, "stray")
		time.Sleep(5 * time.Millisecond)
		fmt.Fprintf(conn, head, id, 5, "stray")
	}
}

func answerTo(id string, body []byte) string { return "answer to " + id + " " + string(body) }
