package caller

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
)

// An answer is refreshed after a random part of its time to live, between these
// bounds.
const (
	refreshLow  = 0.6
	refreshHigh = 0.9
)

// Keys requested with a lookup while requests are waiting for them.
const (
	keysPerWaiter = 2   // for each waiting request
	maxKeys       = 256 // upper limit, unless Config.Keys is higher
)

// spareKey is a key that has not been sent with a request yet.
type spareKey struct {
	key     Key
	expires time.Time // by the local clock; the home decides by its own
}

// pendingLookup is a lookup in progress, which any number of callers wait for.
type pendingLookup struct {
	done   chan struct{} // closed once the other fields have their final values
	answer Answer        // the last one, marked as stale, if the lookup failed; read only
	keys   int           // number of keys received
	err    error         // nil if answer can be used
}

// serviceState is the cached state of one service, guarded by the client's mu.
type serviceState struct {
	hasAnswer  bool           // answer is set
	answer     Answer         // the last one received
	refreshAt  time.Time      // when to refresh answer, before answer.Until
	pending    *pendingLookup // nil if no lookup is in progress
	failure    error          // of the last lookup; nil after a successful one
	pauseUntil time.Time      // no lookup before this time if failure is set
	keys       []spareKey     // oldest first
	waiting    int            // requests waiting for a key
}

// Lookup returns the instances to use for a service, given as team/service. The
// answer is cached until it expires and refreshed before that if Lookup is called
// in time; there is at most one lookup in progress for each service. If no
// instance can be reached, the last answer is returned and marked as stale.
//
// The error is a *LookupError or the context's error.
func (c *Client) Lookup(ctx context.Context, service string) (Answer, error) {
	if _, _, ok := splitService(service); !ok {
		err := &LookupError{Service: service, Refused: true, Errs: []error{&AnswerError{Reason: "service isn't team/service"}}}
		return Answer{}, errors.Annotate(err, "Client.Lookup")
	}
	answer, lookup, err := c.cached(service)
	if lookup == nil {
		return answer, errors.Annotate(err, "Client.Lookup")
	}
	select {
	case <-lookup.done:
		return lookup.answer.clone(lookup.answer.Stale), errors.Annotate(lookup.err, "Client.Lookup")
	case <-ctx.Done():
		return Answer{}, errors.Annotate(ctx.Err(), "Client.Lookup")
	}
}

// cached returns an answer or an error to use now, or a lookup to wait for.
func (c *Client) cached(service string) (Answer, *pendingLookup, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.state(service)
	paused := e.failure != nil && now.Before(e.pauseUntil)
	if e.hasAnswer && now.Before(e.answer.Until) {
		if !now.Before(e.refreshAt) && !paused {
			c.joinLookup(service, e)
		}
		return e.answer.clone(false), nil, nil
	}
	if !paused {
		return Answer{}, c.joinLookup(service, e), nil
	}
	answer, err := e.lastAnswer()
	return answer, nil, err
}

// lastAnswer returns the last answer, marked as stale, for use after a failed
// lookup. It returns the failure if there is no answer or an instance refused the
// lookup.
func (e *serviceState) lastAnswer() (Answer, error) {
	var failure *LookupError
	if errors.As(e.failure, &failure) && failure.Refused || !e.hasAnswer {
		return Answer{}, e.failure
	}
	return e.answer.clone(true), nil
}

func (a Answer) clone(stale bool) Answer {
	a.Instances = slices.Clone(a.Instances)
	a.Stale = stale
	return a
}

// state returns the state of a service, created if there is none. It needs c.mu.
func (c *Client) state(service string) *serviceState {
	e, ok := c.services[service]
	if !ok {
		e = &serviceState{}
		c.services[service] = e
	}
	return e
}

// joinLookup returns the lookup in progress, and starts one if there is none. It
// needs c.mu. The lookup doesn't use the context of any one caller, as others wait
// for it too.
func (c *Client) joinLookup(service string, e *serviceState) *pendingLookup {
	if e.pending == nil {
		e.pending = &pendingLookup{done: make(chan struct{})}
		keys := min(max(c.cfg.Keys, keysPerWaiter*e.waiting), max(c.cfg.Keys, maxKeys))
		go c.refresh(service, e, e.pending, c.lookupAddresses(e), keys)
	}
	return e.pending
}

// lookupAddresses returns the addresses at which to look the service up: those of
// the last answer, then the configured ones. It needs c.mu.
func (c *Client) lookupAddresses(e *serviceState) []string {
	var list []string
	for _, instance := range e.answer.Instances {
		list = append(list, instance.Address)
	}
	return append(list, c.shuffledEntries()...)
}

func (c *Client) refresh(service string, e *serviceState, lookup *pendingLookup, addresses []string, keys int) {
	failure := &LookupError{Service: service}
	defer close(lookup.done)
	order, _ := c.order(addresses)
	for _, address := range order {
		askedAt := time.Now()
		wire, ttl, err := c.queryInstance(service, address, keys)
		if err == nil {
			c.recordSuccess(address)
			c.storeAnswer(service, e, lookup, wire, askedAt, ttl, address)
			return
		}
		failure.Errs = append(failure.Errs, err)
		var status *StatusError
		if errors.As(err, &status) && status.Status < http.StatusInternalServerError {
			failure.Refused = true
			break
		}
		if status != nil && status.Reason == reasonOldSettings {
			c.recordRefusal(address)
			continue
		}
		c.recordFailure(address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e.pending = nil
	e.failure = failure
	lookup.answer, lookup.err = e.lastAnswer()
	e.pauseUntil = time.Now().Add(c.jitter(c.cfg.Pause, 0.5, 1.5))
}

// storeAnswer puts an answer into the cache. Its time to live counts from before
// the lookup was sent, so that the answer never outlives the limit set by the
// instance.
func (c *Client) storeAnswer(service string, e *serviceState, lookup *pendingLookup, wire wireAnswer, askedAt time.Time, ttl time.Duration, home string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	e.pending = nil
	e.failure = nil
	e.hasAnswer = true
	e.answer = Answer{Service: service, Place: wire.Place, Until: askedAt.Add(ttl), Instances: wire.Instances}
	e.refreshAt = askedAt.Add(c.jitter(ttl, refreshLow, refreshHigh))
	e.keys = slices.DeleteFunc(e.keys, func(s spareKey) bool { return !now.Before(s.expires) })
	for _, value := range wire.Keys {
		e.keys = append(e.keys, spareKey{key: Key{Value: value, Home: home}, expires: e.answer.Until})
	}
	lookup.answer, lookup.keys = e.answer.clone(false), len(wire.Keys)
}

// queryInstance makes one lookup at one instance and returns the answer with its
// time to live.
func (c *Client) queryInstance(service, address string, keys int) (wireAnswer, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Ask)
	defer cancel()
	url := fmt.Sprintf("http://%s/lookup/%s?keys=%d", address, service, keys)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return wireAnswer{}, 0, &AnswerError{Reason: "invalid lookup URL", Err: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return wireAnswer{}, 0, &AnswerError{Reason: "no answer from " + address, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return wireAnswer{}, 0, &StatusError{Address: address, Status: resp.StatusCode, Reason: resp.Header.Get(headerReason)}
	}
	wire, err := decodeAnswer(resp.Body)
	if err == nil && wire.Service != "" && !sameService(wire.Service, service) {
		err = &AnswerError{Reason: "names another service: " + wire.Service}
	}
	return wire, freshFor(resp.Header), err
}

// sameService reports whether got names the service, with or without its team.
func sameService(got, service string) bool {
	_, name, _ := splitService(service)
	return got == service || got == name
}
