package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// maxDiscardBytes is how much of the body of a refusal is read, so that its
// connection can be reused.
const maxDiscardBytes = 4096

// Response is a target's response. The caller must close its body.
type Response struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser // ends with io.EOF only when complete, else with an *IncompleteError
	Length  int64         // of the body in bytes; -1 if not known
	Request string        // ID of the request
	Address string        // of the instance that answered
}

// Do sends a request to a service, given as team/service, and returns the
// response as soon as its header has arrived. The error is a *NotRunError or an
// *UnknownError; the package comment describes when each may be retried.
func (c *Client) Do(ctx context.Context, service string, req *Request) (*Response, error) {
	k := c.newCall(ctx, service, req)
	c.budget.credit()
	answer, err := c.Lookup(ctx, service)
	if err != nil {
		return nil, errors.Annotate(k.errorBeforeAttempt(ReasonLookup, err), "Client.Do")
	}
	if !k.idempotent && k.key.Value == "" {
		if k.key, err = c.key(ctx, service); err != nil {
			return nil, errors.Annotate(k.errorBeforeAttempt(ReasonKey, err), "Client.Do")
		}
	}
	resp, err := k.run(answer)
	return resp, errors.Annotate(err, "Client.Do")
}

// errorBeforeAttempt returns the error of a request that failed before its first
// attempt. The outcome is unknown if the request has a key from an earlier call,
// as that call may have run it.
func (k *call) errorBeforeAttempt(reason string, err error) error {
	if k.ctx.Err() != nil {
		reason = ReasonTimeout
	}
	if k.req.Key.Value != "" {
		return k.unknown(reason, err)
	}
	return k.notRun(reason, err)
}

// addresses returns the addresses in the order to try them, and how many come
// before those that failed. A key's home comes first.
func (k *call) addresses(answer Answer) ([]string, int) {
	var list []string
	for _, instance := range answer.Instances {
		list = append(list, instance.Address)
	}
	list, reached := k.client.order(list)
	if k.key.Home == "" {
		return list, reached
	}
	homeFirst := []string{k.key.Home}
	for _, address := range list {
		if address != k.key.Home {
			homeFirst = append(homeFirst, address)
		}
	}
	return homeFirst, max(reached, 1)
}

// run makes attempts until one is answered or no further one is allowed.
func (k *call) run(answer Answer) (*Response, error) {
	addresses, reached := k.addresses(answer)
	k.mayHaveRun = k.req.Key.Value != ""
	attempts := k.client.cfg.Attempts
	for i := range attempts {
		if i >= reached && i < len(addresses) && k.refusedByInstance() || i > 0 && !k.client.budget.take() {
			break
		}
		address := addresses[i%len(addresses)]
		resp, err := k.attempt(address, i+1 < attempts)
		if err == nil {
			return resp, nil
		}
		k.last = err
		if !k.shouldRetry(address, err) {
			break
		}
	}
	return nil, k.failure()
}

// refusedByInstance reports whether the last attempt was refused by an instance.
// That refusal is then returned, since trying an instance that has been failing
// would cost a wait and give no better error.
func (k *call) refusedByInstance() bool {
	var notRun *NotRunError
	return errors.As(k.last, &notRun) && notRun.Status != 0
}

// shouldRetry reports whether another attempt may be made after one failed with err.
func (k *call) shouldRetry(address string, err error) bool {
	var notRun *NotRunError
	if !errors.As(err, &notRun) {
		var unknown *UnknownError
		k.mayHaveRun = true
		unknownReported := errors.As(err, &unknown) && unknown.Err == nil
		return k.ctx.Err() == nil && (k.idempotent || !unknownReported)
	}
	if notRun.final() || k.ctx.Err() != nil {
		return false
	}
	k.client.invalidate(k.service, address)
	// A key that was never sent isn't tried elsewhere when its home can't run the
	// request: another instance couldn't determine whether the key was used.
	return k.idempotent || k.mayHaveRun
}

