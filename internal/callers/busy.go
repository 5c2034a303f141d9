package callers

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/metrics"
)

// Refused callers are told to come back after againSoonest, and over a part of againBusy that
// is as large as the share of the requests that are refused.
const (
	againSoonest = 50 * time.Millisecond
	againBusy    = time.Second
)

// refusalLines bounds the lines a second about refusals by the head alone, which come by the
// thousand.
const refusalLines = 200

// busy says when to come back with a request that this process has no time for; the zero time
// if it has. A request with a key may have run before: only who keeps the key's record can
// refuse it truthfully.
func (s *Server) busy() time.Time {
	if !s.cfg.Load.Refuse() {
		return time.Time{}
	}
	return s.dispatcher.Now().Add(againSoonest + rand.N(time.Duration(s.cfg.Load.Share()*float64(againBusy))+1))
}

// refuseBusy refuses a request without a key by its head alone.
func (s *Server) refuseBusy(w http.ResponseWriter, r *http.Request, again time.Time) {
	name := r.Header.Get(HeaderRequest)
	if len(name) > maxName || !printable(name) {
		name = ""
	}
	s.cfg.Metrics.Decided(metrics.Decision{Kind: kindRefuse, Reason: string(core.ReasonOverloaded)})
	if suppressed, ok := s.refusals.Allow(s.dispatcher.Now()); ok && s.cfg.Log != nil {
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
