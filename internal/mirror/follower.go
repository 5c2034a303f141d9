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
	stepPause             // the store after a pause: it is out of reach
)

// followPeer waits once for changes from a peer, if one is to be followed.
func (m *Mirror) followPeer(ctx context.Context) step {
	reached := m.hasAnsweredAgain()
	if reached && m.tryRelaysFirst(ctx) {
		return stepPeer
	}
	address := m.peerToFollow(boottime.Now(), reached)
	if address == "" {
		m.setFollowing(false)
		return m.stepWithoutPeer(reached)
	}
	err := m.pollPeer(ctx, address, url.Values{})
	if err == nil {
		m.setFollowing(true)
		return stepPeer
	}
	m.fallbackPeer = ""
	if ctx.Err() != nil {
		return stepPause
	}
	m.avoidUntil[address] = boottime.Now().Add(backoffAfter(err))
	if m.isUnreachable() {
		m.setFollowing(false)
		return m.stepWithoutPeer(reached)
	}
	m.sink.Alone(err)
	if m.peerToFollow(boottime.Now(), false) != "" {
		return stepPeer // the next relay is asked at once
	}
	m.setFollowing(false)
	m.requestCheck()
	return stepStore
}

// stepWithoutPeer says how to go on without a peer. reached says whether the store had answered
// before the relays were asked. If it did so only since, they come first: three of five
// instances listed the store by themselves, as it came back while they waited for a peer.
func (m *Mirror) stepWithoutPeer(reached bool) step {
	switch {
	case !m.isUnreachable():
		return stepStore
	case !m.hasAnsweredAgain():
		return stepPause
	case !reached:
		return stepPeer
	}
	m.clearAnsweredAgain()
	return stepStore
}

// tryRelaysFirst asks the relays once more when the store answers again, before this
// instance reads it by itself. It says whether to go on so: who comes after all relays
// waits until they must have noticed too. With 195 instances, the return of the store
// after 4.5 s took 1,600 calls within 4 s.
func (m *Mirror) tryRelaysFirst(ctx context.Context) bool {
	relays := m.peers.Relays()
	if m.relayWaitEnd.IsZero() {
		m.relayWaitEnd = boottime.Now()
		if len(relays) >= Relays {
			m.relayWaitEnd = m.relayWaitEnd.Add(checkInterval + 2*checkGrace)
		}
	}
	for _, address := range relays {
		if m.pollPeer(ctx, address, url.Values{}) == nil {
			m.relayWaitEnd = time.Time{}
			m.setFollowing(true)
			return true
		}
	}
	if boottime.Now().Before(m.relayWaitEnd) {
		sleep(ctx, relayStagger)
		return true
	}
	m.relayWaitEnd = time.Time{}
	clear(m.avoidUntil)
	if len(relays) > 0 {
		m.markReachable()
	}
	return false
}

// backoffAfter is how long a relay is left alone after a failure.
func backoffAfter(err error) time.Duration {
	var failed *peerhttp.Error
	if errors.As(err, &failed) && failed.Status == http.StatusServiceUnavailable {
		return staleBackoff
	}
	return relayBackoff
}

// peerToFollow is the peer to follow now; "" if there is none: the first relay that has not
// just failed. While the store is out of reach too, one peer after the other is tried.
// It is the store itself once that has been reached again.
func (m *Mirror) peerToFollow(now time.Time, reached bool) string {
	lost := m.isUnreachable()
	if reached || !m.listed && !lost {
		return ""
	}
	for _, address := range m.peers.Relays() {
		if !now.Before(m.avoidUntil[address]) {
			return address
		}
	}
	if !lost {
		return ""
	}
	if m.fallbackPeer != "" {
		return m.fallbackPeer
	}
	others := m.peers.Others()
	if len(others) == 0 {
		return ""
	}
	m.peersAsked++
	return others[m.peersAsked%len(others)]
}

// relayLimits are how old a peer's knowledge may be, and how long its answer may take: less
// for a relay that others come to when the one before it fails.
func (m *Mirror) relayLimits() (age, answer time.Duration) {
	before := len(m.peers.Relays())
	if before == 0 {
		return relayMaxAge, relayTimeout
	}
	sooner := time.Duration(Relays-before) * relayStagger
	return relayMaxAge - sooner, relayTimeout - sooner
}

// pollPeer waits once for changes from a peer. query may hold further parameters of the
// call. What a peer knew that is too old is taken, and is an error all the same.
func (m *Mirror) pollPeer(ctx context.Context, address string, query url.Values) error {
	query.Set("since", m.view.since().String())
	if m.isUnreachable() && !m.listed {
		query.Set(paramAnyAge, "1") // an old configuration serves callers, none doesn't
	}
	limit, within := m.relayLimits()
	query.Set(paramMaxAge, strconv.FormatInt(limit.Milliseconds(), 10))
	var n peerUpdate
	var err error
	m.runNotifying(func() { n, err = m.fetch(ctx, address, query, within) })
	if err != nil {
		return err
	}
	if query.Has(paramAnyAge) && boottime.Since(n.confirmedAt) > relayMaxAge {
		m.applyUpdate(n)
		return errors.Trace(&peerhttp.Error{Address: address, Status: http.StatusServiceUnavailable})
	}
	delete(m.avoidUntil, address)
	m.markPeerReached(address)
	m.applyUpdate(n)
	return nil
}

// markPeerReached notes that a peer knows the store. One that is followed for that in any case
// stands for the store: this instance need not ask for itself whether that is back.
func (m *Mirror) markPeerReached(address string) {
	if !m.isUnreachable() {
		return
	}
	if slices.Contains(m.peers.Relays(), address) {
		m.fallbackPeer = ""
		m.setUnreachable(false)
		m.sink.Found()
		return
	}
	if m.fallbackPeer != address {
		m.sink.Through(address)
	}
	m.fallbackPeer = address
}

// applyUpdate takes in what a peer said.
func (m *Mirror) applyUpdate(n peerUpdate) {
	m.noteEpoch(n.revision)
	m.notify(m.view.applyPeer(boottime.Now(), n))
	m.markListed()
}

// bootstrap learns all from a seed, if there is one that knows it: a list of 816 targets
// takes 17 calls to the store and more. When all start at once, the seeds list it and
// the others wait for them; with 195 instances that saves 380 calls. Who finds no seed
// that knows lists the store.
func (m *Mirror) bootstrap(ctx context.Context) {
	patience := restartTimeout
	if m.peers.First {
		patience = firstStartTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	first := rand.IntN(max(1, len(m.peers.Seeds))) // they share the starts
	for i := first; len(m.peers.Seeds) > 0 && ctx.Err() == nil; i++ {
		address := m.peers.Seeds[i%len(m.peers.Seeds)]
		err := m.pollPeer(ctx, address, url.Values{paramAnyAge: {"1"}})
		if err == nil {
			return
		}
		if !m.view.history.latest().IsZero() {
			m.sink.Alone(err) // what it knew was old: a relay or the store tells the rest
			return
		}
		sleep(ctx, seedRetryDelay)
	}
}

// requestCheck asks for a check of the store at once.
func (m *Mirror) requestCheck() {
	select {
	case m.checkNow <- struct{}{}:
	default:
	}
}
