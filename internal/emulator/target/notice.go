package target

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/notice"
)

// Bounds on the requests that may still reach a target after it sent a notice: some are in
// flight already, and some come from callers that have just started and haven't received it.
const (
	noticeGrace  = time.Second            // time until callers have received the notice
	noticeSlack  = 3                      // number of requests from callers that have just started
	backOffGrace = 500 * time.Millisecond // noticeGrace for back-off and limits
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5 // of the limit, in limitWindow
	limitSlack   = 5   // requests beyond that
)

// noticeState holds a target's notice about the requests that it accepts, and the requests that
// arrived after callers should have received it.
type noticeState struct {
	mu        sync.Mutex
	current   notice.Notice
	until     time.Time   // end of the notice; this and the times below are of a clock that runs on in suspensions
	firstSent time.Time   // time of the first answer with the notice; zero before
	arrivals  []time.Time // requests since callers should have received the notice; with a limit, those of limitWindow
}

// SetNotice makes the target send a notice in all answers until a time. If the notice asks for
// back-off, the target refuses all requests until then. A suspension applies to all machines:
// the time runs on for targets too.
func (t *Target) SetNotice(n notice.Notice, until time.Time) {
	t.notices.mu.Lock()
	defer t.notices.mu.Unlock()
	t.notices.current, t.notices.until = n, boottime.Now().Add(time.Until(until))
	t.notices.firstSent, t.notices.arrivals = time.Time{}, nil
}

// setHeaders sets the notice's headers of an answer. It returns true if the target is backing
// off and refuses the request.
func (s *noticeState) setHeaders(h http.Header, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.until) || !s.current.Any() {
		return false
	}
	if s.current.Leaving {
		h.Set(headerLeaving, "1")
	}
	if s.current.HasLimit {
		h.Set(headerLimit, strconv.FormatFloat(s.current.Limit, 'f', -1, 64))
	}
	if s.current.BackOff > 0 {
		h.Set(headerRetryAfter, strconv.FormatFloat(s.until.Sub(now).Seconds(), 'f', 3, 64))
	}
	if s.firstSent.IsZero() {
		s.firstSent = now
	}
	return s.current.BackOff > 0
}

// checkArrival counts a request and checks that no more arrive than the notice allows.
func (s *noticeState) checkArrival(j *Journal, scope Scope, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstSent.IsZero() || !now.Before(s.until) {
		return
	}
	grace, most := noticeGrace, noticeSlack
	switch {
	case s.current.HasLimit:
		grace, most = backOffGrace, int(limitFactor*s.current.Limit*limitWindow.Seconds())+limitSlack
		for len(s.arrivals) > 0 && now.Sub(s.arrivals[0]) >= limitWindow {
			s.arrivals = s.arrivals[1:]
		}
	case s.current.BackOff > 0:
		grace = backOffGrace
	}
	if now.Sub(s.firstSent) < grace {
		return
	}
	s.arrivals = append(s.arrivals, now)
	n := len(s.arrivals)
	j.CheckWanted(n <= most, now, func() string {
		return fmt.Sprintf("%+v received %d requests after it sent notice %+v, at most %d are allowed", scope, n, s.current, most)
	})
}

// CheckWanted checks the invariant that targets get only requests that their notices allow; ok is
// false for a request beyond that.
func (j *Journal) CheckWanted(ok bool, now time.Time, detail func() string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.check(invariant.WithinNotices, ok, now, detail)
}
