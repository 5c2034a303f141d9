package callers

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/invariant"
)

// Buffer sizes for answers.
const (
	maxBuffered = 64 << 10 // an answer of up to this size is read whole before any of it is passed on
	chunkSize   = 32 << 10 // of a streamed answer
)

var chunkPool = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// relay passes an answer on. A short one is read whole first, which frees the target's slot early
// and allows another attempt if the answer is truncated.
func (x *exchange) relay(t attempt, resp *http.Response) bool {
	if resp.StatusCode == http.StatusSwitchingProtocols || !x.delimited(resp) {
		x.fail(t, core.Finished{Result: core.Failed, Reason: core.ReasonNoEnd})
		return false
	}
	if resp.ContentLength > maxBuffered && x.hasBody(resp.StatusCode) {
		return x.stream(t, resp, nil)
	}
	start, err := readStart(resp)
	if err != nil {
		x.fail(t, core.Finished{Result: core.Failed, Aborted: abortedByRemote(t.ctx, err)})
		return false
	}
	if len(start) > maxBuffered {
		return x.stream(t, resp, start)
	}
	x.checkLength(resp, len(start))
	x.finish(t, x.finishedEvent(resp, start))
	x.s.cfg.Metrics.RecordLatency(x.req.Service.String(), x.s.dispatcher.Now().Sub(x.arrived))
	if x.s.pacer.wait(t.ctx, t.linkRate, len(start)) != nil {
		x.refuse(core.Refuse{ID: x.id, Unknown: true, Reason: core.ReasonDeadline})
		return true
	}
	x.setAnswerHeaders(OutcomeAnswered, core.Reason(peerReason(t, resp)))
	x.writeAnswer(resp.StatusCode, resp.Header, start)
	return true
}

// delimited reports whether the end of an answer can be distinguished from an aborted connection.
// An answer that has no length and isn't chunked ends the same way in both cases.
func (x *exchange) delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || !x.hasBody(resp.StatusCode)
}

// hasBody reports whether an answer with this status has a body.
func (x *exchange) hasBody(status int) bool {
	return x.r.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// readStart reads an answer up to one byte more than maxBuffered.
func readStart(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 || resp.Body == http.NoBody {
		return io.ReadAll(io.LimitReader(resp.Body, maxBuffered+1))
	}
	start := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, start)
	return start, err
}

// peerReason returns the reason that a peer's answer states, if any. A target's answer has none:
// that header is ignored.
func peerReason(t attempt, resp *http.Response) string {
	if !t.toPeer {
		return ""
	}
	return resp.Header.Get(HeaderReason)
}

// finishedEvent returns the event for a complete answer, with the headers and body for the key's
// record.
func (x *exchange) finishedEvent(resp *http.Response, body []byte) core.Finished {
	ev := core.Finished{Result: core.Answered, Status: resp.StatusCode}
	if x.req.Key != "" {
		ev.Header = make(http.Header, len(resp.Header))
		copyHeader(ev.Header, resp.Header)
		ev.Body = body
	}
	return ev
}

// setAnswerHeaders sets the Firlever headers of an answer.
func (x *exchange) setAnswerHeaders(outcome string, reason core.Reason) {
	h := x.w.Header()
	h.Set(HeaderOutcome, outcome)
	h.Set(HeaderRequest, x.req.Name)
	if reason != "" {
		h.Set(HeaderReason, string(reason))
	}
	if x.req.From != "" {
		setOffer(h, x.s.dispatcher.Now(), x.s.dispatcher.Offer(x.ask))
	}
}

// writeAnswer writes an answer that has been read completely.
func (x *exchange) writeAnswer(status int, header http.Header, body []byte) {
	h := x.w.Header()
	copyHeader(h, header)
	switch {
	case x.hasBody(status):
		h.Set("Content-Length", itoa(int64(len(body))))
	case status == http.StatusNoContent:
		h.Del("Content-Length")
	}
	x.setWriteDeadline(x.s.dispatcher.Now().Add(replyTimeout))
	x.w.WriteHeader(status)
	if len(body) > 0 {
		x.w.Write(body)
	}
}

