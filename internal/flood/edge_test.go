//go:build linux

package flood

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/platform"
)

// Names of the ports of edge.
const (
	callersPort  = "callers"
	lookupsPort  = "look-ups"
	readyPort    = "ready"
	metricsPort  = "metrics"
	peersPort    = "peers"
	handOffsPort = "hand-offs"
)

// slowPath and fastPath are the paths of requests that take slowWork and no time at a target.
const (
	slowPath  = "/shop/slow"
	fastPath  = "/shop/fast"
	headsPath = "/shop/heads" // answered after slowWork with a head of many lines
	longPath  = "/shop/long"  // answered at once with longBody bytes
	longBody  = 4 << 20
	slowWork  = 3 * time.Second
)

// noSeed is the address of a seed that nothing listens at.
const noSeed = "127.0.0.1:1"

// edgeConfig is what is special about an instance.
type edgeConfig struct {
	store       func(http.Handler) http.Handler // wraps the stand-in of the store; nil for no wrapper
	seed        string                          // address
	descriptors int                             // of its settings
}

// startEdge starts an instance of edge beside a stand-in of the store and one target.
func startEdge(t *testing.T) *process {
	return startEdgeBeside(t, edgeConfig{seed: noSeed, descriptors: descriptors})
}

// startEdgeBeside is startEdge with a configuration.
func startEdgeBeside(t *testing.T, cfg edgeConfig) *process {
	t.Helper()
	requireMachine(t)
	s := store.New()
	var handler http.Handler = s
	if cfg.store != nil {
		handler = cfg.store(s)
	}
	storeServer := httptest.NewServer(handler)
	t.Cleanup(func() {
		storeServer.CloseClientConnections()
		storeServer.Close()
		s.Close()
	})
	target := httptest.NewServer(http.HandlerFunc(serveTarget))
	t.Cleanup(func() {
		target.CloseClientConnections()
		target.Close()
	})
	s.Put(platform.ConfigKey, []byte(`{"version":1,"resources":[
		{"resource_kind":"routes","metadata":{"name":"shop"},"spec":{"host":"h","prefix":"/shop/","route_type":"idempotent","timeout":"10s","target_latency":"5s","max_attempts":2,"priority":1,"service":"s"}},
		{"resource_kind":"services","metadata":{"name":"s"},"spec":{"warmup":"10ms","cold_per_s":100000,"health_check_path":"/health"}}]}`))
	s.Put(platform.TargetPrefix+targetID, fmt.Appendf(nil,
		`{"address":%q,"info":{"service":"s","version":"v1","zone":"n1","capacity":10000},"status":{"state":"ready","sequence":1,"warmup_left":"0ms"}}`,
		target.Listener.Addr().String()))
	p := newProcess(t, callersPort, lookupsPort, readyPort, metricsPort, peersPort, handOffsPort)
	settings := filepath.Join(t.TempDir(), "boot.yaml")
	text := fmt.Sprintf(`{node: e1, ip: %q, zone: n1, region: north, zones: {n1: north},
listen: {front: %q, ready: %q, directory: %q, control: %q}, internal_ports: [%d, %d], seeds: [%q], platform: {address: %q, ttl_min: 500ms},
limits: {memory_mb: %d, max_fds: %d},
bounds: {grace: 3s, ttl_max: 1s, retry_budget_ratio: 0.2, retry_budget_slack: 50, warmup_overage: 1.5, warmup_slack: 5}}`,
		p.ip, p.ports[callersPort], p.ports[readyPort], p.ports[lookupsPort], p.ports[peersPort],
		portOf(t, p.ports[handOffsPort])-1, portOf(t, p.ports[handOffsPort]), cfg.seed, storeServer.Listener.Addr(), memoryMB, cfg.descriptors)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p.store = s
	p.ordinary[callersPort] = "http://" + p.ports[callersPort] + fastPath
	p.ordinary[lookupsPort] = "http://" + p.ports[lookupsPort] + platform.LookupPath + "?name=h&region=north&zone=n1"
	p.ordinary[readyPort] = "http://" + p.ports[readyPort] + platform.ReadyPath
	p.start(nil, "edge", "--settings", settings, "--metrics", strconv.Itoa(portOf(t, p.ports[metricsPort])))
	return p
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return port
}

