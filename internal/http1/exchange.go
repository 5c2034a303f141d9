package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/boottime"
)

const (
	// maxBuffered is how many bytes of an answer are read before any are passed on. An
	// answer that is truncated before that can be replaced by another target's.
	maxBuffered = 1 << 20
	// minBuffered is the same where the budget is used up.
	minBuffered = 16 << 10
	// maxSyncWrite is the size up to which a request is written before the answer is
	// read. A longer one is written concurrently, as a target may answer before it
	// has read the body.
	maxSyncWrite = 4 << 10
	maxStray     = 4 // answers to other requests that are skipped in one exchange
	// maxAnswerHead bounds the head of an answer with all interim ones before it, and maxStrayBody the body
	// of an answer that is skipped: a target in trouble may send bytes without end.
	maxAnswerHead = 64 << 10
	maxStrayBody  = 1 << 20
)

// Exchange is one attempt to send a request to a target.
type Exchange struct {
	Request       *Request
	Header        http.Header // header sent with this attempt
	Target        string      // ID, the key of pooled connections
	Group         string      // targets that presumably keep idle connections equally long
	Address       string
	NonIdempotent bool                                 // the request must not run twice
	IsAnswer      func(status int, h http.Header) bool // reports whether an answer belongs to this request
	KeepConn      func(resp *Response) bool            // reports whether the connection may be reused after an answer
	Deadline      time.Time                            // deadline of the attempt
	AwaitContinue bool                                 // a long body is sent only when the target asks for it
	ShouldSend    func() bool                          // reports whether to send the request; called once connected; nil: always
}

// UnwantedError reports that a request was not sent because it was no longer wanted
// when the connection was established.
type UnwantedError struct{}

func (e *UnwantedError) Error() string { return "request no longer wanted" }

// NotSentError reports that no byte of a request, or none of its body, was sent: it can't have run.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return "http1: request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// NoAnswerError reports that a request was sent, at least in part, and that no complete
// answer was received: it may have run.
type NoAnswerError struct {
	Err    error
	Reused bool // an earlier request was answered on the connection
}