// stream passes a long answer on in constant memory. If the answer is truncated, the caller's
// connection is aborted, so that it never looks complete.
func (x *exchange) stream(t attempt, resp *http.Response, start []byte) bool {
	x.setAnswerHeaders(OutcomeAnswered, core.Reason(peerReason(t, resp)))
	copyHeader(x.w.Header(), resp.Header)
	x.setWriteDeadline(t.deadline)
	x.w.WriteHeader(resp.StatusCode)
	n, err := x.copy(t, io.MultiReader(bytes.NewReader(start), resp.Body), resp.ContentLength < 0)
	if err != nil {
		x.fail(t, core.Finished{Result: core.Failed, Final: true, CallerGone: x.callerGone, Aborted: !x.callerGone && abortedByRemote(t.ctx, err)})
		x.abort()
	}
	x.checkLength(resp, n)
	x.finish(t, core.Finished{Result: core.Answered, Status: resp.StatusCode, Dropped: true})
	if x.callerGone {
		x.abort()
	}
	x.s.cfg.Metrics.RecordLatency(x.req.Service.String(), x.s.dispatcher.Now().Sub(x.arrived))
	return true
}

// copy streams r to the caller and returns the number of bytes. An answer of unknown length is
// flushed after each write, because it may be a slow stream of events.
func (x *exchange) copy(t attempt, r io.Reader, flush bool) (int, error) {
	buf := chunkPool.Get().(*[chunkSize]byte)
	defer chunkPool.Put(buf)
	total, size := 0, x.s.pacer.chunk(t.linkRate)
	for {
		n, err := r.Read(buf[:size])
		total += n
		if werr := x.write(t, buf[:n], flush); werr != nil {
			return total, werr
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// write writes bytes to the caller at the paced rate. The attempt of a non-idempotent request
// continues after the caller has gone, so that its outcome gets recorded.
func (x *exchange) write(t attempt, b []byte, flush bool) error {
	if x.callerGone || len(b) == 0 {
		return nil
	}
	err := x.s.pacer.wait(t.ctx, t.linkRate, len(b))
	if err == nil {
		_, err = x.w.Write(b)
	}
	if err == nil && flush {
		err = http.NewResponseController(x.w).Flush()
	}
	if err == nil {
		return nil
	}
	x.callerGone = true
	if t.detached {
		return nil
	}
	return err
}

// abort aborts the caller's connection in the middle of an answer. It does not return. HTTP/1.0
// treats a closed connection as the end of an answer, so there the connection is reset.
func (x *exchange) abort() {
	if !x.r.ProtoAtLeast(1, 1) {
		reset(x.w)
	}
	panic(http.ErrAbortHandler)
}

// resetter is implemented by TCP connections.
type resetter interface{ SetLinger(seconds int) error }

func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if r, ok := c.(resetter); ok {
		r.SetLinger(0)
	}
	c.Close()
}

func (x *exchange) checkLength(resp *http.Response, n int) {
	complete := resp.ContentLength < 0 || resp.ContentLength == int64(n) || !x.hasBody(resp.StatusCode)
	x.s.cfg.Checks.Check(invariant.WholeAnswer, complete, func() string {
		return x.req.Name + ": an answer whose length doesn't match Content-Length was passed on as complete"
	})
}

// repeat writes the recorded answer of a key.
func (x *exchange) repeat(d core.Replay) {
	if d.Answer.Dropped {
		// The request has run, but its answer was too large to keep.
		x.refuse(core.Refuse{ID: d.ID, Unknown: true, Reason: core.ReasonNotKept})
		return
	}
	x.setAnswerHeaders(OutcomeAnswered, core.ReasonReplay)
	x.writeAnswer(d.Answer.Status, d.Answer.Header, d.Answer.Body)
}
