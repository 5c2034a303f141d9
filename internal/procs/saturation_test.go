//go:build linux

package procs

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/rush"
)

// crowd are callers of one instance who wait for a time.
func (n *node) crowd(timeout time.Duration) *rush.Rush {
	return rush.New(n.callers, timeout, func(id string) string {
		return fmt.Sprintf("GET /call/%s/work HTTP/1.1\r\nHost: h\r\nFirlever-Request: %s\r\nFirlever-Timeout: %d\r\n\r\n",
			service, id, timeout.Milliseconds())
	})
}

// An instance on one processor that gets half as much again as that can do answers as much as
// it can, and all of a usual load right afterwards. It takes FIRLEVER_SOAK, as it needs the
// machine for itself.
func TestSoakOverload(t *testing.T) {
	if soak(t) == 0 {
		t.Skip("set FIRLEVER_SOAK")
	}
	t.Setenv("GOMAXPROCS", "1")
	const timeout, probe, second = 500 * time.Millisecond, 1000, time.Second
	f := newFleet(t, options{places: []place{{"a", 1, 4}}, slots: 50, timeout: timeout})
	n := f.in("a")[0]
	pid := n.proc.cmd.Process.Pid
	before, err := rush.ProcessorTime(pid)
	if err != nil {
		t.Fatal(err)
	}
	n.crowd(timeout).Play(probe, 2*second)
	after, err := rush.ProcessorTime(pid)
	if err != nil {
		t.Fatal(err)
	}
	capacity := probe * 2 * second.Seconds() / (after - before).Seconds()
	over, usual := n.crowd(timeout), n.crowd(timeout)
	got := over.Play(1.5*capacity, 4*second)
	t.Logf("%.0f answers a second of %.0f that the processor can do; %s", got, capacity, over)
	if want := capacity / 2; got < want {
		t.Errorf("got %.0f answers a second, want %.0f of %.0f", got, want, capacity)
	}
	usual.Play(capacity/3, 4*second)
	t.Logf("afterwards: %s", usual)
	if got, want := usual.Answered(), usual.All()*9/10; got < want {
		t.Errorf("got %d answers afterwards, want %d", got, want)
	}
}
