package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/crash"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/routes"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/internal/tcp"
	"github.com/firlever/firlever/platform"
)

// defaultDeadline applies to requests without a deadline on routes without a timeout: the longest
// time that a caller waits today.
const defaultDeadline = 10 * time.Second

// pendingRequest is a request in flight through this process.
type pendingRequest struct {
	*attempts
	admission

	from             string    // peer that handed the request off; "" if a caller sent it
	counted          bool      // it counts in a retry budget
	returned         bool      // its caller was refused before and waited
	returnBy         time.Time // if it is refused, its caller returns by then; zero: unknown
	returnFrom       time.Time // if it is refused, the return of its caller is recognised from then on; zero: never
	peer             string    // that it was handed off to; "" if none
	in               *http1.Request
	info             platform.Request
	service          string
	fingerprint      crash.Fingerprint // recognises the request when it is sent again
	deadline         time.Time         // the caller gets an answer by then
	choice           steer.Choice
	ending           steer.Ending // of the last attempt
	cause            error        // error of the last attempt
	answeredByTarget bool         // the answer that is passed on is that of choice.Target
	keyRevoked       bool         // its key was revoked before it could be sent
	crashedTargets   int          // targets that ended under the request, if it is refused for that
}

// canRetry reports whether the request may be sent to another target. A body that was passed on in
// part can't be sent again.
func (p *pendingRequest) canRetry() bool {
	return (p.in.Rest == nil || !p.in.Rest.Used()) && p.attempts.canRetry()
}

// handle answers a request.
func (n *Node) handle(ctx context.Context, r *http1.Request) *http1.Response {
	info := platform.ReadRequest(r.Header)
	if n.tooLate(r.ReceivedAt) {
		return n.refuse(r, info, refusedStopping)
	}
	a, refused := n.admit(r, info)
	if refused != nil {
		return n.refuse(r, info, refused)
	}
	if resp := n.takeToken(ctx, a, r, info); resp != nil {
		return resp
	}
	p := newPendingRequest(a, r, info)
	resp := n.forward(ctx, p)
	if a.workspace != nil && !p.mayHaveRun {
		n.quotas.Return(a.workspace.Name)
	}
	n.recordAnswer(p, resp)
	return resp
}

func newPendingRequest(a admission, r *http1.Request, info platform.Request) *pendingRequest {
	return &pendingRequest{
		attempts:  &attempts{repeatable: a.route.Kind.Repeatable(), maxAttempts: a.route.Attempts},
		admission: a, in: r, info: info, service: a.route.Service(), fingerprint: fingerprintOf(r, info), deadline: deadlineOf(r.ReceivedAt, a.route, info),
	}
}

// object returns the object that the request is about, "" if its route has no affinity.
func (p *pendingRequest) object() string {
	if !p.route.Affinity {
		return ""
	}
	return p.info.Object
}

// fingerprintOf returns the fingerprint of a request.
func fingerprintOf(r *http1.Request, info platform.Request) crash.Fingerprint {
	return crash.Request{Method: r.Method, Host: r.Host, URI: r.URI, Caller: info.Key, Object: info.Object, Body: r.Body}.Fingerprint()
}

// deadlineOf returns the time by which the answer is due: the caller's deadline or the route's
// timeout, whichever comes first.
func deadlineOf(at time.Time, route *routes.Entry, info platform.Request) time.Time {
	wait := defaultDeadline
	if info.Timeout > 0 {
		wait = info.Timeout
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return at.Add(wait)
}

// pick chooses the target of an attempt: the first, a retry, or one that runs beside another.
// Poison requests are refused here, however they arrived, as each further run would end another
// target with all requests that are at it.
func (n *Node) pick(p *pendingRequest) steer.Choice {
	if targets := n.crashes.crashCount(p.fingerprint); targets > 0 {
		p.crashedTargets = targets
		return steer.Choice{Reason: reasonEndsTargets, RetryAfter: poisonRetryAfter}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := boottime.Now()
	if !p.counted {
		n.recognizeReturn(p)
	}
	q := n.query(p)
	c := n.fleet.Pick(now, q)
	p.counted = true
	n.logRoom(p.service, c.Admission)
	if q.Retry {
		n.recordRetry(now, p, c)
	}
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "load", Service: p.service, Reason: loadFreshness(c)})
	return c
}

// query returns the criteria for choosing a target. n.mu is held.
func (n *Node) query(p *pendingRequest) steer.Query {
	return steer.Query{
		Service: p.service, Object: p.object(), SpreadKey: p.info.ID, Regions: p.regions(),
		Objective: p.route.Objective, Deadline: p.deadline, ReceivedAt: p.in.ReceivedAt, Priority: p.rank(),
		Fingerprint: uint64(p.fingerprint), Returned: p.returned, ReturnFrom: p.returnFrom, ReturnBy: p.returnBy,
		AnswerSize: n.answerSizes[p.route.Name],
		Retry:      p.reached+p.inFlight > 0, Parallel: p.inFlight > 0, Counted: p.counted, Tried: p.tried,
	}
}

