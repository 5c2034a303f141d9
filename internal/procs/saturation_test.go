//go:build linux

package procs

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/rush"
)

// newOverload returns callers of the node that wait for at most timeout per request.
func (n *node) newOverload(timeout time.Duration) *rush.Callers {
	return rush.New(n.callerAddr, timeout, func(id string) string {
		return fmt.Sprintf("GET /call/%s/work HTTP/1.1\r\nHost: h\r\nFirlever-Request: %s\r\nFirlever-Timeout: %d\r\n\r\n",
			service, id, timeout.Milliseconds())
	})
}

// TestSoakOverload offers an instance on one processor one and a half times its capacity. It
// must keep answering at half its capacity or more, and answer nearly all of a normal load
// right afterwards. The test runs only with FIRLEVER_SOAK, since it needs the machine for
// itself.
func TestSoakOverload(t *testing.T) {
	if soakDuration(t) == 0 {
		t.Skip("set FIRLEVER_SOAK")
	}
	t.Setenv("GOMAXPROCS", "1")
	const timeout = 500 * time.Millisecond
	f := newFleet(t, options{places: []place{{"a", 1, 4}}, slots: 50, timeout: timeout})
	n := f.nodesIn("a")[0]
	got, err := rush.Overload(n.proc.cmd.Process.Pid, 1000, func() *rush.Callers { return n.newOverload(timeout) })
	if err != nil {
		t.Fatal(err)
	}
	t.Log(got)
	if want := got.Capacity / 2; got.AnswerRate < want {
		t.Errorf("got %.0f answers/s, want at least %.0f", got.AnswerRate, want)
	}
	if got, want := got.NormalCallers.Answered(), got.NormalCallers.Completed()*9/10; got < want {
		t.Errorf("got %d answers afterwards, want at least %d", got, want)
	}
}
