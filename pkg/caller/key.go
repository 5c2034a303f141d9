package caller

import (
	"context"
	"slices"
	"time"
)

// key returns a spare key for a service. Without one it waits for a look-up,
// and for the next one when others were quicker to take its keys.
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
			return Key{}, orDefault[error](lookup.err, &LookupError{Service: service, Errs: []error{&AnswerError{Reason: "holds no key"}}})
		}
		key, lookup, err = c.takeKey(service, 1)
	}
	return key, err
}

// takeKey returns a key, an error, or a look-up to wait for. It counts the
// request among those that wait, or off them; waited is how often it counts.
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

// stopWaiting counts a request off those that wait for a key.
func (c *Client) stopWaiting(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(service).waiting--
}

// invalidate drops the spare keys whose home is at address, which can't run
// requests now, and has the service looked up again ahead of the deadline.
func (c *Client) invalidate(service, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.state(service)
	e.refreshAt = time.Time{}
	e.keys = slices.DeleteFunc(e.keys, func(s spareKey) bool { return s.key.Home == address })
}
