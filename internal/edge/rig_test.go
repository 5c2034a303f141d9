package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/overload"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

// rig is a node with an emulated store and scripted targets.
type rig struct {
	t     testing.TB
	store *store.Store
	node  *Node
	url   string // of the store, without the scheme

	links   *link.Links     // from the nodes, by name, to "targets"; nil for direct connections
	memory  int             // of the nodes, in MB; 0 if not known
	load    *overload.Meter // of the nodes; with nil, none refuses for overload
	reports int             // that targets have written
	seeds   []string        // of the nodes
}

func newRig(t testing.TB) *rig {
	t.Helper()
	fake := store.New()
	server := httptest.NewServer(fake)
	r := &rig{t: t, store: fake, url: strings.TrimPrefix(server.URL, "http://")}
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		fake.Close()
	})
	return r
}

// start starts the node and waits until it is ready.
func (r *rig) start() {
	r.t.Helper()
	r.launch()
	r.eventually("the node is ready", r.node.Ready)
}

// launch starts the node.
func (r *rig) launch() {
	r.t.Helper()
	r.node = r.startInstance("e1", "n1")
}

// startInstance starts a further node.
func (r *rig) startInstance(name, domain string) *Node {
	r.t.Helper()
	n := r.newInstance(name, domain)
	n.fleet.StartShares(boottime.Now().Add(-time.Minute), false) // as if it had run for a while
	if err := n.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() {
		if !n.stopping.Load() {
			n.Stop()
		}
	})
	return n
}

// newInstance returns a node that isn't started.
func (r *rig) newInstance(name, domain string) *Node {
	r.t.Helper()
	regions := map[string]string{"n1": "north", "s1": "south"}
	n, err := New(Config{
		Log:      log.New(io.Discard),
		Overload: r.load, DialTargets: r.dialer(name),
		LookupTTL: 50 * time.Millisecond,
		Settings: platform.Settings{
			Instance: name, Domain: domain, Region: regions[domain], Regions: regions,
			MemoryMB: r.memory, Seeds: r.seeds,
			Callers: anyPort, Ready: anyPort, Lookups: anyPort, Peers: anyPort, Store: r.url,
			Bounds: platform.Bounds{
				Grace: 3 * time.Second, RetryRatio: 0.2, RetrySlack: 60, ColdFactor: 1.5, ColdSlack: 5,
				LookupTTL: 5 * time.Second, CanaryShare: 0.5,
			},
		},
	})
	if err != nil {
		r.t.Fatal(err)
	}
	return n
}

// dialer returns how a node connects to targets.
func (r *rig) dialer(name string) http1.Dial {
	if r.links == nil {
		return nil
	}
	return r.links.Dialer(link.At(name), func(string) link.Point { return link.At("targets") })
}

const (
	anyPort            = "127.0.0.1:0"
	unreachableAddress = "127.0.0.1:1" // nothing listens there
)

// changeTimeout is the shortest time within which a change must be in force.
const changeTimeout = 2 * time.Second

