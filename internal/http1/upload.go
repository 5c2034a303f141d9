package http1

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/boottime"
)

// maxWholeBody is the longest body that is received before a request is passed on. Of a longer one
// this much is received, and the rest is passed on as it comes: it can't be sent twice.
const maxWholeBody = 256 << 10

// Upload is the rest of a long body, which is received while it is passed on. It ends when the body
// has ended, breaks off or is no longer wanted.
type Upload struct {
	length int64 // of the whole body; -1 if unknown
	idle   time.Duration
	conn   net.Conn
	once   sync.Once
	done   chan struct{} // closed when the body has ended or is no longer read

	reading sync.Mutex // held while body is read
	body    io.Reader
	left    int64 // bytes that the body may still have
	err     error // of the last read; io.EOF if the body has ended

	mu     sync.Mutex
	closed bool          // guarded by mu
	used   bool          // some of the rest was passed on; guarded by mu
	reader *uploadReader // the last that was opened, and the only one that may read; guarded by mu
}

// UploadError reports that a caller's body broke off, came too slowly or was too long.
type UploadError struct{ Err error }

func (e *UploadError) Error() string { return "http1: body of the request: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UploadError) Unwrap() error { return e.Err }

// PartialBodyError reports that an earlier exchange has taken a part of a request's body, so that the
// request can't be sent whole.
type PartialBodyError struct{}

func (e *PartialBodyError) Error() string {
	return "http1: a part of the request's body was sent in an earlier exchange"
}

var (
	errBodyTooLong  = errors.New("longer than the configuration allows")
	errUploadClosed = errors.New("no longer wanted")
	// errExchangeEnded is no *UploadError, as the body may be whole.
	errExchangeEnded = errors.New("http1: the exchange has ended")
)

func newUpload(r *http.Request, conn net.Conn, limits Limits, received int64) *Upload {
	return &Upload{
		length: r.ContentLength, idle: limits.IdleTimeout, conn: conn, done: make(chan struct{}),
		body: r.Body, left: limits.BodyBytes - received,
	}
}

// uploadReader reads an upload for one exchange. Once it is closed it takes nothing more, so that the
// upload is whole for another exchange if it was not used before.
type uploadReader struct {
	upload *Upload
	closed bool // guarded by upload.mu
}

// open returns a reader of the whole rest, and closes the one before. It returns a *PartialBodyError
// if some of the rest was passed on. It may be called on nil, which has no rest.
func (u *Upload) open() (*uploadReader, error) {
	if u == nil {
		return nil, nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.used {
		return nil, &PartialBodyError{}
	}
	if u.reader != nil {
		u.reader.closed = true
	}
	u.reader = &uploadReader{upload: u}
	return u.reader, nil
}

// Read reads from the upload. Its errors are io.EOF at the end, a *UploadError, or errExchangeEnded if
// the reader is closed.
func (r *uploadReader) Read(b []byte) (int, error) {
	if !r.use() {
		return 0, errExchangeEnded
	}
	return r.upload.read(b)
}

// use marks the upload as used, unless the reader is closed.
func (r *uploadReader) use() bool {
	r.upload.mu.Lock()
	defer r.upload.mu.Unlock()
	if r.closed {
		return false
	}
	r.upload.used = true
	return true
}

// close ends reading. It may be called on nil.
func (r *uploadReader) close() {
	if r == nil {
		return
	}
	r.upload.mu.Lock()
	defer r.upload.mu.Unlock()
	r.closed = true
}

// Used reports whether some of the rest was passed on, so that the request can't be sent again.
func (u *Upload) Used() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.used
}

// read reads from the body. Its errors are io.EOF at the end, or a *UploadError.
func (u *Upload) read(b []byte) (int, error) {
	u.reading.Lock()
	defer u.reading.Unlock()
	if u.err == nil {
		u.err = u.extendDeadline()
	}
	if u.err != nil {
		return 0, u.err
	}
	n, err := u.body.Read(b)
	u.left -= int64(n)
	switch {
	case u.left < 0:
		u.err = &UploadError{Err: errBodyTooLong}
		return 0, u.err
	case err != nil && !errors.Is(err, io.EOF):
		err = &UploadError{Err: err}
	}
	u.err = err
	if errors.Is(err, io.EOF) {
		u.conn.SetReadDeadline(time.Time{})
		u.release()
	}
	return n, err
}

// extendDeadline lets the next bytes come within the idle timeout.
func (u *Upload) extendDeadline() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return &UploadError{Err: errUploadClosed}
	}
	u.conn.SetReadDeadline(boottime.ToRuntime(boottime.Now().Add(u.idle)))
	return nil
}

// stop ends reading. After it the connection is not read any more on the upload's behalf.
func (u *Upload) stop() {
	u.mu.Lock()
	u.closed = true
	u.conn.SetReadDeadline(time.Unix(1, 0))
	u.mu.Unlock()
	u.reading.Lock() // a read in progress ends with its deadline
	defer u.reading.Unlock()
	u.conn.SetReadDeadline(time.Time{})
}

// release lets the connection be read on, or closed.
func (u *Upload) release() { u.once.Do(func() { close(u.done) }) }

// whole reports whether the body was received to its end.
func (u *Upload) whole() bool {
	u.reading.Lock()
	defer u.reading.Unlock()
	return errors.Is(u.err, io.EOF)
}