func (n *Node) exchange(ctx context.Context, p *pendingRequest, target steer.Target) (*http1.Response, error) {
	if !p.repeatable {
		// Work that can't be repeated continues after its caller has left.
		ctx = context.WithoutCancel(ctx)
	}
	header := p.in.Header.Clone()
	platform.SetAttempt(header, target.ID, boottime.Until(p.deadline))
	if p.rules.keys.KeyRequired() {
		platform.SetWorkspace(header, p.workspaceName())
	}
	sent := boottime.Now()
	return n.pool.Do(ctx, &http1.Exchange{
		Request: p.in, Header: header, Target: target.ID, Group: target.Service, Address: target.Address,
		NonIdempotent: !p.repeatable, Deadline: p.deadline,
		IsAnswer:   func(status int, h http.Header) bool { return n.handleAnswerHeader(p, target, sent, status, h) },
		ShouldSend: func() bool { return n.wanted(target) },
		KeepConn:   func(resp *http1.Response) bool { return resp.Status != http.StatusMisdirectedRequest },
	})
}

// classify determines the outcome of an attempt from its answer or error.
func classify(ctx context.Context, resp *http1.Response, err error) attemptOutcome {
	var unsent *http1.NotSentError
	var unwanted *http1.UnwantedError
	var broken *http1.UploadError
	var partial *http1.PartialBodyError
	switch {
	case errors.As(err, &broken):
		return attemptOutcome{ending: steer.CallerLeft, sent: true}
	case errors.As(err, &unwanted), errors.As(err, &partial):
		return attemptOutcome{ending: steer.NotSent}
	case errors.As(err, &unsent) && ctx.Err() != nil:
		return attemptOutcome{ending: steer.CallerLeft}
	case errors.As(err, &unsent) && tcp.LacksResources(err):
		return attemptOutcome{ending: steer.NotSent}
	case errors.As(err, &unsent):
		return attemptOutcome{ending: steer.Failed}
	case err != nil && ctx.Err() != nil:
		return attemptOutcome{ending: steer.CallerLeft, sent: true}
	case isTimeout(err):
		return attemptOutcome{ending: steer.TimedOut, sent: true}
	case err != nil:
		return attemptOutcome{ending: steer.Failed, sent: true, aborted: true}
	}
	a := platform.ReadAnswer(resp.Status, resp.Header)
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		return attemptOutcome{ending: steer.Replaced, sent: true, notRun: true}
	case a.NotRun:
		return attemptOutcome{ending: steer.Shed, sent: true, notRun: true}
	case resp.Status >= http.StatusInternalServerError:
		return attemptOutcome{ending: steer.Failed, sent: true, answer: resp}
	case resp.Status < http.StatusMultipleChoices && !a.Signed:
		return attemptOutcome{ending: steer.Failed, sent: true}
	}
	return attemptOutcome{ending: steer.Answered, sent: true, answer: resp, final: true}
}

func isTimeout(err error) bool {
	var e interface{ Timeout() bool }
	return errors.As(err, &e) && e.Timeout()
}

// recordOutcome passes the outcome of an attempt to the fleet.
func (n *Node) recordOutcome(p *pendingRequest, r attempt, v attemptOutcome) {
	now := boottime.Now()
	target := r.choice.Target
	o := steer.Outcome{Ending: v.ending, Took: now.Sub(r.start), Object: p.object(), Kind: p.route.Name, Wait: r.choice.Wait}
	if r.resp == nil && n.partition.partitioned() {
		o.Ending = steer.NotSent // says nothing about the target
	}
	if r.resp != nil {
		a := platform.ReadAnswer(r.resp.Status, r.resp.Header)
		o.WarmIn, o.Connect = a.WarmIn, r.resp.DialTook()
		if a.HasLoad {
			o.Load = &steer.Load{Running: a.Load.Running, Waiting: a.Load.Waiting, Slowdown: a.Load.Slowdown}
		}
	}
	n.mu.Lock()
	ejected := n.fleet.Done(now, target, o)
	if v.final {
		n.recordSize(p.route.Name, r.resp)
	}
	n.mu.Unlock()
	if o.Ending == steer.Answered {
		n.cfg.Metrics.RecordAnswerTime(p.service, r.choice.Estimate, o.Took)
	}
	n.recordRollout(now, p, r, v)
	if ejected {
		n.cfg.Log.Warn("target ejected", "target", target.ID, "service", p.service, "domain", target.Domain, "ending", v.ending)
	}
	if v.ending == steer.Replaced {
		n.pool.CloseTarget(target.ID)
	}
}

// sizeWeight is the weight of one answer in the moving average of a route's answer sizes.
const sizeWeight = 0.05

// recordSize updates the average size of a route's answers. n.mu is held.
func (n *Node) recordSize(route string, resp *http1.Response) {
	size := float64(len(resp.Body))
	if resp.Rest != nil {
		size = max(size, float64(resp.BodyLength))
	}
	old, ok := n.answerSizes[route]
	if !ok {
		n.answerSizes[route] = size
		return
	}
	n.answerSizes[route] = old + sizeWeight*(size-old)
}

// ownAnswer creates an answer that doesn't come from a target.
func ownAnswer(info platform.Request, status int) *http1.Response {
	resp := &http1.Response{Status: status, Header: make(http.Header)}
	platform.SetRequestID(resp.Header, info.ID)
	return resp
}

// refuse answers a request for which no target is chosen. fields are added to its log line.
func (n *Node) refuse(r *http1.Request, info platform.Request, why *refusal, fields ...any) *http1.Response {
	resp := ownAnswer(info, why.status)
	if why.retryAfter > 0 {
		platform.SetRetryAfter(resp.Header, why.retryAfter)
	}
	n.logRefusal(r, info, why, fields)
	return resp
}
