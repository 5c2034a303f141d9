package callers

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/metrics"
)

// Refused callers are told to come back after minRetryDelay, and over a part of overloadRetrySpread that
// is as large as the share of the requests that are refused.
const (
	minRetryDelay = 50 * time.Millisecond
	overloadRetrySpread    = time.Second
)

// refusalLinesPerSecond bounds the lines a second about refusals by the head alone, which come by the
// thousand.
const refusalLinesPerSecond = 200

// overloadedUntil says when to come back with a request that this process has no time for; the zero time
// if it has. A request with a key may have run before: only who keeps the key's record can
// refuse it truthfully.
func (s *Server) overloadedUntil() time.Time {
	if !s.cfg.Load.Refuse() {
		return time.Time{}
	}
	return s.dispatcher.Now().Add(minRetryDelay + rand.N(time.Duration(s.cfg.Load.Share()*float64(overloadRetrySpread))+1))
}

// refuseOverloaded refuses a request without a key by its head alone.
func (s *Server) refuseOverloaded(w http.ResponseWriter, r *http.Request, again time.Time) {
	name := r.Header.Get(HeaderRequest)
	if len(name) > maxRequestID || !printable(name) {
		name = ""
	}
	s.cfg.Metrics.Decided(metrics.Decision{Kind: kindRefuse, Reason: string(core.ReasonOverloaded)})
	if suppressed, ok := s.refusalLog.Allow(s.dispatcher.Now()); ok && s.cfg.Log != nil {
		s.cfg.Log.Info(kindRefuse, "request", name, "path", r.URL.Path, "reason", core.ReasonOverloaded,
			"share", s.cfg.Load.Share(), "retry", again, "suppressed", suppressed)
	}
	w.Header().Set(HeaderRequest, name)
	setRetry(w.Header(), s.dispatcher.Now(), again)
	s.refuseEarly(w, http.StatusServiceUnavailable, core.ReasonOverloaded, &OverloadedError{})
}

// OverloadedError says that this process has more to do than its processors can.
type OverloadedError struct{}

func (*OverloadedError) Error() string { return "callers: this instance has too much to do" }
