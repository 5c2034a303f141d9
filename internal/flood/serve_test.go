//go:build linux

package flood

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/inproc"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/emulator/target"
	"github.com/firlever/firlever/pkg/settings"
)

// operatorsPort is the name of a port of serve, beside callersPort and peersPort.
const operatorsPort = "operators"

const (
	bootstrap       = "flood"
	serveHeadBytes  = 250 << 10 // within the limit on heads of callers and peers
	operatorsBytes  = 31 << 10  // the same for operators
	servePath       = "/call/shop/orders/x"
	handOffPath     = "/hand/shop/orders/x"
	serveSlots      = 8
	documentService = "/teams/shop/services/orders"
)

// startServe starts an instance of serve beside a stand-in of the platform and one target, with further arguments.
func startServe(t *testing.T, args ...string) *process {
	t.Helper()
	requireMachine(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := target.Config{
		Service: "shop/orders", Place: "a", Name: "t1", Slots: serveSlots, Queue: serveSlots, Mean: 5 * time.Millisecond, Seed: 1,
	}
	tg, err := target.Start(ln, cfg, target.NewJournal(nil, time.Now()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tg.Close() })
	return startServeBeside(t, tg.Addr(), serveSlots, args...)
}

// startServeBeside is startServe with a target at an address.
func startServeBeside(t *testing.T, address string, slots int, args ...string) *process {
	t.Helper()
	documents, err := inproc.New(store.Defaults())
	if err != nil {
		t.Fatal(err)
	}
	platformLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	platformServer := documents.Server()
	go platformServer.Serve(platformLn)
	t.Cleanup(func() { platformServer.Close() })
	for path, body := range map[string]string{
		"/places/a":   fmt.Sprintf("region: coast\ndomain: a\nlimit: %d\n", slots),
		"/blocks/all": "blocks:\n  - {prefix: 127.0.0.0/8, place: a}\n",
		documentService: fmt.Sprintf("class: interactive\ntimeout: 3s\nshift: 1000\nplaces:\n  a:\n    limit: %d\n    targets:\n      - {name: t1, address: %q, slots: %d, connections: 2000}\n",
			slots, address, slots),
	} {
		if _, err := docstore.PutDocument(context.Background(), documents, path, 0, []byte(body), "setup"); err != nil {
			t.Fatal(err)
		}
	}
	p := newProcess(t, callersPort, peersPort, operatorsPort)
	p.ordinary[callersPort] = "http://" + p.ports[callersPort] + servePath
	p.ordinary[operatorsPort] = "http://" + p.ports[operatorsPort] + "/ready"
	env := []string{"FIRLEVER_MEMORY=" + strconv.Itoa(memoryMB), "FIRLEVER_DESCRIPTORS=" + strconv.Itoa(descriptors)}
	args = append([]string{
		"serve", "--id", "s1", "--place", "a", "--region", "coast",
		"--callers", p.ports[callersPort], "--peers", p.ports[peersPort], "--operators", p.ports[operatorsPort],
		"--platform", platformLn.Addr().String(), "--bootstrap", settings.HashToken(bootstrap),
	}, args...)
	p.start(env, args...)
	return p
}

// TestServeHeadsExceedMemory guards against a process that runs out of memory by heads of many short lines,
// of which each holds several times its bytes.
func TestServeHeadsExceedMemory(t *testing.T) {
	lines, operators := shortLines(serveHeadBytes), shortLines(operatorsBytes)
	for name, c := range map[string]sender{
		"callers, whole":        {callersPort, connections, []byte(requestHead("GET", servePath, "h") + lines + "\r\n")},
		"callers, unfinished":   {callersPort, connections, []byte(requestHead("GET", servePath, "h") + lines)},
		"peers, whole":          {peersPort, connections, []byte(requestHead("GET", handOffPath, "h") + lines + "\r\n")},
		"peers, unfinished":     {peersPort, connections, []byte(requestHead("GET", handOffPath, "h") + lines)},
		"operators, whole":      {operatorsPort, connections, []byte(requestHead("GET", "/ready", "h") + operators + "\r\n")},
		"operators, unfinished": {operatorsPort, connections, []byte(requestHead("GET", "/ready", "h") + operators)},
	} {
		t.Run(name, func(t *testing.T) { requireSurvival(t, startServe(t), c) })
	}
}

// TestServeOddRequestsExceedMemory guards against a process that runs out of memory by what legal requests hold besides lines:
// names in Connection, cookies, trailers, extensions of chunks, queries, and pipelined requests.
func TestServeOddRequestsExceedMemory(t *testing.T) {
	get := func(path, more string) string { return requestHead("GET", path, "h") + more + "\r\n" }
	chunked := requestHead("POST", servePath, "h") + "Transfer-Encoding: chunked\r\n\r\n"
	query := strings.TrimSuffix(strings.ReplaceAll(shortLines(2*headBytes), ":\r\n", "&"), "&")
	for name, c := range map[string]sender{
		"pipelined":       {callersPort, connections, repeat(get(servePath, ""), pipelined)},
		"Connection":      {callersPort, connections, repeat(get(servePath, "Connection: "+strings.Repeat("a,", headBytes/2)+"\r\n"), pipelined)},
		"cookies":         {callersPort, connections, repeat(get(servePath, "Cookie: "+strings.Repeat("a=b;", headBytes/4)+"\r\n"), pipelined)},
		"trailers":        {callersPort, connections, []byte(chunked + "0\r\n" + shortLines(1<<20))},
		"chunk extension": {callersPort, connections, []byte(chunked + "1;" + strings.Repeat("x", 1<<20))},
		"one-byte chunks": {callersPort, connections, []byte(chunked + strings.Repeat("1\r\nx\r\n", 64<<10))},
		"queries":         {callersPort, 5 * connections, []byte(get("/lookup/shop/orders?"+query, ""))},
		"operators":       {operatorsPort, 5 * connections, []byte(get("/v1/documents?"+query[:headBytes-1024], ""))},
	} {
		t.Run(name, func(t *testing.T) { requireSurvival(t, startServe(t), c) })
	}
}

// TestServeAnswersExceedMemory guards against a process that runs out of memory by answers of targets: heads of many lines, and long
// bodies that are not read.
func TestServeAnswersExceedMemory(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasSuffix(r.URL.Path, "/heads"):
			for name, values := range manyLines {
				w.Header()[name] = values
			}
			time.Sleep(holdTime)
		case strings.HasSuffix(r.URL.Path, "/long"):
			w.Write(make([]byte, longBody))
		}
	}))
	t.Cleanup(func() {
		target.CloseClientConnections()
		target.Close()
	})
	const slots = 1000
	for name, path := range map[string]string{"heads": "/call/shop/orders/heads", "unread bodies": "/call/shop/orders/long"} {
		t.Run(name, func(t *testing.T) {
			requireMachine(t)
			p := startServeBeside(t, target.Listener.Addr().String(), slots)
			requireSurvival(t, p, sender{callersPort, 5 * connections, []byte(requestHead("GET", path, "h") + "\r\n")})
		})
	}
}

