package caller

import (
	"slices"
	"time"
)

// maxAvoid is the longest back-off of an instance that keeps failing.
const maxAvoid = 30 * time.Second

// avoidList holds the instances that are backing off after a failure or a
// refusal. An instance that failed is tried last until its back-off ends; then
// one request probes it, and the others go on avoiding it until the probe is
// answered or its time-out passes. Calls must hold the client's lock.
type avoidList struct {
	initial      time.Duration // back-off after the first failure
	probeTimeout time.Duration // longest time that one request alone may probe an instance
	instances    map[string]failureState
}

// failureState is the state of an instance that has failed or refused a request
// since it last answered one.
type failureState struct {
	failures int       // consecutive; 0 if it was reached and refused
	until    time.Time // end of the back-off
}

func newAvoidList(initial, probeTimeout time.Duration) *avoidList {
	return &avoidList{initial: initial, probeTimeout: probeTimeout, instances: map[string]failureState{}}
}

// recordFailure records a failure; each consecutive one doubles the back-off, up
// to maxAvoid.
func (a *avoidList) recordFailure(now time.Time, address string) {
	f := a.instances[address]
	wait := min(a.initial<<min(f.failures, 10), max(maxAvoid, a.initial))
	a.instances[address] = failureState{failures: f.failures + 1, until: now.Add(wait)}
}

// recordRefusal records that an instance was reached but could not serve.
func (a *avoidList) recordRefusal(now time.Time, address string) {
	a.instances[address] = failureState{until: now.Add(a.initial)}
}

// recordSuccess clears an instance's failures.
func (a *avoidList) recordSuccess(address string) { delete(a.instances, address) }

// order returns the addresses without duplicates: available ones first, then
// those that refused, then those that failed. reached is the number of addresses
// before those that failed. An address whose back-off has ended counts as
// available for this call, which starts a probe of it.
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

// startProbe lets one request probe an instance whose back-off has ended. After
// a refusal it only clears the state, so that all requests use the instance again.
func (a *avoidList) startProbe(now time.Time, address string, f failureState) {
	if f.failures == 0 {
		delete(a.instances, address)
		return
	}
	f.until = now.Add(a.probeTimeout)
	a.instances[address] = f
}

// recordFailure puts an instance last in the order for the time of its back-off.
func (c *Client) recordFailure(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided.recordFailure(time.Now(), address)
}

// recordRefusal puts an instance behind the available ones for the time of its
// back-off.
func (c *Client) recordRefusal(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided.recordRefusal(time.Now(), address)
}

// recordSuccess clears an instance's failures, as it has answered.
func (c *Client) recordSuccess(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided.recordSuccess(address)
}

// order returns the addresses in the order to try them, and how many of them
// come before those that failed.
func (c *Client) order(addresses []string) ([]string, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.avoided.order(time.Now(), addresses)
}
