package caller

import (
	"slices"
	"time"
)

// maxAvoid bounds how long an instance that keeps failing is avoided.
const maxAvoid = 30 * time.Second

// avoided holds the instances that failed. Each is tried last until its time
// has come; then one request tries it, and the others go on avoiding it until
// that one has an answer. It needs the client's lock.
type avoided struct {
	first     time.Duration // how long an instance is avoided after one failure
	trial     time.Duration // how long the one request that tries it may take
	instances map[string]failing
}

// failing is an instance that failed, or refused, since it last answered.
type failing struct {
	failures int       // in a row; 0 if it was reached and refused
	until    time.Time // it is tried last before
}

func newAvoided(first, trial time.Duration) *avoided {
	return &avoided{first: first, trial: trial, instances: map[string]failing{}}
}

// failed notes a failure; each in a row doubles the time.
func (a *avoided) failed(now time.Time, address string) {
	f := a.instances[address]
	wait := min(a.first<<min(f.failures, 10), max(maxAvoid, a.first))
	a.instances[address] = failing{failures: f.failures + 1, until: now.Add(wait)}
}

// refused notes that an instance was reached and could not serve.
func (a *avoided) refused(now time.Time, address string) {
	a.instances[address] = failing{until: now.Add(a.first)}
}

// worked forgets an instance's failures.
func (a *avoided) worked(address string) { delete(a.instances, address) }

// order returns the addresses, each once: those that refused come late, those
// that failed last. reached counts the ones before these. It lets this request
// try one whose time has come.
func (a *avoided) order(now time.Time, addresses []string) (order []string, reached int) {
	var first, late, last []string
	for _, address := range addresses {
		f, known := a.instances[address]
		switch {
		case slices.Contains(first, address), slices.Contains(late, address), slices.Contains(last, address):
		case !known:
			first = append(first, address)
		case !now.Before(f.until):
			a.try(now, address, f)
			first = append(first, address)
		case f.failures == 0:
			late = append(late, address)
		default:
			last = append(last, address)
		}
	}
	reached = len(first) + len(late)
	return slices.Concat(first, late, last), reached
}

// try lets one request try an instance whose time has come.
func (a *avoided) try(now time.Time, address string, f failing) {
	if f.failures == 0 {
		delete(a.instances, address)
		return
	}
	f.until = now.Add(a.trial)
	a.instances[address] = f
}

// avoid makes an instance the last to be tried for a while.
func (c *Client) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided.failed(time.Now(), address)
}

// refused makes an instance that refused a late one to be tried.
func (c *Client) refused(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided.refused(time.Now(), address)
}

// worked notes that an instance answered.
func (c *Client) worked(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided.worked(address)
}

// order returns the addresses in the order to try, and how many of them come
// before those that failed.
func (c *Client) order(addresses []string) ([]string, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.avoided.order(time.Now(), addresses)
}
