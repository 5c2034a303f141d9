package callers

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/targets"
)

// Prefixes of the paths that instances serve.
const (
	PrefixCall    = "/call/"
	PrefixHand    = "/hand/"
	PrefixForward = "/forward/"
	PrefixLookup  = "/lookup/"
	PrefixGrant   = "/grant/"
)

// exchange carries one request from its arrival to its final answer.
type exchange struct {
	s    *Server
	w    http.ResponseWriter
	r    *http.Request
	id   core.ID
	req  core.Request
	ask  core.Ask // of the peer that handed it off; Peer is empty otherwise
	body *body
	rest string    // path and query below the prefix, as it came
	came time.Time // when it arrived
	gone bool      // the caller has gone, but a keyed request runs on
}

// run acts on decisions until the request has had its final answer.
func (x *exchange) run(ctx context.Context, decisions <-chan core.Decision) {
	done := ctx.Done()
	for {
		select {
		case d := <-decisions:
			if x.act(ctx, d) {
				return
			}
		case <-done:
			done = nil
			x.s.desk.Step(core.Cancelled{ID: x.id})
		}
	}
}

// act carries one decision out. It returns true when the request is over.
func (x *exchange) act(ctx context.Context, d core.Decision) bool {
	x.s.note(x.req, d)
	switch d := d.(type) {
	case core.Serve:
		return x.attempt(ctx, d.Deadline, x.toTarget(d), x.fromTarget)
	case core.Hand:
		out := x.toPeer(PrefixHand, d.Peer, d.Home)
		setCount(out.Header, HeaderWant, d.Want)
		return x.attempt(ctx, d.Deadline, out, x.fromOwner(d))
	case core.Forward:
		return x.attempt(ctx, d.Deadline, x.toPeer(PrefixForward, d.Peer, ""), x.fromPeer)
	case core.Repeat:
		x.repeat(d)
		return true
	case core.Refuse:
		x.refuse(d)
		return true
	}
	return false
}

// toTarget builds the request for a target.
func (x *exchange) toTarget(d core.Serve) *http.Request {
	out := x.outgoing(d.Address, x.req.Path)
	out.Header.Set(HeaderHome, d.Home)
	return out
}

// toPeer builds the request for another instance.
func (x *exchange) toPeer(prefix string, p core.Peer, home string) *http.Request {
	out := x.outgoing(p.Address, prefix+x.req.Service.String()+x.req.Path)
	out.Header.Set(HeaderFrom, x.s.cfg.Instance)
	if home != "" {
		out.Header.Set(HeaderHome, home)
	}
	return out
}

func (x *exchange) outgoing(address, path string) *http.Request {
	out := &http.Request{
		Method:        x.r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: path, RawQuery: x.r.URL.RawQuery},
		Host:          x.r.Host,
		Header:        make(http.Header, len(x.r.Header)+4),
		Body:          targets.Once(x.body.reader()),
		ContentLength: x.body.size,
	}
	copyHeader(out.Header, x.r.Header)
	if x.body.size == 0 {
		out.Body = http.NoBody
	}
	out.Header.Set(HeaderRequest, x.req.Name)
	return out
}

// attempt sends the request and takes in how that went. read tells the result
// of an answer whose headers have come, and relays it.
func (x *exchange) attempt(ctx context.Context, deadline time.Time, out *http.Request, read reader) bool {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	began := x.s.desk.Now()
	setTimeout(out.Header, began, deadline)
	resp, err := x.s.client.Send(ctx, out)
	if err != nil {
		x.finish(began, failure(err))
		return false
	}
	defer resp.Body.Close()
	return read(resp, began)
}

// reader takes in an answer. It returns true when the request is over.
type reader func(resp *http.Response, began time.Time) bool

func failure(err error) core.Finished {
	var notSent *targets.NotSentError
	if errors.As(err, &notSent) {
		return core.Finished{Result: core.NotRun, Proof: notSent.Proof()}
	}
	return core.Finished{Result: core.Failed}
}

// finish tells the node how the attempt ended.
func (x *exchange) finish(began time.Time, ev core.Finished) {
	ev.ID = x.id
	ev.Gone = ev.Result != core.Answered && x.left()
	ev.Took = x.s.desk.Now().Sub(began)
	x.s.desk.Step(ev)
}

// left says whether the caller has gone, which broke the attempt off. A keyed
// request runs on without its caller.
func (x *exchange) left() bool { return x.req.Key == "" && x.r.Context().Err() != nil }

// fromTarget takes in a target's answer.
func (x *exchange) fromTarget(resp *http.Response, began time.Time) bool {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == OutcomeNotRun {
		x.finish(began, core.Finished{
			Result: core.NotRun, Proof: once.ProofRefusal, Retry: retryAfter(resp.Header, began),
		})
		return false
	}
	return x.relay(resp, began)
}

// fromOwner takes in the answer of a peer that a request was handed to, and
// what it offers along with it.
func (x *exchange) fromOwner(d core.Hand) reader {
	return func(resp *http.Response, began time.Time) bool {
		ev := heard(resp.Header, began, d.Peer)
		ev.ID, ev.Service, ev.Home = x.id, x.req.Service, d.Home
		x.s.desk.Step(ev)
		return x.fromPeer(resp, began)
	}
}

// fromPeer takes in another instance's answer.
func (x *exchange) fromPeer(resp *http.Response, began time.Time) bool {
	now := x.s.desk.Now()
	ev := core.Finished{
		Result: core.Failed,
		Reason: core.Reason(resp.Header.Get(HeaderReason)),
		Retry:  retryAfter(resp.Header, now),
	}
	switch resp.Header.Get(HeaderOutcome) {
	case OutcomeAnswered:
		return x.relay(resp, began)
	case OutcomeNotRun:
		ev.Result, ev.Proof = core.NotRun, once.ProofRefusal
	}
	x.finish(began, ev)
	return false
}
