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

// maxRefusal is how much of a refusal's body is read to keep its connection.
const maxRefusal = 4096

// Response is a target's answer. Close its body.
type Response struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser // ends with io.EOF only when whole, else with an *IncompleteError
	Length  int64         // of the body in bytes; -1 when not known
	Request string        // id of the request
	Address string        // of the instance that answered
}

// Do sends a request to a service, written team/service, and returns the answer
// as soon as its header is there. Errors are a *NotRunError or an
// *UnknownError; see the package's comment for what they allow.
func (c *Client) Do(ctx context.Context, service string, req *Request) (*Response, error) {
	k := c.newCall(ctx, service, req)
	c.budget.add()
	answer, err := c.Lookup(ctx, service)
	if err != nil {
		return nil, errors.Annotate(k.notRunBefore(ReasonLookup, err), "Client.Do")
	}
	if !k.idempotent && k.key.Value == "" {
		if k.key, err = c.key(ctx, service); err != nil {
			return nil, errors.Annotate(k.notRunBefore(ReasonKey, err), "Client.Do")
		}
	}
	resp, err := k.run(k.addresses(answer))
	return resp, errors.Annotate(err, "Client.Do")
}

// notRunBefore is the failure of a request before its first attempt. Of a
// request with a key from an earlier try nothing is known.
func (k *call) notRunBefore(reason string, err error) error {
	if k.ctx.Err() != nil {
		reason = ReasonTimeout
	}
	if k.req.Key.Value != "" {
		return k.unknown(reason, err)
	}
	return k.notRun(reason, err)
}

// addresses returns where to try, in order: a key's home goes first.
func (k *call) addresses(answer Answer) []string {
	var list []string
	for _, instance := range answer.Instances {
		list = append(list, instance.Address)
	}
	list = k.client.order(list)
	if k.key.Home == "" {
		return list
	}
	rest := []string{k.key.Home}
	for _, address := range list {
		if address != k.key.Home {
			rest = append(rest, address)
		}
	}
	return rest
}

// run makes attempts until one is answered or no other is right.
func (k *call) run(addresses []string) (*Response, error) {
	k.mayRun = k.req.Key.Value != ""
	attempts := k.client.cfg.Attempts
	for i := range attempts {
		if i > 0 && !k.client.budget.take() {
			break
		}
		address := addresses[i%len(addresses)]
		resp, err := k.attempt(address, i+1 < attempts)
		if err == nil {
			return resp, nil
		}
		k.last = err
		if !k.again(address, err) {
			break
		}
	}
	return nil, k.failure()
}

// again says whether another attempt is right after one failed.
func (k *call) again(address string, err error) bool {
	var notRun *NotRunError
	if !errors.As(err, &notRun) {
		var unknown *UnknownError
		k.mayRun = true
		told := errors.As(err, &unknown) && unknown.Err == nil
		return k.ctx.Err() == nil && (k.idempotent || !told)
	}
	if notRun.final() || k.ctx.Err() != nil {
		return false
	}
	k.client.forget(k.service, address)
	// A key that was never sent is left alone when its home can't run the
	// request: another instance could but guess.
	return k.idempotent || k.mayRun
}

// failure returns the error of the whole call. Once an attempt may have run, a
// refusal of another one proves nothing.
func (k *call) failure() error {
	var notRun *NotRunError
	if !errors.As(k.last, &notRun) || !k.mayRun {
		return k.last
	}
	unknown := k.unknown(notRun.Reason, notRun.Err)
	unknown.RetryAt = notRun.RetryAt
	return unknown
}

// attempt sends the request to one instance once. more says that others are
// left to try.
func (k *call) attempt(address string, more bool) (*Response, error) {
	ctx, cancel := context.WithCancel(k.ctx)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, refused := k.request(ctx, address)
	if refused != nil {
		cancel()
		return nil, refused
	}
	stop := k.limit(cancel, more)
	resp, err := k.client.transport.RoundTrip(req)
	if !stop() && err == nil {
		err = context.Canceled
		_ = resp.Body.Close()
	}
	if err != nil {
		cancel()
		return nil, k.broken(address, connected.Load(), err)
	}
	return k.judge(address, resp, cancel)
}

// limit ends an attempt at an idempotent request halfway to the deadline while
// other instances are left, so that one that hangs doesn't take all the time.
func (k *call) limit(cancel context.CancelFunc, more bool) (stop func() bool) {
	deadline, ok := k.ctx.Deadline()
	if !ok || !more || !k.idempotent {
		return func() bool { return true }
	}
	return time.AfterFunc(time.Until(deadline)/2, cancel).Stop
}

// broken is the failure of an attempt without an answer. Without a connection
// no byte was sent, which proves that nothing ran.
func (k *call) broken(address string, connected bool, err error) error {
	if k.ctx.Err() == nil {
		k.client.avoid(address)
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

// judge reads what an answer's header says of the request.
func (k *call) judge(address string, resp *http.Response, cancel context.CancelFunc) (*Response, error) {
	outcome := resp.Header.Get(headerOutcome)
	id := resp.Header.Get(headerRequest)
	reason := resp.Header.Get(headerReason)
	if id == k.id && Outcome(outcome) == Answered {
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
			k.client.avoid(address)
		}
		return nil, e
	case id == k.id && Outcome(outcome) == Unknown:
		return nil, k.unknown(reason, nil)
	}
	k.client.avoid(address)
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
	_, _ = io.CopyN(io.Discard, body, maxRefusal)
	_ = body.Close()
}

// retryAt returns when an instance says to come back, or no time.
func retryAt(h http.Header) time.Time {
	ms, err := strconv.ParseUint(h.Get(headerRetry), 10, 31)
	if err != nil {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}
