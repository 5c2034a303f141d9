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

// Bounds of what still reaches a target that has said which requests it wants: by nature of its
// callers, who may be on their way, or new and not told yet.
const (
	noticeGrace  = time.Second // after which it is known
	noticeSlack  = 3           // requests of callers that have just started
	backOffGrace = 500 * time.Millisecond
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
)

// noticeState is what a target says of the requests that it wants, and what reached it all the same.
type noticeState struct {
	mu        sync.Mutex
	current   notice.Notice
	until     time.Time   // it is said until then; as all below by a clock that goes on in suspensions
	firstSent time.Time   // when it was first said; zero before
	arrivals  []time.Time // requests that came since it should be known
}

// SetNotice makes the target say something in all answers until a time. With Rest it refuses all
// requests until then. A suspension is one of all machines: the time goes on for targets too.
func (t *Target) SetNotice(n notice.Notice, until time.Time) {
	t.notices.mu.Lock()
	defer t.notices.mu.Unlock()
	t.notices.current, t.notices.until = n, boottime.Now().Add(time.Until(until))
	t.notices.firstSent, t.notices.arrivals = time.Time{}, nil
}

// setHeaders sets the headers of an answer. It returns true if the request is refused for rest.
func (s *noticeState) setHeaders(h http.Header, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.until) || !s.current.Any() {
		return false
	}
	if s.current.Leaving {
		h.Set(headerLeaving, "1")
	}
	if s.current.Limited {
		h.Set(headerLimit, strconv.FormatFloat(s.current.Limit, 'f', -1, 64))
	}
	if s.current.Rest > 0 {
		h.Set(headerRetryAfter, strconv.FormatFloat(s.until.Sub(now).Seconds(), 'f', 3, 64))
	}
	if s.firstSent.IsZero() {
		s.firstSent = now
	}
	return s.current.Rest > 0
}

// checkArrival counts a request, and checks that the target gets no more than it wants.
func (s *noticeState) checkArrival(j *Journal, scope Scope, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstSent.IsZero() || !now.Before(s.until) {
		return
	}
	grace, most := noticeGrace, noticeSlack
	switch {
	case s.current.Limited:
		grace, most = backOffGrace, int(limitFactor*s.current.Limit*limitWindow.Seconds())+limitSlack
		for len(s.arrivals) > 0 && now.Sub(s.arrivals[0]) >= limitWindow {
			s.arrivals = s.arrivals[1:]
		}
	case s.current.Rest > 0:
		grace = backOffGrace
	}
	if now.Sub(s.firstSent) < grace {
		return
	}
	s.arrivals = append(s.arrivals, now)
	n := len(s.arrivals)
	j.Wanted(n <= most, now, func() string {
		return fmt.Sprintf("%+v got %d requests after it had said %+v, %d at most are allowed", scope, n, s.current, most)
	})
}

// Wanted records whether a request was one that its target wants.
func (j *Journal) Wanted(ok bool, now time.Time, detail func() string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.check(invariant.Wanted, ok, now, detail)
}
