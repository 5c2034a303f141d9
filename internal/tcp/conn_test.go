package tcp

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A connection to a peer that lives and didn't read for AckTimeout was ended, with the request that was sent on it.
func TestSlowReaderIsNotCutOff(t *testing.T) {
	t.Parallel()
	const size = 8 << 20 // more than the buffers of both sides
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	received := make(chan int64, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		time.Sleep(3 * AckTimeout)
		n, _ := io.CopyN(io.Discard, c, size)
		received <- n
		io.WriteString(c, "ok")
	}()
	c, err := NewDialer("").Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	for range size / (4 << 10) {
		if _, err := c.Write(make([]byte, 4<<10)); err != nil {
			t.Fatalf("got %v from a write, want none", err)
		}
	}
	answer := make([]byte, 2)
	if _, err := io.ReadFull(c, answer); err != nil || string(answer) != "ok" {
		t.Errorf("got %q, %v, want the answer", answer, err)
	}
	if got := <-received; got != size {
		t.Errorf("got %d bytes at the peer, want %d", got, size)
	}
	for end := time.Now().Add(5 * watchInterval); option(t, c, unix.TCP_USER_TIMEOUT) != int(AckTimeout.Milliseconds()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("got the user timeout off after all was acknowledged, want it on again")
		}
	}
}

// A peer is silent if nothing is acknowledged for AckTimeout although something waits, and not if it has no room.
func TestAckMonitor(t *testing.T) {
	type state struct {
		unacked uint32
		probes  uint8
		lastAck time.Duration // how long ago
	}
	waiting := func(k int) time.Duration { return time.Duration(k+1) * watchInterval }
	tests := map[string]struct {
		state func(poll int) state
		want  bool // within two seconds
	}{
		"acknowledges all":         {func(k int) state { return state{0, 0, waiting(k)} }, false},
		"acknowledges a part":      {func(int) state { return state{4, 0, time.Millisecond} }, false},
		"doesn't acknowledge":      {func(k int) state { return state{4, 0, waiting(k)} }, true},
		"no room, probes answered": {func(k int) state { return state{0, uint8(boolToInt(k%8 == 0)), waiting(k % 8)} }, false},
		"no room, no answer":       {func(k int) state { return state{0, 2, waiting(k)} }, true},
		"no room, one answer lost": {func(k int) state { return state{0, 1, waiting(k)} }, false},
		"a probe after a pause":    {func(k int) state { return state{0, uint8(boolToInt(k == 15)), waiting(k)} }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var m ackMonitor
			began := time.Now()
			got := false
			for k := range 20 {
				s := tt.state(k)
				info := &unix.TCPInfo{Unacked: s.unacked, Probes: s.probes, Last_ack_recv: uint32(s.lastAck.Milliseconds())}
				got = got || m.silent(began.Add(time.Duration(k)*watchInterval), info)
			}
			if got != tt.want {
				t.Errorf("got silent: %t, want %t", got, tt.want)
			}
		})
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// The end of a connection whose peer is silent is reported as the kernel does.
func TestSilentPeerTimesOut(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{Conn: near, silent: true}
	near.Close()
	var network net.Error
	for name, call := range map[string]func([]byte) (int, error){"read": c.Read, "write": c.Write} {
		if _, err := call(make([]byte, 1)); !errors.Is(err, syscall.ETIMEDOUT) || !errors.As(err, &network) || !network.Timeout() {
			t.Errorf("%s: got %v, want ETIMEDOUT", name, err)
		}
	}
}