const targetID = "t1"

// manyLines is a head of an answer within the limits on heads of targets.
var manyLines = func() http.Header {
	h := make(http.Header)
	for size, k := 0, 0; size < 4*headBytes; k++ {
		name := "X" + strconv.FormatInt(int64(k), 16)
		h[name] = []string{""}
		size += len(name) + len(": \r\n")
	}
	return h
}()

// serveTarget answers as a target.
func serveTarget(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == slowPath || r.URL.Path == headsPath {
		time.Sleep(slowWork)
	}
	if r.URL.Path == headsPath {
		for name, values := range manyLines {
			w.Header()[name] = values
		}
	}
	w.Header().Set("Instance-Id", targetID)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "signature")
	if r.URL.Path == longPath {
		w.Write(make([]byte, longBody))
		return
	}
	fmt.Fprint(w, "ok")
}

// TestEdgeHeadsExceedMemory guards against a process that runs out of memory by heads of many short lines,
// of which each holds several times its bytes.
func TestEdgeHeadsExceedMemory(t *testing.T) {
	lines, long := shortLines(headBytes), shortLines(1<<20)
	whole := func(path, more string) string { return requestHead("GET", path, "h") + more + "\r\n" }
	unfinished := func(path, more string) string { return requestHead("GET", path, "h") + more }
	for name, c := range map[string]sender{
		"pipelined":                {callersPort, connections, repeat(whole(slowPath, lines), pipelined)},
		"pipelined, without route": {callersPort, connections, repeat(whole("/none", lines), pipelined)},
		"unfinished":               {callersPort, 10 * connections, []byte(unfinished(slowPath, lines))},
		"hand-offs, pipelined":     {handOffsPort, connections, repeat(whole(slowPath, lines), pipelined)},
		"hand-offs, unfinished":    {handOffsPort, 10 * connections, []byte(unfinished(slowPath, lines))},
		"look-ups, whole":          {lookupsPort, connections, []byte(whole(platform.LookupPath, long))},
		"look-ups, unfinished":     {lookupsPort, connections, []byte(unfinished(platform.LookupPath, long))},
		"ready, whole":             {readyPort, connections, []byte(whole(platform.ReadyPath, long))},
		"ready, unfinished":        {readyPort, connections, []byte(unfinished(platform.ReadyPath, long))},
		"metrics, unfinished":      {metricsPort, connections, []byte(unfinished("/metrics", long))},
		"peers, unfinished":        {peersPort, connections, []byte(unfinished("/loads", long))},
	} {
		t.Run(name, func(t *testing.T) { requireSurvival(t, startEdge(t), c) })
	}
}

// TestEdgePipelinedRequestsExceedMemory guards against a process that runs out of memory by many requests
// that wait at once, or by what their answers hold.
func TestEdgePipelinedRequestsExceedMemory(t *testing.T) {
	for name, path := range map[string]string{"waiting": slowPath, "heads of answers": headsPath} {
		t.Run(name, func(t *testing.T) {
			p := startEdge(t)
			f := flood(t, p, sender{callersPort, connections, repeat(requestHead("GET", path, "h")+"\r\n", pipelined)})
			time.Sleep(slowWork)
			p.requireWithinMachine()
			f.close()
			p.requireAnswers(answerTimeout)
			p.requireWithinMachine()
		})
	}
}

// TestEdgeConnectionsExceedMemory guards against a process that runs out of memory by many connections with an ordinary
// request each, where descriptors don't bound them.
func TestEdgeConnectionsExceedMemory(t *testing.T) {
	p := startEdgeBeside(t, edgeConfig{seed: noSeed, descriptors: 20_000})
	f := flood(t, p, sender{callersPort, 100 * connections, []byte(requestHead("GET", slowPath, "h") + "\r\n")})
	time.Sleep(slowWork)
	p.requireWithinMachine()
	f.close()
	p.requireAnswers(answerTimeout)
	p.requireWithinMachine()
}

// TestEdgeUnreadAnswersExceedMemory guards against a process that runs out of memory by long answers that are not read.
func TestEdgeUnreadAnswersExceedMemory(t *testing.T) {
	request := requestHead("GET", longPath, "h") + "\r\n"
	for name, c := range map[string]sender{
		"one each":  {callersPort, 5 * connections, []byte(request)},
		"pipelined": {callersPort, connections, repeat(request, pipelined)},
	} {
		t.Run(name, func(t *testing.T) { requireSurvival(t, startEdge(t), c) })
	}
}

