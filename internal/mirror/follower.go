package mirror

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/peerhttp"
)

// step is what follows on a try to learn from a peer.
type step int

const (
	stepPeer  step = iota // a peer again
	stepStore             // the store, by oneself
	stepRest              // the store after a pause: it is out of reach
)

// follow waits once for changes from a peer, if one is to be followed.
func (m *Mirror) follow(ctx context.Context) step {
	reached := m.isReached()
	if reached && m.relaysFirst(ctx) {
		return stepPeer
	}
	address := m.leader(boottime.Now(), reached)
	if address == "" {
		m.setFollowing(false)
		return m.alone(reached)
	}
	err := m.learn(ctx, address, url.Values{})
	if err == nil {
		m.setFollowing(true)
		return stepPeer
	}
	m.via = ""
	if ctx.Err() != nil {
		return stepRest
	}
	m.avoided[address] = boottime.Now().Add(pauseAfter(err))
	if m.isLost() {
		m.setFollowing(false)
		return m.alone(reached)
	}
	m.sink.Alone(err)
	if m.leader(boottime.Now(), false) != "" {
		return stepPeer // the next relay is asked at once
	}
	m.setFollowing(false)
	m.checkSoon()
	return stepStore
}

// alone says how to go on without a peer. reached says whether the store had answered
// before the relays were asked. If it did so only since, they come first: three of five
// instances listed the store by themselves, as it came back while they waited for a peer.
func (m *Mirror) alone(reached bool) step {
	switch {
	case !m.isLost():
		return stepStore
	case !m.isReached():
		return stepRest
	case !reached:
		return stepPeer
	}
	m.clearReached()
	return stepStore
}

// relaysFirst asks the relays once more when the store answers again, before this
// instance reads it by itself. It says whether to go on so: who comes after all relays
// waits until they must have noticed too. With 195 instances, the return of the store
// after 4.5 s took 1,600 calls within 4 s.
func (m *Mirror) relaysFirst(ctx context.Context) bool {
	relays := m.peers.Relays()
	if m.patient.IsZero() {
		m.patient = boottime.Now()
		if len(relays) >= Relays {
			m.patient = m.patient.Add(checkEvery + 2*checkGrace)
		}
	}
	for _, address := range relays {
		if m.learn(ctx, address, url.Values{}) == nil {
			m.patient = time.Time{}
			m.setFollowing(true)
			return true
		}
	}
	if boottime.Now().Before(m.patient) {
		sleep(ctx, ahead)
		return true
	}
	m.patient = time.Time{}
	clear(m.avoided)
	if len(relays) > 0 {
		m.found()
	}
	return false
}

// pauseAfter is how long a relay is left alone after a failure.
func pauseAfter(err error) time.Duration {
	var failed *peerhttp.Error
	if errors.As(err, &failed) && failed.Status == http.StatusServiceUnavailable {
		return staleSoon
	}
	return relayPause
}

// leader is the peer to follow now; "" if there is none: the first relay that has not
// just failed. While the store is out of reach too, one peer after the other is tried.
// It is the store itself once that has been reached again.
func (m *Mirror) leader(now time.Time, reached bool) string {
	lost := m.isLost()
	if reached || !m.listed && !lost {
		return ""
	}
	for _, address := range m.peers.Relays() {
		if !now.Before(m.avoided[address]) {
			return address
		}
	}
	if !lost {
		return ""
	}
	if m.via != "" {
		return m.via
	}
	others := m.peers.Others()
	if len(others) == 0 {
		return ""
	}
	m.asked++
	return others[m.asked%len(others)]
}

// limits are how old a peer's knowledge may be, and how long its answer may take: less
// for a relay that others come to when the one before it fails.
func (m *Mirror) limits() (age, answer time.Duration) {
	before := len(m.peers.Relays())
	if before == 0 {
		return relayAge, relayTime
	}
	sooner := time.Duration(Relays-before) * ahead
	return relayAge - sooner, relayTime - sooner
}

// learn waits once for changes from a peer. query may hold further parameters of the
// call. What a peer knew that is too old is taken, and is an error all the same.
func (m *Mirror) learn(ctx context.Context, address string, query url.Values) error {
	query.Set("since", m.known.since().String())
	if m.isLost() && !m.listed {
		query.Set(anyAge, "1") // an old configuration serves callers, none doesn't
	}
	limit, within := m.limits()
	query.Set(maxAge, strconv.FormatInt(limit.Milliseconds(), 10))
	var n news
	var err error
	m.during(func() { n, err = m.call(ctx, address, query, within) })
	if err != nil {
		return err
	}
	if query.Has(anyAge) && boottime.Since(n.confirmed) > relayAge {
		m.adopt(n)
		return errors.Trace(&peerhttp.Error{Address: address, Status: http.StatusServiceUnavailable})
	}
	delete(m.avoided, address)
	m.regain(address)
	m.adopt(n)
	return nil
}

// regain notes that a peer knows the store. One that is followed for that in any case
// stands for the store: this instance need not ask for itself whether that is back.
func (m *Mirror) regain(address string) {
	if !m.isLost() {
		return
	}
	if slices.Contains(m.peers.Relays(), address) {
		m.via = ""
		m.setLost(false)
		m.sink.Found()
		return
	}
	if m.via != address {
		m.sink.Through(address)
	}
	m.via = address
}

// adopt takes in what a peer said.
func (m *Mirror) adopt(n news) {
	m.enter(n.revision)
	m.tell(m.known.adopt(boottime.Now(), n))
	m.begun()
}

// begin learns all from a seed, if there is one that knows it: a list of 816 targets
// takes 17 calls to the store and more. When all start at once, the seeds list it and
// the others wait for them; with 195 instances that saves 380 calls. Who finds no seed
// that knows lists the store.
func (m *Mirror) begin(ctx context.Context) {
	patience := againTime
	if m.peers.First {
		patience = firstTime
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	first := rand.IntN(max(1, len(m.peers.Seeds))) // they share the starts
	for i := first; len(m.peers.Seeds) > 0 && ctx.Err() == nil; i++ {
		address := m.peers.Seeds[i%len(m.peers.Seeds)]
		err := m.learn(ctx, address, url.Values{anyAge: {"1"}})
		if err == nil {
			return
		}
		if !m.known.history.at().IsZero() {
			m.sink.Alone(err) // what it knew was old: a relay or the store tells the rest
			return
		}
		sleep(ctx, beginPause)
	}
}

// checkSoon asks for a check of the store at once.
func (m *Mirror) checkSoon() {
	select {
	case m.soon <- struct{}{}:
	default:
	}
}
