//go:build linux

package flood

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	headBytes   = 15 << 10 // of a head within the default limits of callers
	pipelined   = 64       // requests that a sender sends before the first is answered
	connections = 60
	// holdTime is how long senders keep their connections open.
	holdTime = 2 * time.Second
)

// shortLines returns distinct header lines with the shortest of names, of n bytes in all.
func shortLines(n int) string {
	var b strings.Builder
	for k := 0; b.Len() < n; k++ {
		fmt.Fprintf(&b, "%x:\r\n", k)
	}
	return b.String()
}

// requestHead returns the start of a request head, which further header lines may follow.
func requestHead(method, path, address string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: flood\r\n", method, path, address)
}

// sender is what each connection of a flood sends.
type sender struct {
	port        string // name
	connections int
	data        []byte // sent once on each connection
}

// senders are the open connections of a flood.
type senders struct {
	conns  []net.Conn
	closed atomic.Bool
	ended  sync.WaitGroup
}

// flood opens the connections of a flood and sends on all of them, and waits for holdTime. The senders
// read nothing. The connections stay open until close is called.
func flood(t *testing.T, p *process, c sender) *senders {
	t.Helper()
	f := &senders{}
	t.Cleanup(f.close)
	for range c.connections {
		conn, err := net.DialTimeout("tcp", p.ports[c.port], 5*time.Second)
		if err != nil {
			continue // refused
		}
		f.conns = append(f.conns, conn)
		f.ended.Go(func() { conn.Write(c.data) })
	}
	if len(f.conns) == 0 {
		t.Fatalf("%s: got no connection", c.port)
	}
	time.Sleep(holdTime)
	return f
}

// close closes all connections.
func (f *senders) close() {
	if f.closed.Swap(true) {
		return
	}
	for _, c := range f.conns {
		c.Close()
	}
	f.ended.Wait()
}

// requireSurvival runs a flood, and fails the test unless the process stays within its machine and answers
// ordinary requests afterwards.
func requireSurvival(t *testing.T, p *process, c sender) {
	t.Helper()
	f := flood(t, p, c)
	p.requireWithinMachine()
	f.close()
	p.requireAnswers(answerTimeout)
	p.requireWithinMachine()
}

// requireDescriptors runs a flood of idle connections, and fails the test unless ordinary requests are
// answered while they stay open.
func requireDescriptors(t *testing.T, p *process, port string) {
	t.Helper()
	p.limitDescriptors(descriptors)
	flood(t, p, sender{port: port, connections: 900})
	p.requireAnswers(answerTimeout)
	p.requireWithinMachine()
	if got := p.openDescriptors(); got > descriptors {
		t.Errorf("got %d descriptors, want %d at most", got, descriptors)
	}
}

// repeat returns n copies of a request.
func repeat(request string, n int) []byte { return bytes.Repeat([]byte(request), n) }
