//go:build linux

package flood

import (
	"context"
	"fmt"
	"net"
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

// startServe starts an instance of serve beside a stand-in of the platform and one target.
func startServe(t *testing.T) *process {
	t.Helper()
	requireMachine(t)
	documents, err := inproc.New(store.Defaults())
	if err != nil {
		t.Fatal(err)
	}
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	platformLn := listen()
	platformServer := documents.Server()
	go platformServer.Serve(platformLn)
	t.Cleanup(func() { platformServer.Close() })
	cfg := target.Config{
		Service: "shop/orders", Place: "a", Name: "t1", Slots: serveSlots, Queue: serveSlots, Mean: 5 * time.Millisecond, Seed: 1,
	}
	tg, err := target.Start(listen(), cfg, target.NewJournal(nil, time.Now()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tg.Close() })
	for path, body := range map[string]string{
		"/places/a":   fmt.Sprintf("region: coast\ndomain: a\nlimit: %d\n", serveSlots),
		"/blocks/all": "blocks:\n  - {prefix: 127.0.0.0/8, place: a}\n",
		documentService: fmt.Sprintf("class: interactive\ntimeout: 3s\nshift: 1000\nplaces:\n  a:\n    limit: %d\n    targets:\n      - {name: t1, address: %q, slots: %d, connections: 100}\n",
			serveSlots, tg.Addr(), serveSlots),
	} {
		if _, err := docstore.PutDocument(context.Background(), documents, path, 0, []byte(body), "setup"); err != nil {
			t.Fatal(err)
		}
	}
	p := newProcess(t, callersPort, peersPort, operatorsPort)
	p.ordinary[callersPort] = "http://" + p.ports[callersPort] + servePath
	p.ordinary[operatorsPort] = "http://" + p.ports[operatorsPort] + "/ready"
	env := []string{"FIRLEVER_MEMORY=" + strconv.Itoa(memoryMB), "FIRLEVER_DESCRIPTORS=" + strconv.Itoa(descriptors)}
	p.start(env, "serve", "--id", "s1", "--place", "a", "--region", "coast",
		"--callers", p.ports[callersPort], "--peers", p.ports[peersPort], "--operators", p.ports[operatorsPort],
		"--platform", platformLn.Addr().String(), "--bootstrap", settings.HashToken(bootstrap))
	return p
}

// TestServeHeadsExceedMemory guards against a process that runs out of memory by heads of many short lines,
// of which each holds several times its bytes.
func TestServeHeadsExceedMemory(t *testing.T) {
	lines, operators := shortLines(serveHeadBytes), shortLines(operatorsBytes)
	for name, c := range map[string]client{
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

// TestServeBodiesExceedMemory guards against a process that runs out of memory by bodies of requests and
// control calls.
func TestServeBodiesExceedMemory(t *testing.T) {
	body := strings.Repeat("x", 8<<20)
	post := func(path string) []byte {
		return []byte(requestHead("POST", path, "h") + fmt.Sprintf("Content-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", len(body)+1) + body)
	}
	for name, c := range map[string]client{
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
	requireSurvival(t, startServe(t), client{peersPort, connections, []byte(call)})
}

// TestServeIdleConnectionsTakeDescriptors guards against a process whose descriptors are taken by idle
// connections, so that it accepts no other.
func TestServeIdleConnectionsTakeDescriptors(t *testing.T) {
	for _, port := range []string{callersPort, peersPort, operatorsPort} {
		t.Run(port, func(t *testing.T) { requireDescriptors(t, startServe(t), port) })
	}
}