func (r *rig) eventually(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(changeTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	r.t.Fatalf("not within %s: %s", changeTimeout, what)
}

// routeTimeout is the timeout of the routes of configure.
const routeTimeout = 300 * time.Millisecond

// configure writes a configuration with routes /get/ and /do/ of one service, whose requests time
// out after 300 ms.
func (r *rig) configure(version int, service string) {
	r.configureTimeout(version, service, routeTimeout)
}

// configureTimeout is configure with another timeout, of which the objective is a third.
func (r *rig) configureTimeout(version int, service string, timeout time.Duration) {
	const route = `{"resource_kind":"routes","metadata":{"name":"%s"},"spec":{"host":"h","prefix":"/%s/","route_type":"%s","timeout":"%dms","target_latency":"%dms","max_attempts":2,"service":"%s","session_affinity":true}}`
	ms, objective := timeout.Milliseconds(), timeout.Milliseconds()/3
	r.store.Put(platform.ConfigKey, fmt.Appendf(nil, `{"version":%d,"resources":[%s,%s]}`, version,
		fmt.Sprintf(route, "get", "get", "idempotent", ms, objective, service), fmt.Sprintf(route, "do", "do", "non_idempotent", ms, objective, service)))
}

// configJSON returns a configuration with workspaces and with routes /get/ and /do/, which need a
// key, /open/, which needs none, and /south/, which is limited to a region.
func configJSON(version int, workspaces ...string) string {
	const route = `{"resource_kind":"routes","metadata":{"name":"%s"},"spec":{"host":"h","prefix":"/%s/","route_type":"%s","timeout":"300ms","target_latency":"100ms","max_attempts":2,"service":"s","public":%t,"allowed_regions":[%s]}}`
	list := []string{
		fmt.Sprintf(route, "get", "get", "idempotent", false, ""), fmt.Sprintf(route, "do", "do", "non_idempotent", false, ""),
		fmt.Sprintf(route, "open", "open", "idempotent", true, ""), fmt.Sprintf(route, "south", "south", "idempotent", false, `"south"`),
	}
	list = append(list, workspaces...)
	return fmt.Sprintf(`{"version":%d,"resources":[%s]}`, version, strings.Join(list, ","))
}

// configureWorkspaces writes a configuration with workspaces, and waits until it is in force.
func (r *rig) configureWorkspaces(version int, workspaces ...string) {
	r.t.Helper()
	r.store.Put(platform.ConfigKey, []byte(configJSON(version, workspaces...)))
	r.eventually("the configuration is in force", func() bool {
		return r.node == nil || r.node.rules.Load() != nil && r.node.rules.Load().Config().Version == uint64(version)
	})
}

// workspaceJSON returns a workspace of a configuration, with further fields.
func workspaceJSON(name, keys, more string) string {
	return fmt.Sprintf(`{"resource_kind":"tenants","metadata":{"name":"%s"},"spec":{"api_keys":[%s]%s}}`, name, keys, more)
}

// register writes a target of service s, with a higher sequence than all before.
func (r *rig) register(id, address, domain, state string) {
	r.reports++
	r.report(id, address, domain, state, 0, r.reports)
}

// report writes a report of a target's run. Runs are distinguished by their starts, in Unix
// milliseconds.
func (r *rig) report(id, address, domain, state string, started int64, sequence int) {
	r.store.Put(platform.TargetPrefix+id, fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":"s","version":"v1","zone":%q,"capacity":4},"status":{"state":%q,"sequence":%d,"warmup_left":"0ms"}}`,
		address, started, domain, state, sequence))
}

// addTarget adds a target to the node's fleet without writing it to the store.
func (r *rig) addTarget(address string) {
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	r.node.fleet.Put(boottime.Now(), steer.Target{ID: "other", Sequence: 1, Service: "s", Address: address, Domain: "n1", Slots: 4})
}

// waitUsable waits until the node has a number of usable targets.
func (r *rig) waitUsable(usable int) {
	r.t.Helper()
	r.eventually(fmt.Sprintf("%d usable targets", usable), func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		_, n := r.node.fleet.CountTargets(time.Now(), "s")
		return n == usable
	})
}

// waitKnown waits until the node knows all changes of the store.
func (r *rig) waitKnown() {
	r.t.Helper()
	latest, err := platform.NewStore(r.url).Revision(r.t.Context())
	if err != nil {
		r.t.Fatal(err)
	}
	r.eventually("all changes are known", func() bool { return !latest.After(r.node.mirror.Revision()) })
}

// reply is an answer as the caller receives it.
type reply struct {
	status     int
	body       string
	retryAfter string
	closed     bool // no complete answer was received
	took       time.Duration
}

// send sends a request and reads its answer.
func (r *rig) send(method, path string) reply {
	r.t.Helper()
	return r.sendWith("", method, path)
}

// sendWith sends a request with further header lines.
func (r *rig) sendWith(lines, method, path string) reply {
	r.t.Helper()
	return r.sendTo(r.node, lines, method, path)
}

