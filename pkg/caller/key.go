package caller

import (
	"context"
	"slices"
	"time"
)

// key returns an unused key for a service. If none is left it waits for a lookup,
// and for the next one if other requests have taken all of its keys.
func (c *Client) key(ctx context.Context, service string) (Key, error) {
	key, lookup, err := c.takeKey(service, 0)
	for lookup != nil {
		select {
		case <-lookup.done:
		case <-ctx.Done():
			c.stopWaiting(service)
			return Key{}, ctx.Err()
		}
		if lookup.keys == 0 {
			c.stopWaiting(service)
			return Key{}, orDefault[error](lookup.err, &LookupError{Service: service, Errs: []error{&AnswerError{Reason: "contains no key"}}})
		}
		key, lookup, err = c.takeKey(service, 1)
	}
	return key, err
}

// takeKey returns a key, an error, or a lookup to wait for. It adds the request to
// the waiting ones if it returns a lookup. waiting is 1 if the request is counted
// as waiting already, else 0; that count is taken off first.
func (c *Client) takeKey(service string, waiting int) (Key, *pendingLookup, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.state(service)
	e.waiting -= waiting
	for len(e.keys) > 0 {
		s := e.keys[0]
		e.keys = e.keys[1:]
		if now.Before(s.expires) {
			return s.key, nil, nil
		}
	}
	if e.failure != nil && now.Before(e.pauseUntil) {
		return Key{}, nil, e.failure
	}
	e.waiting++
	return Key{}, c.joinLookup(service, e), nil
}

// stopWaiting removes a request from the count of those waiting for a key.
func (c *Client) stopWaiting(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(service).waiting--
}

// invalidate drops the unused keys whose home is at address, as that instance
// can't run requests now, and lets the next Lookup refresh the answer before it
// expires.
func (c *Client) invalidate(service, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.state(service)
	e.refreshAt = time.Time{}
	e.keys = slices.DeleteFunc(e.keys, func(s spareKey) bool { return s.key.Home == address })
}