// failure returns the error of the whole call. Once an attempt may have run, the
// refusal of a later one doesn't prove that the request did not run.
func (k *call) failure() error {
	var notRun *NotRunError
	if !errors.As(k.last, &notRun) || !k.mayHaveRun {
		return k.last
	}
	unknown := k.unknown(notRun.Reason, notRun.Err)
	unknown.RetryAt = notRun.RetryAt
	return unknown
}

// attempt sends the request once, to one instance. more is set if further
// attempts are left.
func (k *call) attempt(address string, more bool) (*Response, error) {
	ctx, cancel := context.WithCancel(k.ctx)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	startBy := k.startDeadline(more)
	req, refused := k.httpRequest(ctx, address, startBy)
	if refused != nil {
		cancel()
		return nil, refused
	}
	stopTimer := cancelAt(cancel, startBy)
	resp, err := k.client.transport.RoundTrip(req)
	if !stopTimer() && err == nil {
		err = context.Canceled
		_ = resp.Body.Close()
	}
	if err != nil {
		cancel()
		return nil, k.transportError(address, connected.Load(), err)
	}
	return k.readOutcome(address, resp, cancel)
}

// startDeadline returns the time by which the response to an attempt at an
// idempotent request has to begin: halfway to the deadline while further attempts
// are left, so that an instance that hangs doesn't use up the whole time. It is
// zero if there is no such limit. The limit is sent to the instance, so that it
// doesn't start a request that the client has already abandoned.
func (k *call) startDeadline(more bool) time.Time {
	deadline, ok := k.ctx.Deadline()
	if !ok || !more || !k.idempotent {
		return time.Time{}
	}
	return time.Now().Add(time.Until(deadline) / 2)
}

// cancelAt calls cancel at the given time, unless that is zero or stop is called
// first. stop returns false if the time had come already.
func cancelAt(cancel context.CancelFunc, at time.Time) (stop func() bool) {
	if at.IsZero() {
		return func() bool { return true }
	}
	return time.AfterFunc(time.Until(at), cancel).Stop
}

// transportError returns the error of an attempt without a response. Without a
// connection no byte was sent, which proves that the request did not run.
func (k *call) transportError(address string, connected bool, err error) error {
	if k.ctx.Err() == nil {
		k.client.recordFailure(address)
	}
	switch {
	case !connected && k.ctx.Err() != nil:
		return k.notRun(ReasonTimeout, err)
	case !connected:
		return k.notRun(ReasonConnect, err)
	case k.ctx.Err() != nil:
		return k.unknown(ReasonTimeout, err)
	default:
		return k.unknown(ReasonLost, err)
	}
}

// readOutcome returns the response, or the error that its header reports for the
// request.
func (k *call) readOutcome(address string, resp *http.Response, cancel context.CancelFunc) (*Response, error) {
	outcome := resp.Header.Get(headerOutcome)
	id := resp.Header.Get(headerRequest)
	reason := resp.Header.Get(headerReason)
	if id == k.id && Outcome(outcome) == Answered {
		k.client.recordSuccess(address)
		return k.response(address, resp, cancel), nil
	}
	discard(resp.Body)
	cancel()
	switch {
	case id == k.id && Outcome(outcome) == NotRun:
		e := k.notRun(reason, nil)
		e.RetryAt = retryAt(resp.Header)
		e.Status = resp.StatusCode
		if !e.final() {
			k.client.recordRefusal(address)
		}
		return nil, e
	case id == k.id && Outcome(outcome) == Unknown:
		return nil, k.unknown(reason, nil)
	}
	k.client.recordFailure(address)
	return nil, k.unknown(ReasonForeign, &ForeignError{Request: id, Outcome: outcome})
}

func (k *call) response(address string, resp *http.Response, cancel context.CancelFunc) *Response {
	return &Response{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    newBody(k, resp, cancel),
		Length:  resp.ContentLength,
		Request: k.id,
		Address: address,
	}
}

func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDiscardBytes)
	_ = body.Close()
}

// retryAt returns the time from which an instance allows a retry, or the zero time.
func retryAt(h http.Header) time.Time {
	ms, err := strconv.ParseUint(h.Get(headerRetry), 10, 31)
	if err != nil {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}
