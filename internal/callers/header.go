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

// Headers of requests and answers, towards callers, peers and targets alike.
const (
	HeaderKey     = "Firlever-Key"     // idempotency key
	HeaderTimeout = "Firlever-Timeout" // time left for the request, whole milliseconds
	HeaderStart   = "Firlever-Start"   // time left until its answer must begin, the same; optional
	HeaderRequest = "Firlever-Request" // request id
	HeaderOutcome = "Firlever-Outcome" // one of the outcomes below
	HeaderReason  = "Firlever-Reason"  // a core.Reason
	HeaderRetry   = "Firlever-Retry"   // when to come back, milliseconds from now
	HeaderHome    = "Firlever-Home"    // the caller's home place
	HeaderFrom    = "Firlever-From"    // the instance that handed the request off

	// Of targets' answers, those to probes too.
	HeaderLeaving = "Firlever-Leaving" // "1": the target leaves, and wants no new requests
	HeaderLimit   = "Firlever-Limit"   // requests a second that it takes, a decimal number
	headerRetryAfter    = "Retry-After"      // seconds for which it wants none, with 503

	// Between instances only.
	HeaderWant    = "Firlever-Want"    // requests that the sender would like to hand off
	HeaderRelease = "Firlever-Release" // requests that it was granted and has no use for
	HeaderFree    = "Firlever-Free"    // slots of the service that are free at the answerer
	HeaderGrant   = "Firlever-Grant"   // requests that the sender may hand off beyond its older grants
	HeaderUntil   = "Firlever-Until"   // how long, in milliseconds from when the sender asked
)

// Outcomes of a request.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)

// noticeHeaders are the headers by which targets say which requests they want.
var noticeHeaders = notice.Names{Leaving: HeaderLeaving, Limit: HeaderLimit, Rest: headerRetryAfter}

// Noticed is what a target's answer says of the requests that it wants. A success says all,
// if it can be read.
func Noticed(target owner.TargetKey, asked time.Time, resp *http.Response) core.Noticed {
	n, unread := noticeHeaders.Read(resp.StatusCode, resp.Header)
	return core.Noticed{
		Target: target, Asked: asked, Notice: n, Unread: unread, Whole: resp.StatusCode < http.StatusMultipleChoices && unread == nil,
	}
}

// headerPrefix begins the names of our own headers.
const headerPrefix = "Firlever-"

// hopHeaders concern one connection only and are not passed on. Expect is among
// them since this instance itself asks its caller for the body.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader passes end-to-end headers on. Ours are never passed on, only set
// anew: a caller could pose as a peer by them, and a target as an instance.
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

// headerCount reads a header that holds a whole number; 0 if it holds none.
func headerCount(h http.Header, name string) int {
	n, err := strconv.ParseUint(h.Get(name), 10, 31)
	if err != nil {
		return 0
	}
	return int(n)
}

// setTimeLeft writes the time left until a deadline.
func setTimeLeft(h http.Header, name string, now, deadline time.Time) {
	left := max(deadline.Sub(now).Milliseconds(), 0)
	h.Set(name, strconv.FormatInt(left, 10))
}

// retryAfter reads when a refusal says to come back; zero if it does not.
func retryAfter(h http.Header, now time.Time) time.Time {
	ms, err := strconv.ParseInt(h.Get(HeaderRetry), 10, 32)
	if err != nil || ms < 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// setRetry writes when to come back, in our header and in the standard one.
func setRetry(h http.Header, now, at time.Time) {
	if at.IsZero() {
		return
	}
	wait := max(at.Sub(now), 0)
	h.Set(HeaderRetry, strconv.FormatInt(wait.Milliseconds()+1, 10))
	seconds := (wait + time.Second - 1) / time.Second
	h.Set(headerRetryAfter, strconv.FormatInt(int64(max(seconds, 1)), 10))
}
