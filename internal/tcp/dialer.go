// Package tcp opens connections that detect an unreachable peer: one that lost power,
// is partitioned, or whose connection was dropped by a middlebox. Such a peer sends
// neither an answer nor a reset.
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// AckTimeout is how long sent bytes may stay unacknowledged. It allows for two
	// retransmissions at the kernel's minimum interval of 200 ms and a round trip
	// between regions of 50 ms. A link that loses 3% of its packets loses three in a
	// row once in 37,000.
	AckTimeout = 700 * time.Millisecond
	// ProbeIdle is the idle time before the first keep-alive probe: the minimum that
	// the kernel accepts.
	ProbeIdle = time.Second
	// ProbeInterval is the time between two probes: the minimum that the kernel accepts.
	ProbeInterval = time.Second
	// probeCount is how many probes may be unanswered. The kernel ignores it, as TCP_USER_TIMEOUT is
	// set: a connection fails at the first probe that is due with one unanswered and nothing received
	// for AckTimeout.
	probeCount = 1
	// SilenceTimeout is how long a connection on which nothing is sent survives a silent peer.
	SilenceTimeout = ProbeIdle + ProbeInterval
)

// NewDialer returns a dialer whose connections fail within AckTimeout if the peer
// doesn't acknowledge sent data, and within SilenceTimeout if it is unreachable while an answer
// is awaited. ip is their source address; "" lets the system choose.
func NewDialer(ip string) *Dialer {
	d := net.Dialer{
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, AckTimeout) },
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: ProbeIdle, Interval: ProbeInterval, Count: probeCount},
	}
	if ip != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(ip)}
	}
	return &Dialer{dialer: d}
}

// setUserTimeout sets TCP_USER_TIMEOUT, for which net.Dialer has no field; 0 turns it off.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return errors.Annotate(err, "tcp: access socket")
	}
	return errors.Annotate(failed, "tcp: set TCP_USER_TIMEOUT")
}
