package caller

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Bounds of the drawn part of an answer's life after which it is refreshed.
const (
	refreshLow  = 0.6
	refreshHigh = 0.9
)

// Keys asked for with a look-up while requests wait for them.
const (
	keysPerWaiter = 2   // for each that waits
	maxKeys       = 256 // at most, unless Config.Keys is more
)

// spareKey is a key that no request was sent with yet.
type spareKey struct {
	key     Key
	expires time.Time // when it is given up, by our clock; its home may know better
}

// pendingLookup is one look-up under way, which any number of callers wait for.
type pendingLookup struct {
	done   chan struct{} // closed when all else here is set, for good
	answer Answer        // the last known one, stale, when none came; read only
	keys   int           // keys that came
	err    error         // nil when answer can be used
}

// serviceState is what the client knows of one service. The client's mu guards it.
type serviceState struct {
	hasAnswer  bool           // answer holds one
	answer     Answer         // the last
	refreshAt  time.Time      // when to ask again ahead of answer.Until
	pending    *pendingLookup // nil when no look-up is under way
	failure    error          // of the last look-up; nil after a good one
	pauseUntil time.Time      // no look-up before this when failure is set
	keys       []spareKey     // oldest first
	waiting    int            // requests that wait for a key
}

// Lookup returns the instances to use for a service, written team/service. The
// answer comes from the cache until its deadline; one look-up at a time is made
// for a service, ahead of the deadline where there are callers. When no
// instance can be reached, the last answer is returned as stale.
//
// The error is a *LookupError, or the context's.
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

// cached returns an answer or an error to use now, or a look-up to wait for.
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

// lastAnswer returns what to use after a look-up failed: the last answer, or the
// failure when there is none or an instance refused the look-up.
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

// state returns what is known of a service. It needs c.mu.
func (c *Client) state(service string) *serviceState {
	e, ok := c.services[service]
	if !ok {
		e = &serviceState{}
		c.services[service] = e
	}
	return e
}

// joinLookup returns the look-up under way, started here if there is none. It needs
// c.mu. The look-up isn't bound to any one caller's context, as others wait too.
func (c *Client) joinLookup(service string, e *serviceState) *pendingLookup {
	if e.pending == nil {
		e.pending = &pendingLookup{done: make(chan struct{})}
		keys := min(max(c.cfg.Keys, keysPerWaiter*e.waiting), max(c.cfg.Keys, maxKeys))
		go c.refresh(service, e, e.pending, c.lookupAddresses(e), keys)
	}
	return e.pending
}

// lookupAddresses returns the addresses to ask. It needs c.mu.
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
		c.recordFailure(address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e.pending = nil
	e.failure = failure
	lookup.answer, lookup.err = e.lastAnswer()
	e.pauseUntil = time.Now().Add(c.jitter(c.cfg.Pause, 0.5, 1.5))
}

// storeAnswer puts an answer into the cache. Its life counts from before it was asked
// for, so that it never lasts longer than the instance meant.
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

// queryInstance makes one look-up at one instance.
func (c *Client) queryInstance(service, address string, keys int) (wireAnswer, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Ask)
	defer cancel()
	url := fmt.Sprintf("http://%s/lookup/%s?keys=%d", address, service, keys)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return wireAnswer{}, 0, &AnswerError{Reason: "can't be asked for", Err: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return wireAnswer{}, 0, &AnswerError{Reason: "no answer from " + address, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return wireAnswer{}, 0, &StatusError{Address: address, Status: resp.StatusCode}
	}
	wire, err := decodeAnswer(resp.Body)
	if err == nil && wire.Service != "" && !sameService(wire.Service, service) {
		err = &AnswerError{Reason: "is for " + wire.Service}
	}
	return wire, freshFor(resp.Header), err
}

// sameService says whether an answer names the service, with or without its team.
func sameService(got, service string) bool {
	_, name, _ := splitService(service)
	return got == service || got == name
}
