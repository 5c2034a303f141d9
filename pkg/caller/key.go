package caller

import (
	"context"
	"slices"
	"time"
)

// key returns a spare key for a service. Without one it waits for a look-up,
// and for the next one when others were quicker to take its keys.
func (c *Client) key(ctx context.Context, service string) (Key, error) {
	key, f, err := c.spareKey(service, 0)
	for f != nil {
		select {
		case <-f.done:
		case <-ctx.Done():
			c.leave(service)
			return Key{}, ctx.Err()
		}
		if f.keys == 0 {
			c.leave(service)
			return Key{}, or[error](f.err, &LookupError{Service: service, Errs: []error{&AnswerError{Reason: "holds no key"}}})
		}
		key, f, err = c.spareKey(service, 1)
	}
	return key, err
}

// spareKey returns a key, an error, or a look-up to wait for. It counts the
// request among those that wait, or off them; waited is how often it counts.
func (c *Client) spareKey(service string, waited int) (Key, *flight, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(service)
	e.waiting -= waited
	for len(e.keys) > 0 {
		s := e.keys[0]
		e.keys = e.keys[1:]
		if now.Before(s.until) {
			return s.key, nil, nil
		}
	}
	if e.failure != nil && now.Before(e.pause) {
		return Key{}, nil, e.failure
	}
	e.waiting++
	return Key{}, c.fly(service, e), nil
}

// leave counts a request off those that wait for a key.
func (c *Client) leave(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry(service).waiting--
}

// forget drops the spare keys whose home is at address, which can't run
// requests now, and has the service looked up again ahead of the deadline.
func (c *Client) forget(service, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(service)
	e.refresh = time.Time{}
	e.keys = slices.DeleteFunc(e.keys, func(s spare) bool { return s.key.Home == address })
}
