package callers

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/metrics"
)

// The retry delay of a refused request is minRetryDelay plus a random part of overloadRetrySpread.
// The upper bound of that part grows with the share of requests that are refused.
const (
	minRetryDelay       = 50 * time.Millisecond
	overloadRetrySpread = time.Second
)

// refusalLinesPerSecond limits the log lines about requests that are refused by their headers
// alone, because there can be thousands a second.
const refusalLinesPerSecond = 200

// overloadedUntil returns when a request should be retried if this process is overloaded, and the
// zero time if it isn't. A request with a key may have run before, so only the instance that keeps
// the key's record can state whether it ran.
func (s *Server) overloadedUntil() time.Time {
	if !s.cfg.Overload.Refuse() {
		return time.Time{}
	}
	return s.dispatcher.Now().Add(minRetryDelay + rand.N(time.Duration(s.cfg.Overload.Share()*float64(overloadRetrySpread))+1))
}

// refuseOverloaded refuses a request without a key, by its headers alone.
func (s *Server) refuseOverloaded(w http.ResponseWriter, r *http.Request, retryAt time.Time) {
	requestID := r.Header.Get(HeaderRequest)
	if len(requestID) > maxRequestID || !printable(requestID) {
		requestID = ""
	}
	s.cfg.Metrics.CountDecision(metrics.Decision{Kind: kindRefuse, Reason: string(core.ReasonOverloaded)})
	if suppressed, ok := s.refusalLog.Allow(s.dispatcher.Now()); ok && s.cfg.Log != nil {
		s.cfg.Log.Info(kindRefuse, "request", requestID, "path", r.URL.Path, "reason", core.ReasonOverloaded,
			"share", s.cfg.Overload.Share(), "retry", retryAt, "suppressed", suppressed)
	}
	w.Header().Set(HeaderRequest, requestID)
	setRetry(w.Header(), s.dispatcher.Now(), retryAt)
	s.refuseEarly(w, http.StatusServiceUnavailable, core.ReasonOverloaded, &OverloadedError{})
}

// OverloadedError means that this process has more work than its processors can handle.
type OverloadedError struct{}

func (*OverloadedError) Error() string { return "callers: this instance is overloaded" }

// RefuseNoMemory refuses a request that doesn't fit into the memory for requests. One with a key may have run
// before: its connection is closed instead, which promises nothing.
func (s *Server) RefuseNoMemory(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(HeaderKey) != "" {
		panic(http.ErrAbortHandler)
	}
	now := s.dispatcher.Now()
	setRetry(w.Header(), now, now.Add(minRetryDelay+rand.N(overloadRetrySpread)))
	s.refuseEarly(w, http.StatusServiceUnavailable, core.ReasonNoMemory, &NoMemoryError{})
}

// NoMemoryError means that the memory of this process for requests is used up.
type NoMemoryError struct{}

func (*NoMemoryError) Error() string { return "callers: no memory is left for this request" }
