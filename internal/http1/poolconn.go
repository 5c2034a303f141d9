package http1

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/firlever/firlever/internal/boottime"
)

const targetBufferSize = 4 << 10 // read buffer of a connection to a target; most answer heads fit

// poolConn is a connection to a target. It carries one request at a time.
type poolConn struct {
	conn               net.Conn
	limited            *limitedConn // conn, as reader reads it
	budget             *Budget      // of heads of answers
	headTaken          int64        // bytes of budget for a head that no response holds yet
	target             string
	reader             *bufio.Reader
	openedAt           time.Time                   // when the dial of the connection began
	dialTook           time.Duration               // how long the dial took
	reused             bool                        // at least one request was answered on it
	idleSince          time.Time                   // when it was last added to the pool; zero if never
	usableUntil        time.Time                   // not reused from then on
	upload             *uploadReader               // of the exchange; nil if its request is sent without an upload
	uploadFailed       atomic.Pointer[UploadError] // why the caller's body could not be sent whole; nil if it could
	nonIdempotentUntil time.Time                   // the same for non-idempotent requests; at most usableUntil
}

func newPoolConn(conn net.Conn, budget *Budget, target string, openedAt time.Time) *poolConn {
	limited := &limitedConn{conn: conn, remaining: unlimited}
	return &poolConn{
		conn: conn, limited: limited, budget: budget, target: target, openedAt: openedAt, dialTook: boottime.Since(openedAt),
		reader: bufio.NewReaderSize(limited, targetBufferSize),
	}
}

// usable reports whether an idle connection may be reused: nothing was received after
// the last answer, neither data nor the end of the stream.
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