// sendTo sends a request with further header lines to one of the nodes.
func (r *rig) sendTo(n *Node, lines, method, path string) reply {
	r.t.Helper()
	c, err := net.Dial("tcp", n.cfg.Settings.Callers)
	if err != nil {
		r.t.Fatal(err)
	}
	defer c.Close()
	begin := time.Now()
	c.SetDeadline(begin.Add(5 * time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: q1\r\nDeadline-Ms: 2000\r\nCookie: Affinity-Key=7\r\n%sContent-Length: 2\r\n\r\nhi", method, path, lines)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{closed: true, took: time.Since(begin)}
	}
	b, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode, body: string(b), retryAfter: resp.Header.Get("Retry-After"), closed: err != nil, took: time.Since(begin),
	}
}

// target is a scripted target: each request gets the next behaviour, and the last one is repeated.
// A header may follow a behaviour, as in "good, Name: value".
type target struct {
	address string

	mu         sync.Mutex
	runCount   int           // requests that it began to run; guarded by mu
	seen       []string      // "METHOD URI body target" of each request; guarded by mu
	identities []string      // "workspace key" of each request; guarded by mu
	callerLeft chan struct{} // receives when a caller leaves during "hang"
}

func (r *rig) target(behaviours ...string) *target {
	r.t.Helper()
	t := &target{callerLeft: make(chan struct{}, 10)}
	next := make(chan string, len(behaviours))
	last := behaviours[len(behaviours)-1]
	for _, b := range behaviours {
		next <- b
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b := last
		select {
		case b = <-next:
		default:
		}
		t.answer(w, q, b)
	}))
	r.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	t.address = server.Listener.Addr().String()
	return t
}

func (t *target) answer(w http.ResponseWriter, q *http.Request, behaviour string) {
	body, _ := io.ReadAll(q.Body)
	behaviour, header, _ := strings.Cut(behaviour, ", ")
	if name, value, ok := strings.Cut(header, ": "); ok {
		w.Header().Set(name, value)
	}
	refuses := behaviour == "shed" || behaviour == "replaced"
	t.mu.Lock()
	if !refuses {
		t.runCount++
	}
	t.identities = append(t.identities, fmt.Sprint(q.Header["Tenant"], q.Header["Authorization"]))
	t.seen = append(t.seen, fmt.Sprintf("%s %s %s %s", q.Method, q.RequestURI, body, q.Header.Get("Target-Instance")))
	t.mu.Unlock()
	h := w.Header()
	h.Set("Request-Id", q.Header.Get("Request-Id"))
	switch behaviour {
	case "shed":
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "replaced":
		w.WriteHeader(http.StatusMisdirectedRequest)
	case "error":
		h.Set("Response-Signature", "sig")
		w.WriteHeader(http.StatusInternalServerError)
	case "unsigned":
		io.WriteString(w, "bad")
	case "another's":
		h.Set("Request-Id", "q0")
		h.Set("Response-Signature", "sig")
		io.WriteString(w, "bad")
	case "reset":
		c, _, _ := w.(http.Hijacker).Hijack()
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	case "cut":
		c, _, _ := w.(http.Hijacker).Hijack()
		io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Signature: sig\r\nContent-Length: 10\r\n\r\nbad")
		c.Close()
	case "hang":
		<-q.Context().Done()
		t.callerLeft <- struct{}{}
	default:
		writeOK(w)
	}
}

// writeOK writes a success, with a signature and a load.
func writeOK(w http.ResponseWriter) {
	w.Header().Set("Response-Signature", "sig")
	w.Header().Set("Server-Load", "1,0,4")
	io.WriteString(w, "ok")
}

// lastIdentity returns the workspace and key in the last request.
func (t *target) lastIdentity() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.identities[len(t.identities)-1]
}

// requests returns how many requests reached the target.
func (t *target) requests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.seen)
}

func (t *target) runs() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runCount
}
