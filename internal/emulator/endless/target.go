// Package endless is a stand-in of a target in trouble, which sends bytes without end.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// writeSize is how many bytes a target sends at a time, about.
const writeSize = 4 << 10

// Target reads a request from each connection, sends the begin of an answer, and then repeats a text
// until the connection is closed.
type Target struct {
	ln          net.Listener
	begin, part string
	sent        atomic.Int64
	open        atomic.Int64
	work        sync.WaitGroup
}

// New starts a target on loopback.
func New(begin, part string) (*Target, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "endless.New")
	}
	t := &Target{ln: ln, begin: begin, part: strings.Repeat(part, writeSize/len(part)+1)}
	t.work.Go(t.serve)
	return t, nil
}

// Addr returns the address to connect to.
func (t *Target) Addr() string { return t.ln.Addr().String() }

// Sent returns how many bytes were sent so far.
func (t *Target) Sent() int64 { return t.sent.Load() }

// Open returns how many connections are open.
func (t *Target) Open() int64 { return t.open.Load() }

// Close accepts no further connections, and waits until the open ones are closed by their dialers.
func (t *Target) Close() {
	t.ln.Close()
	t.work.Wait()
}

func (t *Target) serve() {
	for {
		c, err := t.ln.Accept()
		if err != nil {
			return
		}
		t.open.Add(1)
		t.work.Go(func() {
			defer t.open.Add(-1)
			defer c.Close()
			t.answer(c)
		})
	}
}

func (t *Target) answer(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	n, err := io.WriteString(c, t.begin)
	for t.sent.Add(int64(n)); err == nil; t.sent.Add(int64(n)) {
		n, err = io.WriteString(c, t.part)
	}
}
