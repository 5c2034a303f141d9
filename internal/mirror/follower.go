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

// step is what to do after an attempt to follow a peer.
type step int

const (
	stepPeer  step = iota // poll a peer again
	stepStore             // read the store directly
	stepPause             // back off, then try again
)

// followPeer polls a peer for changes once, if one is to be followed.
func (m *Mirror) followPeer(ctx context.Context) step {
	answered := m.hasAnsweredAgain()
	if answered && m.tryRelaysFirst(ctx) {
		return stepPeer
	}
	address := m.peerToFollow(boottime.Now(), answered)
	if address == "" {
		return m.stepWithoutPeer(answered)
	}
	err := m.pollPeer(ctx, address, url.Values{}, relayTimeout)
	if err == nil {
		m.setFollowing(true)
		return stepPeer
	}
	m.fallbackPeer = ""
	if ctx.Err() != nil {
		return stepPause
	}
	m.avoidUntil[address] = boottime.Now().Add(backoffAfter(err))
	m.startDirectDelay()
	if m.isUnreachable() {
		return m.stepWithoutPeer(answered)
	}
	m.sink.RelayFailed(err)
	if m.peerToFollow(boottime.Now(), false) != "" {
		return stepPeer // the next relay is polled at once
	}
	next := m.stepWithoutPeer(answered)
	if next == stepStore {
		m.requestCheck()
	}
	return next
}

// hops returns how many relays the changes of the store pass on their way to this instance.
func (m *Mirror) hops() int {
	if m.peers.Hops == nil {
		return 1
	}
	return m.peers.Hops()
}

// waitsForRelays reports whether this instance leaves the store to others although it can follow no
// relay now. Most instances of a large region are behind two relays. The store can't serve all of
// them, and by the time they turn to it the relays mostly have found another way.
func (m *Mirror) waitsForRelays(now time.Time) bool {
	return m.listed && m.hops() > 1 && now.Before(m.directFrom)
}

// startDirectDelay sets from when on this instance may read the store, as its relay has failed.
func (m *Mirror) startDirectDelay() {
	if m.directFrom.IsZero() {
		m.directFrom = boottime.Now().Add(minDirectDelay + rand.N(directSpread))
	}
}

// directWait returns how long a watch of the store waits for changes. One behind two relays ends when
// a relay may be polled again: without changes it would stay with the store, and check it every
// second, for up to watchWait.
func (m *Mirror) directWait(now time.Time) time.Duration {
	if m.hops() == 1 {
		return watchWait
	}
	wait := watchWait
	for _, address := range m.peers.Relays() {
		wait = min(wait, max(recoveryWatchWait, m.avoidUntil[address].Sub(now)))
	}
	return wait
}

// stepWithoutPeer returns the next step if no peer can be followed. reached is whether the store
// had answered before the relays were polled. If it has answered only since then, the relays are
// polled first: otherwise three of five instances listed the store themselves when it came back
// while they were polling a peer.
func (m *Mirror) stepWithoutPeer(answered bool) step {
	if !m.isUnreachable() && m.waitsForRelays(boottime.Now()) {
		return stepPause
	}
	m.setFollowing(false)
	switch {
	case !m.isUnreachable():
		return stepStore
	case !m.hasAnsweredAgain():
		return stepPause
	case !answered:
		return stepPeer
	}
	m.clearAnsweredAgain()
	return stepStore
}