// TestServeBodiesExceedMemory guards against a process that runs out of memory by bodies of requests and
// control calls.
func TestServeBodiesExceedMemory(t *testing.T) {
	body := strings.Repeat("x", 8<<20)
	post := func(path string) []byte {
		return []byte(requestHead("POST", path, "h") + fmt.Sprintf("Content-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", len(body)+1) + body)
	}
	for name, c := range map[string]sender{
		"callers":              {callersPort, 5 * connections, post(servePath)},
		"peers, hand-offs":     {peersPort, 5 * connections, post(handOffPath)},
		"peers, control calls": {peersPort, connections, post("/twirp/firlever.wire.Peer/Push")},
		"operators":            {operatorsPort, connections, post("/v1/settings/places/a")},
	} {
		t.Run(name, func(t *testing.T) { requireSurvival(t, startServe(t), c) })
	}
}

// TestServeControlMessagesExceedMemory guards against a process that runs out of memory by control calls of few bytes whose
// messages hold many times that once they are decoded.
func TestServeControlMessagesExceedMemory(t *testing.T) {
	const document = "\x0a\x00" // an empty element of a repeated field
	body := strings.Repeat(document, 1<<20)
	call := requestHead("POST", "/twirp/firlever.wire.Peer/Push", "h") + fmt.Sprintf("Content-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", len(body)) + body
	requireSurvival(t, startServe(t), sender{peersPort, connections, []byte(call)})
}

// TestServeControlAnswersExceedMemory guards against a process that runs out of memory by a peer whose answers to control calls hold many
// times their bytes once they are decoded.
func TestServeControlAnswersExceedMemory(t *testing.T) {
	requireMachine(t)
	versions := []byte(strings.Repeat("\x12\x00", 3<<20)) // empty elements of the versions of a digest
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		w.Write(versions)
	}))
	t.Cleanup(func() {
		peer.CloseClientConnections()
		peer.Close()
	})
	p := startServe(t, "--join", peer.Listener.Addr().String())
	p.requireWithinMachine()
}

// TestServeIdleConnectionsTakeDescriptors guards against a process whose descriptors are taken by idle
// connections, so that it accepts no other.
func TestServeIdleConnectionsTakeDescriptors(t *testing.T) {
	for _, port := range []string{callersPort, peersPort, operatorsPort} {
		t.Run(port, func(t *testing.T) { requireDescriptors(t, startServe(t), port) })
	}
}
