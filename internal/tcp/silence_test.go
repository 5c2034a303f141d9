package tcp

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// option returns a TCP option of a connection.
func option(t *testing.T, c net.Conn, name int) int {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var got int
	var failed error
	if err := raw.Control(func(fd uintptr) { got, failed = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	return got
}

// silence returns after which time the kernel gives up a connection on which nothing is sent, by its
// options. A user timeout decides in place of the count of probes.
func silence(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	userTimeout := time.Duration(option(t, c, unix.TCP_USER_TIMEOUT)) * time.Millisecond
	interval := time.Duration(option(t, c, unix.TCP_KEEPINTVL)) * time.Second
	at := time.Duration(option(t, c, unix.TCP_KEEPIDLE)) * time.Second
	for probes := 0; ; probes, at = probes+1, at+interval {
		byCount := userTimeout == 0 && probes >= option(t, c, unix.TCP_KEEPCNT)
		byTime := userTimeout > 0 && probes > 0 && at >= userTimeout
		if byCount || byTime {
			return at
		}
	}
}

func TestSilence(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dial := func(change func(c *net.TCPConn)) net.Conn {
		c, err := NewDialer("").Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		change(c.(*conn).Conn.(*net.TCPConn))
		return c
	}
	keepAlive := func(c net.KeepAliveConfig) func(*net.TCPConn) {
		return func(conn *net.TCPConn) { conn.SetKeepAliveConfig(c) }
	}
	tests := map[string]struct {
		change func(c *net.TCPConn)
		want   time.Duration
	}{
		"as dialled":          {func(*net.TCPConn) {}, SilenceTimeout},
		"whatever the count":  {keepAlive(net.KeepAliveConfig{Enable: true, Idle: ProbeIdle, Interval: ProbeInterval, Count: 9}), SilenceTimeout},
		"a later first probe": {keepAlive(net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: ProbeInterval, Count: 1}), 16 * time.Second},
		"a longer interval":   {keepAlive(net.KeepAliveConfig{Enable: true, Idle: ProbeIdle, Interval: 5 * time.Second, Count: 1}), 6 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := silence(t, dial(tt.change)); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
	if AckTimeout >= SilenceTimeout {
		t.Errorf("got an acknowledgement timeout of %s, want less than %s: the user timeout would delay the end by probes", AckTimeout, SilenceTimeout)
	}
}
