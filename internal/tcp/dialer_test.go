package tcp

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestNewDialer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := NewDialer("127.0.0.1").Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	options := map[string]struct{ level, name, want int }{
		"user timeout":   {unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(AckTimeout.Milliseconds())},
		"keep-alive":     {unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		"probe idle":     {unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(ProbeIdle / time.Second)},
		"probe interval": {unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(ProbeInterval / time.Second)},
		"probe count":    {unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount},
	}
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for name, tt := range options {
		t.Run(name, func(t *testing.T) {
			var got int
			var failed error
			if err := raw.Control(func(fd uintptr) { got, failed = unix.GetsockoptInt(int(fd), tt.level, tt.name) }); err != nil || failed != nil {
				t.Fatal(err, failed)
			}
			if got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
	if got := c.LocalAddr().(*net.TCPAddr).IP.String(); got != "127.0.0.1" {
		t.Errorf("got local address %s, want 127.0.0.1", got)
	}
}

func TestNewDialerRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	if _, err := NewDialer("").Dial("tcp", address); err == nil {
		t.Error("got no error from a port without a listener, want one")
	}
}
