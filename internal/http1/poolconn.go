package http1

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const targetBufferSize = 4 << 10 // of a connection to a target; the head of an answer mostly fits

// poolConn is a connection to a target. One request at a time uses it.
type poolConn struct {
	conn               net.Conn
	target             string
	reader             *bufio.Reader
	reused             bool      // a request was answered on it
	idleSince          time.Time // when the last one was; zero if none was
	usableUntil        time.Time // it isn't used later
	nonIdempotentUntil time.Time // nor later by a non-idempotent request; not after until
}

func newPoolConn(conn net.Conn, target string) *poolConn {
	return &poolConn{conn: conn, target: target, reader: bufio.NewReaderSize(conn, targetBufferSize)}
}

// usable says whether an idle connection may be used: nothing was read beyond the
// last answer, and nothing has come since, neither bytes nor the end.
func (c *poolConn) usable() bool {
	if c.reader.Buffered() > 0 {
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
