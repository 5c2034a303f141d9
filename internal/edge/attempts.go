package edge

import (
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/steer"
)

// attempts tracks the attempts of one request at its targets, and decides whether another may
// be made: a request that can't be repeated is sent again only after proof that it has not run.
type attempts struct {
	repeatable  bool
	maxAttempts int             // attempts that may reach a target; values below 1 count as 1
	tried       []string        // IDs of targets that were chosen, excluded from further choices
	sentTo      []string        // IDs of those that the request reached
	inFlight    int             // attempts in flight
	reached     int             // finished attempts that reached a target; at most maxAttempts
	mayHaveRun  bool            // whether some attempt may have run
	unsent      int             // attempts that could not be sent
	lastAnswer  *http1.Response // the last target's own answer; nil if there is none
}

// maxUnsent bounds the attempts that can't connect to their target: enough to get past the
// dead targets of one failure domain.
const maxUnsent = 4

// attemptOutcome is the classified outcome of one attempt.
type attemptOutcome struct {
	ending  steer.Ending
	sent    bool            // the request reached the target
	notRun  bool            // the request is proved not to have run there
	answer  *http1.Response // the target's own answer, passed on if no other attempt gives a better one
	aborted bool            // the target's side ended the connection before the answer was complete
	final   bool            // the answer goes to the caller, and no further attempt is made
}

// begin records the start of an attempt at a target.
func (a *attempts) begin(target string) {
	a.tried = append(a.tried, target)
	a.inFlight++
}

// end records the outcome of an attempt at a target.
func (a *attempts) end(target string, v attemptOutcome) {
	a.inFlight--
	if !v.sent {
		a.unsent++
		return
	}
	a.reached++
	a.sentTo = append(a.sentTo, target)
	if !v.notRun {
		a.mayHaveRun = true
		if a.lastAnswer != nil {
			a.lastAnswer.Discard()
		}
		a.lastAnswer = v.answer
	}
}

// canRetry reports whether the request may be sent to another target.
func (a *attempts) canRetry() bool {
	if a.mayHaveRun && !a.repeatable {
		return false
	}
	return a.reached+a.inFlight < max(1, a.maxAttempts) && a.unsent < maxUnsent
}

// onlyUnsent reports whether no attempt could be sent, so that another way may still be tried.
func (a *attempts) onlyUnsent() bool { return a.unsent > 0 && a.reached+a.inFlight == 0 }

// status returns the status of this instance's own answer after the last attempt. 503 means
// that the request has not run and will not run.
func (a *attempts) status(now, deadline time.Time) int {
	switch {
	case !a.mayHaveRun:
		return http.StatusServiceUnavailable
	case !now.Before(deadline):
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