// tryRelaysFirst polls the relays once more when the store answers again, before this instance
// reads it directly, and reports whether to continue with peers. An instance that isn't a relay
// waits until the relays must have detected the return too. With 195 instances, the return of the
// store after 4.5 s took 1,600 calls within 4 s without this.
func (m *Mirror) tryRelaysFirst(ctx context.Context) bool {
	relays := m.peers.Relays()
	if m.relayWaitEnd.IsZero() {
		m.relayWaitEnd = boottime.Now()
		if len(relays) >= MaxRelays {
			m.relayWaitEnd = m.relayWaitEnd.Add(checkInterval + 2*checkGrace + time.Duration(m.hops()-1)*relayWait)
		}
	}
	for _, address := range relays {
		if m.pollPeer(ctx, address, url.Values{}, relayTimeout) == nil {
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

// backoffAfter returns how long a relay isn't polled after a failure.
func backoffAfter(err error) time.Duration {
	var failed *peerhttp.Error
	if errors.As(err, &failed) && failed.Status == http.StatusServiceUnavailable {
		return staleBackoff
	}
	return relayBackoff
}

// peerToFollow returns the address of the peer to follow now: the first relay that isn't backing
// off. While the store is unreachable too, other peers are tried in turn. It returns "" if there is
// no peer, or if the store itself is to be read because it answers again.
func (m *Mirror) peerToFollow(now time.Time, answered bool) string {
	unreachable := m.isUnreachable()
	if answered || !m.listed && !unreachable {
		return ""
	}
	for _, address := range m.peers.Relays() {
		if !now.Before(m.avoidUntil[address]) {
			return address
		}
	}
	if !unreachable {
		return ""
	}
	if m.fallbackPeer != "" {
		return m.fallbackPeer
	}
	others := m.peers.Fallbacks()
	if len(others) == 0 {
		return ""
	}
	m.peersAsked++
	return others[m.peersAsked%len(others)]
}

// relayLimits returns how old a peer's data may be, and how long its answer may take. Both are
// shorter if this instance is a relay of the first tier, because the instances after it fall back to
// it when the relay before it fails. Data that has passed two relays is older by the wait for changes.
func (m *Mirror) relayLimits() (age, answer time.Duration) {
	before := len(m.peers.Relays())
	if hops := m.hops(); hops > 1 || before == 0 {
		return min(twoHopMaxAge, relayMaxAge+time.Duration(hops-1)*relayWait), relayTimeout
	}
	sooner := time.Duration(MaxRelays-before) * relayStagger
	return relayMaxAge - sooner, relayTimeout - sooner
}

// pollPeer waits once for changes from a peer and applies them. query may hold further parameters
// of the call, and the answer has to begin within a time. Data that is too old is applied, and is an
// error nevertheless.
func (m *Mirror) pollPeer(ctx context.Context, address string, query url.Values, within time.Duration) error {
	query.Set("since", m.view.since().String())
	if m.isUnreachable() && !m.listed {
		query.Set(paramAnyAge, "1") // callers can be served with an old configuration, but not without any
	}
	limit, answer := m.relayLimits()
	within = min(within, answer)
	query.Set(paramPartial, "1")
	query.Set(paramMaxAge, strconv.FormatInt(limit.Milliseconds(), 10))
	begin := boottime.Now()
	var n peerUpdate
	var err error
	m.runNotifying(func() { n, err = m.fetch(ctx, address, query, within) })
	if err != nil {
		return err
	}
	now := boottime.Now()
	m.sink.Received(Delivery{
		From: address, Whole: n.whole, Changes: len(n.events), Revision: n.revision, Age: now.Sub(n.confirmedAt), Took: now.Sub(begin),
	})
	if query.Has(paramAnyAge) && boottime.Since(n.confirmedAt) > relayMaxAge {
		m.applyUpdate(n)
		return errors.Trace(&peerhttp.Error{Address: address, Status: http.StatusServiceUnavailable})
	}
	delete(m.avoidUntil, address)
	m.directFrom = time.Time{}
	if now.Sub(n.confirmedAt) <= twoHopMaxAge {
		m.markPeerReached(address)
	}
	m.applyUpdate(n)
	return nil
}

// markPeerReached records that a peer has current data of the store. If the peer is one of the
// relays, it stands for the store, and this instance need not check itself whether the store is
// back.
func (m *Mirror) markPeerReached(address string) {
	if !m.isUnreachable() {
		return
	}
	if slices.Contains(m.peers.Relays(), address) {
		m.fallbackPeer = ""
		m.setUnreachable(false)
		m.sink.Reachable()
		return
	}
	if m.fallbackPeer != address {
		m.sink.FollowingPeer(address)
	}
	m.fallbackPeer = address
}

// applyUpdate applies the answer of a peer.
func (m *Mirror) applyUpdate(n peerUpdate) {
	m.noteEpoch(n.revision)
	m.apply(func() []Change { return m.view.applyPeer(boottime.Now(), n) })
	m.markListed()
}

// requestCheck requests an immediate check of the store.
func (m *Mirror) requestCheck() {
	select {
	case m.checkNow <- struct{}{}:
	default:
	}
}
