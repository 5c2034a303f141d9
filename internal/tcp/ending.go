package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateClosed is the state of a connection that was reset (TCP_CLOSE of the kernel).
const stateClosed = 7

// ending tells the end of a stream from a reset. The kernel reports a reset once, to whichever system call
// comes first: if that is a write, reads return the end of the stream. It is safe for concurrent use.
type ending struct {
	raw syscall.RawConn

	mu         sync.Mutex
	halfClosed bool  // the writing side was closed, after which the state of a stream that ended is the same; guarded by mu
	writeErr   error // the first of a write; guarded by mu
}

// wrote records the result of a write.
func (e *ending) wrote(err error) {
	if err == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.writeErr == nil {
		e.writeErr = err
	}
}

// closedWrite records that the writing side was closed.
func (e *ending) closedWrite() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.halfClosed = true
}

// check returns the error of a read, or ECONNRESET if it is the end of a stream that was reset.
func (e *ending) check(c net.Conn, err error) error {
	if err != io.EOF || !e.wasReset() {
		return err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)}
}

// wasReset reports whether the stream was reset before its end was received. A reset after that leaves EPIPE.
func (e *ending) wasReset() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.halfClosed {
		return false
	}
	info, err := tcpInfo(e.raw)
	if err != nil { // closed here, which is how net/http ends a connection after a failed write
		return e.writeErr != nil && !errors.Is(e.writeErr, syscall.EPIPE)
	}
	if info.State != stateClosed {
		return false
	}
	if pending := pendingError(e.raw); pending != nil {
		return !errors.Is(pending, syscall.EPIPE)
	}
	return !errors.Is(e.writeErr, syscall.EPIPE)
}

// pendingError returns the error that the kernel has not reported yet; nil if there is none.
func pendingError(raw syscall.RawConn) error {
	var code int
	var failed error
	if err := raw.Control(func(fd uintptr) { code, failed = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) }); err != nil || failed != nil || code == 0 {
		return nil
	}
	return syscall.Errno(code)
}
