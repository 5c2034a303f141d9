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
	noticeWithin = time.Second // after which it is known
	noticeSlack  = 3           // requests of callers that have just started
	restWithin   = 500 * time.Millisecond
	limitWindow  = 4 * time.Second
	limitOver    = 1.5
	limitSlack   = 5
)

// notices is what a target says of the requests that it wants, and what reached it all the same.
type notices struct {
	mu    sync.Mutex
	said  notice.Notice
	until time.Time   // it is said until then; as all below by a clock that goes on in suspensions
	told  time.Time   // when it was first said; zero before
	after []time.Time // requests that came since it should be known
}

// SetNotice makes the target say something in all answers until a time. With Rest it refuses all
// requests until then. A suspension is one of all machines: the time goes on for targets too.
func (t *Target) SetNotice(n notice.Notice, until time.Time) {
	t.notices.mu.Lock()
	defer t.notices.mu.Unlock()
	t.notices.said, t.notices.until = n, boottime.Now().Add(time.Until(until))
	t.notices.told, t.notices.after = time.Time{}, nil
}

// say sets the headers of an answer. It returns true if the request is refused for rest.
func (s *notices) say(h http.Header, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.until) || !s.said.Any() {
		return false
	}
	if s.said.Leaving {
		h.Set(headerLeaving, "1")
	}
	if s.said.Limited {
		h.Set(headerLimit, strconv.FormatFloat(s.said.Limit, 'f', -1, 64))
	}
	if s.said.Rest > 0 {
		h.Set(headerRest, strconv.FormatFloat(s.until.Sub(now).Seconds(), 'f', 3, 64))
	}
	if s.told.IsZero() {
		s.told = now
	}
	return s.said.Rest > 0
}

// arrived counts a request, and checks that the target gets no more than it wants.
func (s *notices) arrived(j *Journal, scope Scope, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.told.IsZero() || !now.Before(s.until) {
		return
	}
	within, most := noticeWithin, noticeSlack
	switch {
	case s.said.Limited:
		within, most = restWithin, int(limitOver*s.said.Limit*limitWindow.Seconds())+limitSlack
		for len(s.after) > 0 && now.Sub(s.after[0]) >= limitWindow {
			s.after = s.after[1:]
		}
	case s.said.Rest > 0:
		within = restWithin
	}
	if now.Sub(s.told) < within {
		return
	}
	s.after = append(s.after, now)
	n := len(s.after)
	j.Wanted(n <= most, now, func() string {
		return fmt.Sprintf("%+v got %d requests after it had said %+v, %d at most are allowed", scope, n, s.said, most)
	})
}

// Wanted records whether a request was one that its target wants.
func (j *Journal) Wanted(ok bool, now time.Time, detail func() string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.check(invariant.Wanted, ok, now, detail)
}
