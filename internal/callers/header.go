package callers

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/notice"
	"github.com/firlever/firlever/internal/owner"
)

// Headers of requests and answers, used with callers, peers and targets alike.
const (
	HeaderKey     = "Firlever-Key"     // idempotency key
	HeaderTimeout = "Firlever-Timeout" // time left for the request, in whole milliseconds
	HeaderStart   = "Firlever-Start"   // time left until the answer must begin, in whole milliseconds; optional
	HeaderRequest = "Firlever-Request" // request id
	HeaderOutcome = "Firlever-Outcome" // one of the outcomes below
	HeaderReason  = "Firlever-Reason"  // a core.Reason
	HeaderRetry   = "Firlever-Retry"   // when to retry, in milliseconds from now
	HeaderHome    = "Firlever-Home"    // the caller's home place
	HeaderFrom    = "Firlever-From"    // the instance that handed the request off

	// In targets' answers, also to probes.
	HeaderLeaving    = "Firlever-Leaving" // "1": the target is leaving and takes no new requests
	HeaderLimit      = "Firlever-Limit"   // requests a second that the target takes, a decimal number
	headerRetryAfter = "Retry-After"      // seconds of back-off, with status 503

	// Between instances only.
	HeaderWant    = "Firlever-Want"    // requests that the sender would like to hand off
	HeaderRelease = "Firlever-Release" // granted requests that the sender no longer needs
	HeaderFree    = "Firlever-Free"    // free slots of the service at the answering instance
	HeaderGrant   = "Firlever-Grant"   // requests that the sender may hand off, on top of its earlier grants
	HeaderUntil   = "Firlever-Until"   // validity of the grant, in milliseconds from when the sender asked
)

// Outcomes of a request.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)

// noticeHeaders are the headers of a target's notice.
var noticeHeaders = notice.HeaderNames{Leaving: HeaderLeaving, Limit: HeaderLimit, BackOff: headerRetryAfter}

// ReadNotice reads the notice in a target's answer. A successful answer is complete if its
// headers could be read: what it doesn't state no longer holds.
func ReadNotice(target owner.TargetKey, asked time.Time, resp *http.Response) core.NoticeReceived {
	n, unread := noticeHeaders.Read(resp.StatusCode, resp.Header)
	return core.NoticeReceived{
		Target: target, Sent: asked, Notice: n, Unreadable: unread, Complete: resp.StatusCode < http.StatusMultipleChoices && unread == nil,
	}
}

// headerPrefix is the prefix of all Firlever headers.
const headerPrefix = "Firlever-"

// hopHeaders apply to one connection only and are not passed on. Expect is among them because this
// instance itself asks its caller for the body.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader copies end-to-end headers. Firlever headers are never copied, only set anew: otherwise
// a caller could pose as a peer, and a target as an instance.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !strings.HasPrefix(name, headerPrefix) {
			dst[name] = slices.Clone(values)
		}
	}
	for _, line := range src.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			dst.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		dst.Del(name)
	}
}

// headerCount reads a header that holds a whole number. It returns 0 if there is no valid number.
func headerCount(h http.Header, name string) int {
	n, err := strconv.ParseUint(h.Get(name), 10, 31)
	if err != nil {
		return 0
	}
	return int(n)
}

// setTimeLeft writes the time left until a deadline, in milliseconds.
func setTimeLeft(h http.Header, name string, now, deadline time.Time) {
	left := max(deadline.Sub(now).Milliseconds(), 0)
	h.Set(name, strconv.FormatInt(left, 10))
}

// retryAfter returns when a refused request may be retried; zero if the refusal doesn't state it.
func retryAfter(h http.Header, now time.Time) time.Time {
	ms, err := strconv.ParseInt(h.Get(HeaderRetry), 10, 32)
	if err != nil || ms < 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// setRetry writes when to retry, in the Firlever header and in the standard one.
func setRetry(h http.Header, now, at time.Time) {
	if at.IsZero() {
		return
	}
	wait := max(at.Sub(now), 0)
	h.Set(HeaderRetry, strconv.FormatInt(wait.Milliseconds()+1, 10))
	seconds := (wait + time.Second - 1) / time.Second
	h.Set(headerRetryAfter, strconv.FormatInt(int64(max(seconds, 1)), 10))
}
