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
	start []byte      // read already
	rest  io.Reader   // nil if start is all of it
	size  int64       // declared length, -1 if it was not declared
	spent atomic.Bool // something of rest was read: it can't be sent again
	broke atomic.Bool // the caller broke it off
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
	b.start = start
	if len(start) > maxReplay {
		b.rest = r.Body
		return b, nil
	}
	b.size = int64(len(start))
	return b, nil
}

// part is the body as one attempt sends it. The transport may go on reading
// after the attempt has failed, so it has to be stopped before another one.
type part struct {
	body  *body
	start *bytes.Reader
	pace  func(n int) error // waits until n more bytes may go out

	mu      sync.Mutex
	stopped bool // guarded by mu
}

func (b *body) part(pace func(n int) error) *part {
	return &part{body: b, start: bytes.NewReader(b.start), pace: pace}
}

// StoppedError ends the body of an attempt that is over.
type StoppedError struct{}

func (e *StoppedError) Error() string { return "callers: the attempt is over" }

// Read gives the start, then what the caller still sends.
func (p *part) Read(dst []byte) (int, error) {
	n, err := p.read(dst)
	if perr := p.pace(n); perr != nil {
		return 0, perr
	}
	return n, err
}

func (p *part) read(dst []byte) (int, error) {
	if n, err := p.start.Read(dst); err == nil {
		return n, nil
	}
	if p.body.rest == nil {
		return 0, io.EOF
	}
	if !p.take() {
		return 0, &StoppedError{}
	}
	n, err := p.body.rest.Read(dst)
	if err != nil && err != io.EOF {
		p.body.broke.Store(true)
	}
	return n, err
}

// take notes that the rest is used.
func (p *part) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.body.spent.Store(true)
	}
	return !p.stopped
}

// stop lets the attempt begin no other read of the rest.
func (p *part) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

// Close leaves the caller's body open: another attempt may follow.
func (*part) Close() error { return nil }
