package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/boottime"
)

// Headers that a target reads or writes.
const (
	headerRequest    = "Firlever-Request"
	headerTimeout    = "Firlever-Timeout"
	headerKey        = "Firlever-Key"
	headerHome       = "Firlever-Home"
	headerOutcome    = "Firlever-Outcome"
	headerLeaving    = "Firlever-Leaving"
	headerLimit      = "Firlever-Limit"
	headerRetryAfter = "Retry-After"

	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// MaxSize is the largest answer in bytes that the size of a request's query may ask for.
const MaxSize = 1 << 30

// load is the body of an answer on /load.
type load struct {
	Slots int `json:"slots"`
	Busy  int `json:"busy"`
}

// ServeHTTP answers probes and requests.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := boottime.Now()
	backingOff := t.notices.setHeaders(w.Header(), now)
	switch r.URL.Path {
	case "/health":
		t.serveHealth(w, r)
	case "/load":
		t.serveLoad(w, r)
	default:
		t.notices.checkArrival(t.journal, t.Scope(), now)
		if backingOff {
			refuse(w, http.StatusServiceUnavailable)
			return
		}
		w.Header().Del(headerRetryAfter)
		t.serveWork(w, r)
	}
}

func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	w.Header().Del(headerRetryAfter)
	s, report, ok := t.probe(r)
	if !ok {
		return
	}
	if !s.healthy && !report.AlwaysHealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) serveLoad(w http.ResponseWriter, r *http.Request) {
	s, report, ok := t.probe(r)
	if !ok {
		return
	}
	if report.AlwaysIdle {
		s.busy = 0
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load{Slots: t.cfg.Slots, Busy: s.busy})
}

// probe returns the lagged state and the report settings for a health or load answer, after
// Config.ProbeCost. It returns false if the caller left before.
func (t *Target) probe(r *http.Request) (sample, Report, bool) {
	if !t.cfg.Clock.SleepUntil(r.Context(), time.Now().Add(t.cfg.ProbeCost)) {
		return sample{}, Report{}, false
	}
	t.mu.Lock()
	report := t.report
	t.mu.Unlock()
	return t.slots.asOf(time.Now().Add(-report.Lag)), report, true
}

// serveWork runs one request if it was received whole and before its timeout, and a slot
// becomes free.
func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	ctx, cancel, ok := withTimeout(r)
	defer cancel()
	size, sizeOK := t.answerSize(r)
	if !ok || !sizeOK {
		refuse(w, http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		refuse(w, http.StatusBadRequest)
		return
	}
	if ctx.Err() != nil || !t.slots.acquire(ctx) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	work := t.workOf(r)
	finish := t.start(work)
	defer finish()
	if t.cfg.CrashPath != "" && r.URL.Path == t.cfg.CrashPath {
		t.crash(r)
		return
	}
	if !t.cfg.Clock.SleepUntil(ctx, t.finishTime()) {
		w.Header().Set(headerOutcome, outcomeUnknown)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	t.answer(ctx, w, work.ID, size, finish)
}

// start records the work in the journal. The first call of the returned function records its
// end and frees the slot.
func (t *Target) start(work Work) func() {
	t.journal.Start(work, time.Now())
	return sync.OnceFunc(func() {
		t.journal.Finish(work, time.Now())
		t.slots.release()
	})
}

// finishTime draws a service time and returns the end of the work that starts now.
func (t *Target) finishTime() time.Time {
	now := time.Now()
	return now.Add(t.serviceTimes.next(now))
}

func (t *Target) workOf(r *http.Request) Work {
	return Work{
		ID:      r.Header.Get(headerRequest),
		Key:     r.Header.Get(headerKey),
		Service: t.cfg.Service,
		Place:   t.cfg.Place,
		Target:  t.cfg.Name,
		Home:    r.Header.Get(headerHome),
	}
}

// answerSize returns the size in bytes that the request asks for, or false if it is invalid.
func (t *Target) answerSize(r *http.Request) (int64, bool) {
	s := r.URL.Query().Get("size")
	if s == "" {
		return t.cfg.Size, true
	}
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil && n >= 0 && n <= MaxSize
}

// withTimeout returns the request's context, bounded by the timeout of its header. It returns
// false if the header is invalid.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc, bool) {
	s := r.Header.Get(headerTimeout)
	if s == "" {
		return r.Context(), func() {}, true
	}
	ms, err := strconv.ParseInt(s, 10, 32)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	return ctx, cancel, err == nil
}

// refuse answers a request that was not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerOutcome, outcomeNotRun)
	w.WriteHeader(status)
}

// answer streams the body at the configured rate. It calls finish before the last byte, as no
// caller may have a whole answer while its request still counts as in flight. If the body can't
// be finished, the connection is aborted.
func (t *Target) answer(ctx context.Context, w http.ResponseWriter, id string, size int64, finish func()) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(AnswerLen(size), 10))
	body := Answer(id, size)
	if !t.stream(ctx, w, body, AnswerLen(size)-1) {
		panic(http.ErrAbortHandler)
	}
	finish()
	if _, err := io.Copy(w, body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// stream copies n bytes at the configured rate and returns false on failure.
func (t *Target) stream(ctx context.Context, w http.ResponseWriter, body io.Reader, n int64) bool {
	start := time.Now()
	for sent := int64(0); sent < n; {
		part, err := io.CopyN(w, body, min(bufferLen, n-sent))
		sent += part
		if err != nil || ctx.Err() != nil {
			return false
		}
		if t.cfg.Pace == 0 {
			continue
		}
		due := start.Add(time.Duration(float64(sent) / float64(t.cfg.Pace) * float64(time.Second)))
		if http.NewResponseController(w).Flush() != nil || !t.cfg.Clock.SleepUntil(ctx, due) {
			return false
		}
	}
	return true
}
