package callers

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/invariant"
)

// Sizes of the buffers of an answer.
const (
	maxWhole  = 64 << 10 // a shorter answer is read whole before any of it is passed on
	chunkSize = 32 << 10 // of a streamed answer
)

// relay passes an answer on. A short one is read whole first: that frees the
// target's slot early, and an answer cut short can still be replaced.
func (x *exchange) relay(resp *http.Response, began time.Time) bool {
	if resp.ContentLength > maxWhole {
		return x.stream(resp, nil, began)
	}
	start, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole+1))
	if err != nil {
		x.finish(began, core.Finished{Result: core.Failed})
		return false
	}
	if len(start) > maxWhole {
		return x.stream(resp, start, began)
	}
	x.finish(began, x.answered(resp, start))
	x.s.cfg.Metrics.Answered(x.req.Service.String(), x.s.desk.Now().Sub(x.came))
	x.checkWhole(resp, int64(len(start)))
	x.head(resp)
	x.w.Header().Set("Content-Length", itoa(int64(len(start))))
	if resp.Request != nil && x.r.Method == http.MethodHead {
		x.w.Header().Set("Content-Length", resp.Header.Get("Content-Length"))
	}
	x.w.WriteHeader(resp.StatusCode)
	x.write(start)
	return true
}

// answered is the event of a whole answer, with what a key's record needs.
func (x *exchange) answered(resp *http.Response, whole []byte) core.Finished {
	ev := core.Finished{Result: core.Answered, Status: resp.StatusCode}
	if x.req.Key != "" {
		ev.Header = resp.Header.Clone()
		ev.Body = whole
	}
	return ev
}

// head writes the answer's headers, with ours.
func (x *exchange) head(resp *http.Response) {
	h := x.w.Header()
	copyHeader(h, resp.Header)
	x.own(h, OutcomeAnswered)
}

// own sets the headers that are always ours.
func (x *exchange) own(h http.Header, outcome string) {
	h.Set(HeaderOutcome, outcome)
	h.Set(HeaderRequest, x.req.Name)
	if x.req.From != "" {
		setOffer(h, x.s.desk.Now(), x.s.desk.Offer(x.ask))
	}
}

// stream passes a long answer on in constant memory. One that is cut short
// ends by closing the connection, never as if it were whole.
func (x *exchange) stream(resp *http.Response, start []byte, began time.Time) bool {
	x.head(resp)
	x.w.WriteHeader(resp.StatusCode)
	n, err := x.copy(io.MultiReader(bytes.NewReader(start), resp.Body))
	if err != nil {
		x.finish(began, core.Finished{Result: core.Failed, Final: true})
		panic(http.ErrAbortHandler)
	}
	x.finish(began, core.Finished{Result: core.Answered, Status: resp.StatusCode, Dropped: true})
	x.s.cfg.Metrics.Answered(x.req.Service.String(), x.s.desk.Now().Sub(x.came))
	x.checkWhole(resp, n)
	return true
}

// copy streams r to the caller, and counts the bytes.
func (x *exchange) copy(r io.Reader) (int64, error) {
	buf := make([]byte, chunkSize)
	var total int64
	for {
		n, err := r.Read(buf)
		total += int64(n)
		if werr := x.write(buf[:n]); werr != nil {
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

// write gives bytes to the caller. A keyed request goes on without its caller,
// so that its outcome gets recorded.
func (x *exchange) write(b []byte) error {
	if x.gone || len(b) == 0 {
		return nil
	}
	_, err := x.w.Write(b)
	if err != nil && x.req.Key != "" {
		x.gone = true
		return nil
	}
	return err
}

func (x *exchange) checkWhole(resp *http.Response, n int64) {
	whole := resp.ContentLength < 0 || resp.ContentLength == n || x.r.Method == http.MethodHead
	x.s.cfg.Checks.Check(invariant.WholeAnswer, whole, func() string {
		return x.req.Name + ": an answer of another length was passed off as whole"
	})
}

// repeat gives a key's recorded answer.
func (x *exchange) repeat(d core.Repeat) {
	h := x.w.Header()
	copyHeader(h, d.Answer.Header)
	x.own(h, OutcomeAnswered)
	h.Set(HeaderReason, string(core.ReasonRepeat))
	h.Del("Content-Length")
	if d.Answer.Dropped {
		// The work is done, but its answer was too large to keep.
		x.final(core.Refuse{ID: d.ID, Unknown: true, Reason: core.ReasonNotKept})
		return
	}
	x.w.WriteHeader(d.Answer.Status)
	x.write(d.Answer.Body)
}

// refusal is the body of an answer that is not from a target.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Request string `json:"request"`
	Retry   int64  `json:"retry,omitempty"` // milliseconds from now
}

// refuse gives the final answer of a request that none of the targets answered.
func (x *exchange) refuse(d core.Refuse) { x.final(d) }

func (x *exchange) final(d core.Refuse) {
	outcome := OutcomeNotRun
	if d.Unknown {
		outcome = OutcomeUnknown
	}
	now := x.s.desk.Now()
	h := x.w.Header()
	x.own(h, outcome)
	h.Set(HeaderReason, string(d.Reason))
	h.Set("Content-Type", "application/json")
	setRetry(h, now, d.RetryAt)
	body := refusal{Outcome: outcome, Reason: string(d.Reason), Request: x.req.Name}
	if !d.RetryAt.IsZero() {
		body.Retry = max(d.RetryAt.Sub(now).Milliseconds(), 0) + 1
	}
	x.w.WriteHeader(statusOf(d))
	json.NewEncoder(x.w).Encode(body)
}

// statusOf maps a refusal to the status that HTTP clients expect.
func statusOf(d core.Refuse) int {
	switch d.Reason {
	case core.ReasonNoKey, core.ReasonBadKey:
		return http.StatusBadRequest
	case core.ReasonNoService:
		return http.StatusNotFound
	case core.ReasonKeyRunning:
		return http.StatusConflict
	case core.ReasonKeyExpired:
		return http.StatusGone
	}
	if d.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
