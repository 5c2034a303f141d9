package callers

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/invariant"
)

// Sizes of the buffers of an answer.
const (
	maxBuffered  = 64 << 10 // a shorter answer is read whole before any of it is passed on
	chunkSize = 32 << 10 // of a streamed answer
)

var chunkPool = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// relay passes an answer on. A short one is read whole first: that frees the
// target's slot early, and an answer cut short can still be replaced.
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
		x.fail(t, core.Finished{Result: core.Failed, Broken: abortedByRemote(t.ctx, err)})
		return false
	}
	if len(start) > maxBuffered {
		return x.stream(t, resp, start)
	}
	x.checkLength(resp, len(start))
	x.finish(t, x.finishedEvent(resp, start))
	x.s.cfg.Metrics.Answered(x.req.Service.String(), x.s.dispatcher.Now().Sub(x.arrived))
	if x.s.pacer.wait(t.ctx, t.linkRate, len(start)) != nil {
		x.refuse(core.Refuse{ID: x.id, Unknown: true, Reason: core.ReasonDeadline})
		return true
	}
	x.setAnswerHeaders(OutcomeAnswered, core.Reason(peerReason(t, resp)))
	x.writeAnswer(resp.StatusCode, resp.Header, start)
	return true
}

// delimited says whether the answer's end can be told from a broken connection: one
// without a length that isn't chunked delimited the same either way.
func (x *exchange) delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || !x.hasBody(resp.StatusCode)
}

// hasBody says whether an answer of this status has a body.
func (x *exchange) hasBody(status int) bool {
	return x.r.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// readStart reads an answer up to a byte over maxWhole.
func readStart(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 || resp.Body == http.NoBody {
		return io.ReadAll(io.LimitReader(resp.Body, maxBuffered+1))
	}
	start := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, start)
	return start, err
}

// peerReason is why a peer gave the answer, if it says so; targets have no say.
func peerReason(t attempt, resp *http.Response) string {
	if !t.toPeer {
		return ""
	}
	return resp.Header.Get(HeaderReason)
}

// finishedEvent is the event of a whole answer, with what a key's record needs.
func (x *exchange) finishedEvent(resp *http.Response, whole []byte) core.Finished {
	ev := core.Finished{Result: core.Answered, Status: resp.StatusCode}
	if x.req.Key != "" {
		ev.Header = make(http.Header, len(resp.Header))
		copyHeader(ev.Header, resp.Header)
		ev.Body = whole
	}
	return ev
}

// setAnswerHeaders sets the headers that are always ours.
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

// writeAnswer writes an answer that is all here.
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

// stream passes a long answer on in constant memory. One that is cut short
// ends by breaking the connection, never as if it were whole.
func (x *exchange) stream(t attempt, resp *http.Response, start []byte) bool {
	x.setAnswerHeaders(OutcomeAnswered, core.Reason(peerReason(t, resp)))
	copyHeader(x.w.Header(), resp.Header)
	x.setWriteDeadline(t.deadline)
	x.w.WriteHeader(resp.StatusCode)
	n, err := x.copy(t, io.MultiReader(bytes.NewReader(start), resp.Body), resp.ContentLength < 0)
	if err != nil {
		x.fail(t, core.Finished{Result: core.Failed, Final: true, Gone: x.callerGone, Broken: !x.callerGone && abortedByRemote(t.ctx, err)})
		x.abort()
	}
	x.checkLength(resp, n)
	x.finish(t, core.Finished{Result: core.Answered, Status: resp.StatusCode, Dropped: true})
	if x.callerGone {
		x.abort()
	}
	x.s.cfg.Metrics.Answered(x.req.Service.String(), x.s.dispatcher.Now().Sub(x.arrived))
	return true
}

// copy streams r to the caller, and counts the bytes. The length of a steady
// trickle is unknown, so it goes out as it comes.
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

// write gives bytes to the caller. A non-idempotent request goes on without
// its caller, so that its outcome gets recorded.
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

// abort breaks the caller's connection in the midst of an answer. It does not
// return. HTTP/1.0 takes a closed connection for the end of an answer, so there
// the connection is reset.
func (x *exchange) abort() {
	if !x.r.ProtoAtLeast(1, 1) {
		reset(x.w)
	}
	panic(http.ErrAbortHandler)
}

// resetter is what TCP connections can do.
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
	whole := resp.ContentLength < 0 || resp.ContentLength == int64(n) || !x.hasBody(resp.StatusCode)
	x.s.cfg.Checks.Check(invariant.WholeAnswer, whole, func() string {
		return x.req.Name + ": an answer of another length was passed off as whole"
	})
}

// repeat gives a key's recorded answer.
func (x *exchange) repeat(d core.Repeat) {
	if d.Answer.Dropped {
		// The work is done, but its answer was too large to keep.
		x.refuse(core.Refuse{ID: d.ID, Unknown: true, Reason: core.ReasonNotKept})
		return
	}
	x.setAnswerHeaders(OutcomeAnswered, core.ReasonRepeat)
	x.writeAnswer(d.Answer.Status, d.Answer.Header, d.Answer.Body)
}