// TestEdgeBodiesExceedMemory guards against a process that runs out of memory by bodies of requests, which
// may come in chunks of one byte, and by the fields of long queries.
func TestEdgeBodiesExceedMemory(t *testing.T) {
	chunks := strings.Repeat("1\r\nx\r\n", 64<<10)
	body := strings.Repeat("x", 8<<20)
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }
	query := strings.TrimSuffix(strings.ReplaceAll(shortLines(headBytes*3), ":\r\n", "&"), "&")
	for name, c := range map[string]sender{
		"callers":                  {callersPort, connections, []byte(requestHead("POST", slowPath, "h") + length(len(body)) + body)},
		"callers, chunks":          {callersPort, connections, []byte(requestHead("POST", slowPath, "h") + "Transfer-Encoding: chunked\r\n\r\n" + chunks)},
		"hand-offs":                {handOffsPort, connections, []byte(requestHead("POST", slowPath, "h") + length(len(body)) + body)},
		"peers":                    {peersPort, 10 * connections, []byte(requestHead("POST", "/crashes", "h") + length(len(body)) + body)},
		"look-ups, queries":        {lookupsPort, 5 * connections, []byte(requestHead("GET", platform.LookupPath+"?"+query, "h") + "\r\n")},
		"callers, trailers":        {callersPort, connections, []byte(requestHead("POST", slowPath, "h") + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + shortLines(1<<20))},
		"callers, Connection":      {callersPort, connections, repeat(requestHead("GET", slowPath, "h")+"Connection: "+strings.Repeat("a,", headBytes/2)+"\r\n\r\n", pipelined)},
		"callers, cookies":         {callersPort, connections, repeat(requestHead("GET", slowPath, "h")+"Cookie: "+strings.Repeat("a=b;", headBytes/4)+"\r\n\r\n", pipelined)},
		"callers, chunk extension": {callersPort, connections, []byte(requestHead("POST", slowPath, "h") + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 1<<20))},
	} {
		t.Run(name, func(t *testing.T) { requireSurvival(t, startEdge(t), c) })
	}
}

// TestEdgeAnswersOfStoreAndPeersExceedMemory guards against a process that runs out of memory by answers of the store or
// of a peer, of which each element holds many times its bytes.
func TestEdgeAnswersOfStoreAndPeersExceedMemory(t *testing.T) {
	elements := []byte(strings.TrimSuffix(strings.Repeat("{},", 5<<20), ","))
	answer := func(w http.ResponseWriter, start string) {
		io.WriteString(w, start)
		w.Write(elements)
		io.WriteString(w, "]}")
	}
	t.Run("watch", func(t *testing.T) {
		var hostile atomic.Bool
		p := startEdgeBeside(t, edgeConfig{seed: noSeed, descriptors: descriptors, store: func(s http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if hostile.Load() && r.URL.Path == "/kv-watch" {
					answer(w, `{"as_of":1000,"events":[`)
					return
				}
				s.ServeHTTP(w, r)
			})
		}})
		hostile.Store(true)
		p.store.Put("x", nil) // ends the watch that waits
		time.Sleep(holdTime)
		p.requireWithinMachine()
		hostile.Store(false)
		p.requireAnswers(answerTimeout)
	})
	t.Run("relay", func(t *testing.T) {
		seed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			answer(w, `{"events":[`)
		}))
		t.Cleanup(func() {
			seed.CloseClientConnections()
			seed.Close()
		})
		p := startEdgeBeside(t, edgeConfig{seed: seed.Listener.Addr().String(), descriptors: descriptors})
		time.Sleep(holdTime)
		p.requireWithinMachine()
	})
}

// TestEdgeIdleConnectionsTakeDescriptors guards against a process whose descriptors are taken by idle
// connections, so that it accepts no other.
func TestEdgeIdleConnectionsTakeDescriptors(t *testing.T) {
	for _, port := range []string{callersPort, lookupsPort, readyPort, metricsPort, peersPort, handOffsPort} {
		t.Run(port, func(t *testing.T) { requireDescriptors(t, startEdge(t), port) })
	}
}
