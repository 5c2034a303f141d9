package http1

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const targetBuffer = 4 << 10 // of a connection to a target; the head of an answer mostly fits

// poolConn is a connection to a target. One request at a time uses it.
type poolConn struct {
	conn      net.Conn
	target    string
	read      *bufio.Reader
	used      bool      // a request was answered on it
	answered  time.Time // when the last one was; zero if none was
	until     time.Time // it isn't used later
	onceUntil time.Time // nor later by a non-idempotent request; not after until
}

func newPoolConn(conn net.Conn, target string) *poolConn {
	return &poolConn{conn: conn, target: target, read: bufio.NewReaderSize(conn, targetBuffer)}
}

// sound says whether an idle connection may be used: nothing was read beyond the
// last answer, and nothing has come since, neither bytes nor the end.
func (c *poolConn) sound() bool {
	if c.read.Buffered() > 0 {
		return false
	}
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && quiet
}
