package targets

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/firlever/firlever/internal/tcp"
)

// Connections to targets and peers fail soon when the other side is silent, from whatever address.
func TestDialFromTimeouts(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, ip := range []string{"", "127.0.0.1"} {
		t.Run("from "+ip, func(t *testing.T) {
			c, err := DialFrom(ip)(context.Background(), "tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			raw, err := c.(syscall.Conn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			options := map[int]int{unix.TCP_USER_TIMEOUT: int(tcp.AckTimeout / time.Millisecond), unix.TCP_KEEPIDLE: int(tcp.ProbeIdle / time.Second)}
			err = raw.Control(func(fd uintptr) {
				for name, want := range options {
					if got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name); err != nil || got != want {
						t.Errorf("option %d: got %d, %v, want %d", name, got, err, want)
					}
				}
			})
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}
