package callers

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// body is a request's body. A body of up to maxReplay bytes is buffered whole.
type body struct {
	buffered  []byte      // bytes read so far
	remaining io.Reader   // nil if buffered holds the whole body
	size      int64       // declared length, -1 if it was not declared
	consumed  atomic.Bool // some of remaining was read, so the body can't be sent again
	aborted   atomic.Bool // a read of remaining failed, so the caller aborted the body
}

// MaxHeldBody is how many bytes of a request's body are held at most.
const MaxHeldBody = maxReplay + 1

// readBody reads up to maxReplay bytes of a request's body. It returns a *BadRequestError if the
// read fails.
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

// attemptBody is the body as one attempt sends it. The transport may keep reading after the attempt
// has failed, so stop must be called before the next attempt.
type attemptBody struct {
	body     *body
	buffered *bytes.Reader
	pace     func(n int) error // waits until n more bytes may be sent

	mu      sync.Mutex
	stopped bool // guarded by mu
}

// forAttempt returns the whole body for an attempt. It returns a *PartialBodyError if an earlier one has
// taken a part that is not buffered.
func (b *body) forAttempt(pace func(n int) error) (*attemptBody, error) {
	if b.consumed.Load() {
		return nil, &PartialBodyError{}
	}
	return &attemptBody{body: b, buffered: bytes.NewReader(b.buffered), pace: pace}, nil
}

// PartialBodyError reports that an earlier attempt has taken a part of a request's body, so that the request
// can't be sent whole.
type PartialBodyError struct{}

func (e *PartialBodyError) Error() string {
	return "callers: a part of the request's body was sent in an earlier attempt"
}

// AttemptOverError is returned by reads of a body after its attempt has ended.
type AttemptOverError struct{}

func (e *AttemptOverError) Error() string {
	return "callers: request body read after the attempt ended"
}

// Read returns the buffered bytes, then what the caller still sends.
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

// beginRead marks the body as consumed. It reports false if the attempt was stopped.
func (p *attemptBody) beginRead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.body.consumed.Store(true)
	}
	return !p.stopped
}

// stop prevents the attempt from starting another read of the remaining body. It may be called on nil.
func (p *attemptBody) stop() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

// Close leaves the caller's body open for another attempt.
func (*attemptBody) Close() error { return nil }
