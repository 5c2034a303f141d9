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
	keysEach = 2   // for each that waits
	maxKeys  = 256 // at most, unless Config.Keys is more
)

// spare is a key that no request was sent with yet.
type spare struct {
	key   Key
	until time.Time // when it is given up, by our clock; its home may know better
}

// flight is one look-up under way, which any number of callers wait for.
type flight struct {
	done   chan struct{} // closed when all else here is set, for good
	answer Answer        // the last known one, stale, when none came; read only
	keys   int           // keys that came
	err    error         // nil when answer can be used
}

// entry is what the client knows of one service. The client's mu guards it.
type entry struct {
	known   bool      // answer holds one
	answer  Answer    // the last
	refresh time.Time // when to ask again ahead of answer.Until
	flight  *flight   // nil when no look-up is under way
	failure error     // of the last look-up; nil after a good one
	pause   time.Time // no look-up before this when failure is set
	keys    []spare   // oldest first
	waiting int       // requests that wait for a key
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
	answer, f, err := c.cached(service)
	if f == nil {
		return answer, errors.Annotate(err, "Client.Lookup")
	}
	select {
	case <-f.done:
		return f.answer.clone(f.answer.Stale), errors.Annotate(f.err, "Client.Lookup")
	case <-ctx.Done():
		return Answer{}, errors.Annotate(ctx.Err(), "Client.Lookup")
	}
}

// cached returns an answer or an error to use now, or a look-up to wait for.
func (c *Client) cached(service string) (Answer, *flight, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(service)
	paused := e.failure != nil && now.Before(e.pause)
	if e.known && now.Before(e.answer.Until) {
		if !now.Before(e.refresh) && !paused {
			c.fly(service, e)
		}
		return e.answer.clone(false), nil, nil
	}
	if !paused {
		return Answer{}, c.fly(service, e), nil
	}
	answer, err := e.fallback()
	return answer, nil, err
}

// fallback returns what to use after a look-up failed: the last answer, or the
// failure when there is none or an instance refused the look-up.
func (e *entry) fallback() (Answer, error) {
	var failure *LookupError
	if errors.As(e.failure, &failure) && failure.Refused || !e.known {
		return Answer{}, e.failure
	}
	return e.answer.clone(true), nil
}

func (a Answer) clone(stale bool) Answer {
	a.Instances = slices.Clone(a.Instances)
	a.Stale = stale
	return a
}

// entry returns what is known of a service. It needs c.mu.
func (c *Client) entry(service string) *entry {
	e, ok := c.services[service]
	if !ok {
		e = &entry{}
		c.services[service] = e
	}
	return e
}

// fly returns the look-up under way, started here if there is none. It needs
// c.mu. The look-up isn't bound to any one caller's context, as others wait too.
func (c *Client) fly(service string, e *entry) *flight {
	if e.flight == nil {
		e.flight = &flight{done: make(chan struct{})}
		keys := min(max(c.cfg.Keys, keysEach*e.waiting), max(c.cfg.Keys, maxKeys))
		go c.refresh(service, e, e.flight, c.askable(e), keys)
	}
	return e.flight
}

// askable returns the addresses to ask. It needs c.mu.
func (c *Client) askable(e *entry) []string {
	var list []string
	for _, instance := range e.answer.Instances {
		list = append(list, instance.Address)
	}
	return append(list, c.shuffled()...)
}

func (c *Client) refresh(service string, e *entry, f *flight, addresses []string, keys int) {
	failure := &LookupError{Service: service}
	defer close(f.done)
	order, _ := c.order(addresses)
	for _, address := range order {
		asked := time.Now()
		wire, life, err := c.ask(service, address, keys)
		if err == nil {
			c.worked(address)
			c.keep(service, e, f, wire, asked, life, address)
			return
		}
		failure.Errs = append(failure.Errs, err)
		var status *StatusError
		if errors.As(err, &status) && status.Status < http.StatusInternalServerError {
			failure.Refused = true
			break
		}
		c.avoid(address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e.flight = nil
	e.failure = failure
	f.answer, f.err = e.fallback()
	e.pause = time.Now().Add(c.jitter(c.cfg.Pause, 0.5, 1.5))
}

// keep puts an answer into the cache. Its life counts from before it was asked
// for, so that it never lasts longer than the instance meant.
func (c *Client) keep(service string, e *entry, f *flight, wire wireAnswer, asked time.Time, life time.Duration, home string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	e.flight = nil
	e.failure = nil
	e.known = true
	e.answer = Answer{Service: service, Place: wire.Place, Until: asked.Add(life), Instances: wire.Instances}
	e.refresh = asked.Add(c.jitter(life, refreshLow, refreshHigh))
	e.keys = slices.DeleteFunc(e.keys, func(s spare) bool { return !now.Before(s.until) })
	for _, value := range wire.Keys {
		e.keys = append(e.keys, spare{key: Key{Value: value, Home: home}, until: e.answer.Until})
	}
	f.answer, f.keys = e.answer.clone(false), len(wire.Keys)
}

// ask makes one look-up at one instance.
func (c *Client) ask(service, address string, keys int) (wireAnswer, time.Duration, error) {
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