func (e *NoAnswerError) Error() string { return "http1: no complete answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// StrayError reports that only answers to other requests were received.
type StrayError struct{ Count int }

func (e *StrayError) Error() string {
	return fmt.Sprintf("received %d answers to other requests", e.Count)
}

// EndlessError reports that a target sent more bytes than an answer has where none was to be passed on.
type EndlessError struct{ Limit int64 }

func (e *EndlessError) Error() string {
	return fmt.Sprintf("more than %d bytes that are no answer", e.Limit)
}

// Do sends the request and reads the answer. Its errors distinguish a request that was
// not sent, a *NotSentError, from one that may have run. If Rest of the answer is set,
// it must be closed. Do returns early when ctx ends.
func (p *Pool) Do(ctx context.Context, e *Exchange) (*Response, error) {
	ctx, cancel := context.WithDeadline(ctx, boottime.ToRuntime(e.Deadline))
	defer cancel()
	upload, err := e.Request.Rest.open()
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	c, err := p.get(ctx, e)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	c.upload = upload
	if e.ShouldSend != nil && !e.ShouldSend() {
		c.conn.Close()
		return nil, &NotSentError{Err: &UnwantedError{}}
	}
	c.conn.SetDeadline(boottime.ToRuntime(e.Deadline))
	p.trackPending(c, e.Deadline)
	defer p.untrackPending(c)
	stop := context.AfterFunc(ctx, func() { c.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	begin := boottime.Now()
	sent, early, err := c.begin(ctx, e)
	if err != nil {
		c.dropHead()
		c.conn.Close()
		return nil, &NotSentError{Err: err}
	}
	a, err := c.receive(e, early, p.budget)
	if err != nil {
		c.dropHead()
		c.upload.close()
		c.conn.Close()
		if broken := c.uploadFailed.Load(); broken != nil {
			return nil, &NoAnswerError{Err: broken, Reused: c.reused}
		}
		switch {
		case c.reused && timedOut(ctx, err):
			p.dropBefore(c.target, begin)
		case c.reused && ctx.Err() == nil && staleFailure(err, boottime.Since(begin), begin.Sub(c.idleSince)):
			p.idleLimits.recordStale(boottime.Now(), e.Group, begin.Sub(c.idleSince))
		}
		return nil, &NoAnswerError{Err: err, Reused: c.reused}
	}
	a.response.connOpenedAt = c.openedAt
	if !c.reused {
		a.response.dialTook = c.dialTook
	}
	if a.response.Rest != nil {
		a.response.Rest = &restReader{Reader: a.response.Rest, conn: c}
		return a.response, nil
	}
	c.upload.close()
	p.release(c, sent, a, e)
	return a.response, nil
}

// timedOut reports whether an exchange failed because the target did not answer in time,
// and not because the caller disconnected.
func timedOut(ctx context.Context, err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout() && !errors.Is(ctx.Err(), context.Canceled)
}

// send writes the request. A long one is written in the background. The channel
// yields the result of the write.
func (c *poolConn) send(e *Exchange) <-chan error {
	head := bytes.NewBuffer(make([]byte, 0, 512))
	if !e.awaitsContinue() {
		appendRequestHead(head, e.Request, e.Header)
	}
	done := make(chan error, 1)
	if e.Request.Rest == nil && head.Len()+len(e.Request.Body) <= maxSyncWrite {
		head.Write(e.Request.Body)
		_, err := c.conn.Write(head.Bytes())
		done <- err
		return done
	}
	go func() { done <- c.sendLong(head.Bytes(), e.Request) }()
	return done
}

// sendLong writes a request without copying its body. If the caller's body breaks off, it closes the
// connection, so that the request can't appear complete.
func (c *poolConn) sendLong(head []byte, r *Request) error {
	if r.Rest == nil {
		buffers := net.Buffers{head, r.Body}
		_, err := buffers.WriteTo(c.conn)
		return err
	}
	if _, err := c.conn.Write(head); err != nil {
		return err
	}
	body := io.MultiReader(bytes.NewReader(r.Body), c.upload)
	err := copyBody(c.conn, body, r.Rest.length)
	var broken *UploadError
	if errors.As(err, &broken) {
		c.uploadFailed.Store(broken)
		c.conn.Close()
	}
	return err
}

// copyBody writes a body of a length, or in chunks if that is -1. A body that is shorter is an error.
func copyBody(w io.Writer, body io.Reader, length int64) error {
	if length >= 0 {
		n, err := io.Copy(w, body)
		if err == nil && n != length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	chunks := newChunkWriter(w)
	if _, err := io.Copy(chunks, body); err != nil {
		return err
	}
	return chunks.Close()
}

// release returns the connection to the pool, or closes it unless the exchange is
// complete and the connection reusable.
func (p *Pool) release(c *poolConn, sent <-chan error, a answer, e *Exchange) {
	whole := false
	select {
	case err := <-sent:
		whole = err == nil
	default: // answered before the request was sent completely, if any of its body was
	}
	if !whole || !a.reusable || c.reader.Buffered() > 0 || !e.KeepConn(a.response) {
		c.conn.Close()
		return
	}
	c.reused, c.upload = true, nil
	c.conn.SetDeadline(time.Time{})
	p.putIdle(c, a.idleTimeout)
}

// keepAliveTimeout returns the time for which the target announces to keep an idle
// connection, or 0 if it announces none.
func keepAliveTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// answer is the answer to a request, and whether its connection can be reused.
type answer struct {
	response    *Response
	reusable    bool          // no other answer was read, and the target keeps the connection open
	idleTimeout time.Duration // announced by the target; 0 if none
}

// receive reads the answer to the request, of which early is the head unless it is nil. It skips up to
// maxStray answers to other requests.
func (c *poolConn) receive(e *Exchange, early *http.Response, budget *Budget) (answer, error) {
	request := &http.Request{Method: e.Request.Method}
	for stray := 0; stray <= maxStray; stray++ {
		in := early
		early = nil
		if in == nil {
			var err error
			if in, err = readFinal(c, request); err != nil {
				return answer{}, err
			}
		}
		if !e.IsAnswer(in.StatusCode, in.Header) {
			n, err := io.Copy(io.Discard, io.LimitReader(in.Body, maxStrayBody))
			if err == nil && n == maxStrayBody {
				err = &EndlessError{Limit: maxStrayBody}
			}
			if err != nil {
				return answer{}, err
			}
			c.dropHead()
			continue
		}
		a := answer{reusable: stray == 0 && !in.Close, idleTimeout: keepAliveTimeout(in.Header)}
		var err error
		if a.response, err = readBody(in, budget); err != nil {
			return answer{}, err
		}
		a.response.taken += c.headTaken
		c.headTaken = 0
		return a, nil
	}
	return answer{}, &StrayError{Count: maxStray + 1}
}

// restReader reads the rest of an answer; its connection is not reused.
type restReader struct {
	io.Reader
	conn *poolConn
}

// Close closes the connection.
func (r *restReader) Close() error {
	r.conn.upload.close()
	return r.conn.conn.Close()
}
