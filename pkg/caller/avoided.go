package caller

import (
	"slices"
	"time"
)

// maxAvoid bounds how long an instance that keeps failing is avoided.
const maxAvoid = 30 * time.Second

// avoidList holds the instances that failed. Each is tried last until its time
// has come; then one request tries it, and the others go on avoiding it until
// that one has an answer. It needs the client's lock.
type avoidList struct {
	initial      time.Duration // how long an instance is avoided after one failure
	probeTimeout time.Duration // how long the one request that tries it may take
	instances    map[string]failureState
}

// failureState is an instance that failed, or refused, since it last answered.
type failureState struct {
	failures int       // in a row; 0 if it was reached and refused
	until    time.Time // it is tried last before
}

func newAvoidList(initial, probeTimeout time.Duration) *avoidList {
	return &avoidList{initial: initial, probeTimeout: probeTimeout, instances: map[string]failureState{}}
}

// recordFailure notes a failure; each in a row doubles the time.
func (a *avoidList) recordFailure(now time.Time, address string) {
	f := a.instances[address]
	wait := min(a.initial<<min(f.failures, 10), max(maxAvoid, a.initial))
	a.instances[address] = failureState{failures: f.failures + 1, until: now.Add(wait)}
}

// recordRefusal notes that an instance was reached and could not serve.
func (a *avoidList) recordRefusal(now time.Time, address string) {
	a.instances[address] = failureState{until: now.Add(a.initial)}
}

// recordSuccess forgets an instance's failures.
func (a *avoidList) recordSuccess(address string) { delete(a.instances, address) }

// order returns the addresses, each once: those that refused come late, those
// that failed last. reached counts the ones before these. It lets this request
// try one whose time has come.
func (a *avoidList) order(now time.Time, addresses []string) (order []string, reached int) {
	var first, late, last []string
	for _, address := range addresses {
		f, known := a.instances[address]
		switch {
		case slices.Contains(first, address), slices.Contains(late, address), slices.Contains(last, address):
		case !known:
			first = append(first, address)
		case !now.Before(f.until):
			a.startProbe(now, address, f)
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

// startProbe lets one request startProbe an instance whose time has come.
func (a *avoidList) startProbe(now time.Time, address string, f failureState) {
	if f.failures == 0 {
		delete(a.instances, address)
		return
	}
	f.until = now.Add(a.probeTimeout)
	a.instances[address] = f
}

// recordFailure makes an instance the last to be tried for a while.
func (c *Client) recordFailure(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided.recordFailure(time.Now(), address)
}

// recordRefusal makes an instance that recordRefusal a late one to be tried.
func (c *Client) recordRefusal(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided.recordRefusal(time.Now(), address)
}

// recordSuccess notes that an instance answered.
func (c *Client) recordSuccess(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided.recordSuccess(address)
}

// order returns the addresses in the order to try, and how many of them come
// before those that failed.
func (c *Client) order(addresses []string) ([]string, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.avoided.order(time.Now(), addresses)
}
