package callers

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// body is a request's body, kept whole if it is short.
type body struct {
	buffered []byte      // read already
	remaining  io.Reader   // nil if start is all of it
	size  int64       // declared length, -1 if it was not declared
	consumed atomic.Bool // something of rest was read: it can't be sent again
	aborted atomic.Bool // the caller broke it off
}

// readBody reads the start of a body.
func readBody(r *http.Request) (*body, error) {
	b := &body{size: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	start, err := io.ReadAll(io.LimitReader(r.Body, maxReplay+1))
	if err != nil {
		return nil, &BadRequestError{Fault: "body: " + err.Error()}
	}
	b.buffered = start
	if len(start) > maxReplay {
		b.remaining = r.Body
		return b, nil
	}
	b.size = int64(len(start))
	return b, nil
}

// attemptBody is the body as one attempt sends it. The transport may go on reading
// after the attempt has failed, so it has to be stopped before another one.
type attemptBody struct {
	body  *body
	buffered *bytes.Reader
	pace  func(n int) error // waits until n more bytes may go out

	mu      sync.Mutex
	stopped bool // guarded by mu
}

func (b *body) forAttempt(pace func(n int) error) *attemptBody {
	return &attemptBody{body: b, buffered: bytes.NewReader(b.buffered), pace: pace}
}

// AttemptOverError ends the body of an attempt that is over.
type AttemptOverError struct{}

func (e *AttemptOverError) Error() string { return "callers: the attempt is over" }

// Read gives the start, then what the caller still sends.
func (p *attemptBody) Read(dst []byte) (int, error) {
	n, err := p.read(dst)
	if perr := p.pace(n); perr != nil {
		return 0, perr
	}
	return n, err
}

func (p *attemptBody) read(dst []byte) (int, error) {
	if n, err := p.buffered.Read(dst); err == nil {
		return n, nil
	}
	if p.body.remaining == nil {
		return 0, io.EOF
	}
	if !p.beginRead() {
		return 0, &AttemptOverError{}
	}
	n, err := p.body.remaining.Read(dst)
	if err != nil && err != io.EOF {
		p.body.aborted.Store(true)
	}
	return n, err
}

// beginRead notes that the rest is used.
func (p *attemptBody) beginRead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.body.consumed.Store(true)
	}
	return !p.stopped
}

// stop lets the attempt begin no other read of the rest.
func (p *attemptBody) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

// Close leaves the caller's body open: another attempt may follow.
func (*attemptBody) Close() error { return nil }
