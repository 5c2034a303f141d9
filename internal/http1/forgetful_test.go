package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/tcp"
)

// newStaleTarget starts a target that resets a connection on which a request arrives after
// a longer idle time than the given one.
func newStaleTarget(t *testing.T, maxIdle time.Duration) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveStale(c.(*net.TCPConn), maxIdle)
		}
	}()
	return ln.Addr().String()
}

func serveStale(c *net.TCPConn, maxIdle time.Duration) {
	defer c.Close()
	r := bufio.NewReader(c)
	for answered := time.Now(); ; answered = time.Now() {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if time.Since(answered) > maxIdle {
			c.SetLinger(0)
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: mine\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Targets of a group drop connections after 150 ms idle, but announce a keep-alive time
// of a minute. After the first lost request, non-idempotent requests must not use
// connections to any target of the group that were idle as long. Other groups are not
// affected.
func TestStaleConnections(t *testing.T) {
	var addresses []string
	for range 4 {
		addresses = append(addresses, newStaleTarget(t, 150*time.Millisecond))
	}
	p := NewPool(tcp.NewDialer("").DialContext, nil)
	defer p.Close()
	send := func(target int, group string) error {
		e := newExchange(addresses[target])
		e.Target, e.Group, e.NonIdempotent = fmt.Sprint(target), group, true
		_, err := p.Do(context.Background(), e)
		return err
	}
	lost := 0
	for range 4 {
		for target := range addresses {
			if send(target, "s") != nil {
				lost++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	if lost != 1 {
		t.Errorf("got %d of 16 requests lost, want 1, the first on a connection that was idle", lost)
	}
	if p.idleLimits.allows(time.Now(), "s", time.Now().Add(-190*time.Millisecond)) || !p.idleLimits.allows(time.Now(), "other", time.Now().Add(-time.Second)) {
		t.Error("got the idle limit not applied to its group, or applied to another one")
	}
}

func TestIdleLimits(t *testing.T) {
	now := time.UnixMilli(1_900_000_000_000)
	var f idleLimits
	f.recordStale(now, "s", 300*time.Millisecond)
	f.recordStale(now.Add(time.Second), "s", time.Second) // doesn't raise the limit of the one before
	tests := map[string]struct {
		at   time.Duration
		idle time.Duration
		want bool
	}{
		"rested less":    {2 * time.Second, 200 * time.Millisecond, true},
		"rested as long": {2 * time.Second, 220 * time.Millisecond, false},
		"held on":        {time.Second + idleLimitHold - 1, time.Second, false},
		"over":           {time.Second + idleLimitHold, time.Second, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			at := now.Add(tt.at)
			if got := f.allows(at, "s", at.Add(-tt.idle)); got != tt.want {
				t.Errorf("got allowed: %t, want %t", got, tt.want)
			}
		})
	}
}

// A failure that comes late or by timeout, or on a connection that was idle only briefly,
// doesn't show that the target drops idle connections.
func TestStaleFailure(t *testing.T) {
	tests := map[string]struct {
		err        error
		took, idle time.Duration
		want       bool
	}{
		"at once":           {io.EOF, time.Millisecond, time.Second, true},
		"after some work":   {io.EOF, staleErrorWithin + 1, time.Second, false},
		"hardly rested":     {io.EOF, time.Millisecond, staleMinIdle - 1, false},
		"its time was over": {context.DeadlineExceeded, time.Millisecond, time.Second, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := staleFailure(tt.err, tt.took, tt.idle); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}
