package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const ms = time.Millisecond

// testLinks returns links between places in two regions, one with two failure domains.
func testLinks() *Links {
	places := map[string]Location{
		"a": {Region: "r", Domain: "a"},
		"b": {Region: "r", Domain: "b"},
		"c": {Region: "s", Domain: "c"},
	}
	return New(places, Latency{Region: 2 * ms, InterRegion: 20 * ms, Caller: 1 * ms}, 1, nil)
}

func TestDelay(t *testing.T) {
	tests := map[string]struct {
		from, to Point
		want     time.Duration
	}{
		"same place":       {At("a"), At("a"), 0},
		"other domain":     {At("a"), At("b"), 2 * ms},
		"other region":     {At("a"), At("c"), 20 * ms},
		"unknown place":    {At("a"), At("platform"), 20 * ms},
		"unknown itself":   {At("platform"), At("platform"), 0},
		"home caller":      {CallerAt("a"), At("a"), 1 * ms},
		"answer to caller": {At("c"), CallerAt("a"), 21 * ms},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := testLinks().Delay(tt.from, tt.to); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// openPipe returns both ends of a connection from a to b over a pipe.
func openPipe(l *Links) (near *conn, far net.Conn) {
	c, far := net.Pipe()
	return newConn(c, l.path(At("a"), At("b")), l.path(At("b"), At("a"))), far
}

// closeBoth closes both ends and waits until the bytes in transit have arrived.
func closeBoth(near *conn, far net.Conn) {
	_ = near.Close()
	_ = far.Close()
	time.Sleep(time.Second)
}

// readArrival reads n bytes and returns them with the time from since to their arrival.
func readArrival(t *testing.T, c net.Conn, n int, since time.Time) ([]byte, time.Duration) {
	t.Helper()
	b := make([]byte, n)
	if _, err := io.ReadFull(c, b); err != nil {
		t.Error(err)
	}
	return b, time.Since(since)
}

func TestStream(t *testing.T) {
	const size = 1 << 20
	tests := map[string]struct {
		fault Fault
		want  time.Duration
	}{
		"in order":  {Fault{}, 2 * ms},
		"delayed":   {Fault{Delay: 5 * ms}, 7 * ms},
		"lost":      {Fault{Loss: 1}, 202 * ms},
		"bandwidth": {Fault{Bandwidth: size}, 1002 * ms},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := testLinks()
				l.Set("a", "b", tt.fault)
				near, far := openPipe(l)
				want := make([]byte, size)
				for i := range want {
					want[i] = byte(i / 1000)
				}
				start := time.Now()
				go func() { _, _ = near.Write(want) }()
				got, took := readArrival(t, far, size, start)
				if !bytes.Equal(got, want) {
					t.Error("got other bytes than were written")
				}
				if took.Round(ms) != tt.want {
					t.Errorf("got %s, want %s", took, tt.want)
				}
				start = time.Now()
				go func() { _, _ = far.Write([]byte("back")) }()
				if _, took := readArrival(t, near, 4, start); took != 2*ms {
					t.Errorf("got %s for the way back, want 2ms", took)
				}
				closeBoth(near, far)
			})
		})
	}
}

func TestCutHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLinks()
		near, far := openPipe(l)
		l.Set("a", "b", Fault{Partition: true})
		start := time.Now()
		if _, err := near.Write([]byte("over")); err != nil {
			t.Errorf("got %v, want a write without an error", err)
		}
		_ = near.Close()
		time.AfterFunc(time.Minute, func() { l.Clear() })
		got, took := readArrival(t, far, 4, start)
		if string(got) != "over" || took != time.Minute {
			t.Errorf("got %q after %s, want it after the cut", got, took)
		}
		if _, err := far.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("got %v, want the end of the stream", err)
		}
		closeBoth(near, far)
	})
}

func TestBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLinks()
		l.Set("a", "b", Fault{Partition: true})
		near, far := openPipe(l)
		_ = near.SetWriteDeadline(time.Now().Add(time.Second))
		n, err := near.Write(make([]byte, 2*delayLineSize))
		if n != delayLineSize || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("got %d bytes and %v, want %d and a deadline", n, err, delayLineSize)
		}
		l.Clear()
		closeBoth(near, far)
	})
}

func TestReadEnds(t *testing.T) {
	tests := map[string]struct {
		trigger func(l *Links, near *conn, far net.Conn)
		want    error
	}{
		"deadline":     {func(_ *Links, near *conn, _ net.Conn) { _ = near.SetDeadline(time.Now().Add(ms)) }, os.ErrDeadlineExceeded},
		"closed":       {func(_ *Links, near *conn, _ net.Conn) { _ = near.Close() }, net.ErrClosed},
		"far end":      {func(_ *Links, _ *conn, far net.Conn) { _ = far.Close() }, io.EOF},
		"broken":       {func(l *Links, _ *conn, _ net.Conn) { l.SetBoth("a", "b", Fault{Refuse: true}) }, syscall.ECONNRESET},
		"past and set": {func(_ *Links, near *conn, far net.Conn) { passAndClearDeadline(near, far) }, io.EOF},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := testLinks()
				near, far := openPipe(l)
				time.AfterFunc(ms, func() { tt.trigger(l, near, far) })
				time.Sleep(ms)
				synctest.Wait()
				if _, err := near.Read(make([]byte, 1)); !errors.Is(err, tt.want) {
					t.Errorf("got %v, want %v", err, tt.want)
				}
				closeBoth(near, far)
			})
		})
	}
}

// passAndClearDeadline sets a deadline in the past, clears it, and closes the far end after a
// second.
func passAndClearDeadline(near, far net.Conn) {
	_ = near.SetReadDeadline(time.Now().Add(-ms))
	_ = near.SetReadDeadline(time.Time{})
	time.AfterFunc(time.Second, func() { _ = far.Close() })
}

func TestAwaitCrossing(t *testing.T) {
	tests := map[string]struct {
		fault Fault
		want  error
		took  time.Duration
	}{
		"open":    {Fault{}, nil, 2 * ms},
		"lost":    {Fault{Loss: 1}, nil, 202 * ms},
		"refused": {Fault{Refuse: true}, syscall.ECONNREFUSED, 0},
		"cut":     {Fault{Partition: true}, context.DeadlineExceeded, time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := testLinks()
				l.Set("a", "b", tt.fault)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				start := time.Now()
				err := awaitCrossing(ctx, l.path(At("a"), At("b")))
				if took := time.Since(start); err != tt.want || took != tt.took {
					t.Errorf("got %v after %s, want %v after %s", err, took, tt.want, tt.took)
				}
			})
		})
	}
}

func TestIsolate(t *testing.T) {
	l := testLinks()
	l.Isolate("a", Fault{Partition: true}, "platform")
	tests := map[string]struct {
		from, to Point
		want     bool
	}{
		"to another":       {At("a"), At("c"), true},
		"from another":     {At("b"), At("a"), true},
		"platform":         {At("platform"), At("a"), true},
		"own caller":       {CallerAt("a"), At("a"), false},
		"caller away":      {CallerAt("a"), At("b"), true},
		"caller of others": {CallerAt("b"), At("a"), true},
		"others":           {At("b"), At("c"), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if f, _ := l.path(tt.from, tt.to).state(); f.Partition != tt.want {
				t.Errorf("got cut %v, want %v", f.Partition, tt.want)
			}
		})
	}
}
