package mirror

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/tcp"
	"github.com/firlever/firlever/platform"
)

const (
	// batchDelay is the pause between two watches, in which changes accumulate. Each watch is
	// charged as one call, and changes have to be in force within two seconds or more.
	batchDelay = 150 * time.Millisecond
	// watchWait is how long a watch waits for changes, and answerMargin is how long its answer may
	// take beyond that: a slow store needs a quarter of a second.
	watchWait    = 20 * time.Second
	answerMargin = 2 * time.Second
	// minBackoff and maxBackoff bound the back-off after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// checkInterval is how often the store is asked for its revision, because a watch may stay open
	// and miss changes. With a bound of 2 s on changes, this leaves time for a list and for
	// checkGrace, within which the watch may still deliver them.
	checkInterval = time.Second
	checkGrace    = 200 * time.Millisecond
	// checkTimeout is how long a check may take. A slow store needs a quarter of a second, and a
	// silent one is detected within 2 s.
	checkTimeout = 900 * time.Millisecond
	// outageCheckInterval is how often instances that aren't relays check an unreachable store. The
	// relays check it every checkInterval, so they detect its return a little sooner, and the other
	// instances poll them. The interval leaves part of the 3 s after an outage in which nothing is
	// held against an instance.
	outageCheckInterval = 2*checkInterval + 300*time.Millisecond
	// recoveryWatchWait is how long the first watch after an outage waits. It is short so that the
	// recovery is reported soon.
	recoveryWatchWait = 200 * time.Millisecond
)

// Sink receives the mirror's results. Its methods are called by a single goroutine, except
// AnswerFailed and Answered.
type Sink interface {
	// Changed receives changes of the replica.
	Changed(changes []Change)
	// Listed reports that the whole store has been read for the first time.
	Listed()
	// ListRead reports the result of each list of the whole store.
	ListRead(r ListResult)
	// HistoryGone reports that the store no longer has the changes since a revision.
	HistoryGone(since platform.Revision)
	// Restored reports that the store was restored from a snapshot, and is in a later epoch than
	// the revision up to which changes were known.
	Restored(known platform.Revision, epoch uint64)
	// Unreachable reports that the store is unreachable.
	Unreachable(err error)
	// Reachable reports that the store is reachable again.
	Reachable()
	// FollowingPeer reports that a peer is followed while the store is unreachable.
	FollowingPeer(address string)
	// RelayFailed reports that a relay failed and isn't polled for a while.
	RelayFailed(err error)
	// PeersGivenUp reports that this instance, which has no data yet, goes on to read the store.
	PeersGivenUp(g GivenUp)
	// Received describes data of the store that is about to be applied, before the changes that
	// result from it are reported.
	Received(d Delivery)
	// AnswerFailed reports that an answer to a peer could not be encoded. It is called by any
	// goroutine.
	AnswerFailed(err error)
	// DroppedRedundant reports changes of the store that were not applied, as they are redundant.
	DroppedRedundant(n int)
	// Answered reports an answer to a peer. It is called by any goroutine.
	Answered(kind AnswerKind)
}

// Delivery describes data of the store as it was received.
type Delivery struct {
	From     string // address of the peer that sent it; "" if it came from the store itself
	Whole    bool   // it is all that the store holds, not the changes since
	Changes  int
	Revision platform.Revision // that it leads up to
	Age      time.Duration     // time since the store confirmed it
	Took     time.Duration     // of the call, including its wait for changes
}

// AnswerKind tells what a peer was answered.
type AnswerKind string

// Kinds of answers.
const (
	AnswerChanges AnswerKind = "changes"
	AnswerWhole   AnswerKind = "whole"   // all that the store holds
	AnswerNone    AnswerKind = "none"    // there were no changes
	AnswerTooOld  AnswerKind = "too-old" // the data was older than the peer accepts
)

// MaxRelays is how many instances of a region its other instances follow, each as a fallback for the
// one before. With three, if the store refuses a third of the instances, it refuses all relays in
// one of 27 outages.
const MaxRelays = 3

// Peers lists the instances that can be followed. Its functions must be safe for concurrent use.
type Peers struct {
	// Relays returns the addresses of the peers to follow instead of the store: the relays of the
	// region that come before this instance, or all of them if it is no relay, in the order on
	// which all instances of the region agree. If there are none, this instance follows the store
	// itself.
	Relays func() []string
	// Hops returns how many relays the changes of the store pass on their way to this instance, if
	// it follows relays. nil: one.
	Hops func() int
	// Fallbacks returns the addresses to poll when the store is unreachable.
	Fallbacks func() []string
	// Seeds are the addresses to poll at the start, before any instance is known. It is empty if
	// this instance is a seed or if there are none.
	Seeds []string
	// Self is the address at which others poll this instance, and LinkMbps the bandwidth of its link;
	// 0 if not known.
	Self     string
	LinkMbps float64
	// Registered returns the addresses of the instances whose records are among items of the store.
	// It may be nil.
	Registered func(items []platform.Item) []string
	// Redundant reports whether a change of the store says nothing that doesn't follow from the item
	// that the store held before, which is in use. Such changes are neither applied nor passed on. It
	// may be nil.
	Redundant func(stored platform.Item, e platform.Event) bool
	// Transport is used for calls to peers. nil: TCP, with the time-outs of package tcp.
	Transport http.RoundTripper
	// Budget is what answers of peers take from; nil has no bound.
	Budget *http1.Budget
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
}

// Mirror follows the store, or an instance that does. As an http.Handler it serves the peers that
// follow it.
type Mirror struct {
	store     *platform.Store
	sink      Sink
	peers     Peers
	client    *http.Client  // for calls to peers
	checkNow  chan struct{} // requests an immediate check
	storeBack chan struct{} // ends a back-off when the store answers again
	view      *view
	answers   answerCache
	holders   holders
	releases  releases
	reading   atomic.Bool               // the whole store is being read for the first time
	receiving atomic.Bool               // an answer of a peer is being received
	appliedAt atomic.Pointer[time.Time] // when the store confirmed the view before the changes that are being applied; nil if none are

	listed       bool
	avoidUntil   map[string]time.Time // by address: relays that failed aren't polled before
	fallbackPeer string               // the peer that is followed while the store and all relays are unreachable
	peersAsked   int                  // peers polled as fallback so far; selects the next one
	directFrom   time.Time            // from when on the store is read although relays may be found; zero while a peer is followed
	relayWaitEnd time.Time            // until when relays are waited for after the store has answered again; zero if it hasn't

	mu            sync.Mutex
	cancelWatch   context.CancelFunc // cancels the pending watch; nil if there is none; guarded by mu
	watches       int                // watches so far; guarded by mu
	watchMissed   bool               // the watch has missed changes; guarded by mu
	checkErr      error              // error of the failed check that canceled the watch; guarded by mu
	following     bool               // a peer is being followed; guarded by mu
	unreachable   bool               // the store can't be reached; guarded by mu
	answeredAgain bool               // the store has answered a check since it became unreachable; guarded by mu
}

// New returns a mirror of a store.
func New(store *platform.Store, sink Sink, peers Peers, order Order) *Mirror {
	if peers.Transport == nil {
		peers.Transport = http1.NewTransport(&http.Transport{DialContext: tcp.NewDialer("").DialContext, MaxIdleConnsPerHost: 1})
	}
	return &Mirror{
		store: store, sink: sink, peers: peers, client: &http.Client{Transport: http1.HoldAnswers(peers.Transport, peers.Budget)},
		checkNow: make(chan struct{}, 1), storeBack: make(chan struct{}, 1),
		holders: holders{linkMbps: peers.LinkMbps}, view: newView(order), avoidUntil: make(map[string]time.Time),
	}
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	var checks sync.WaitGroup
	checks.Go(func() { m.runChecks(ctx) })
	defer checks.Wait()
	m.bootstrap(ctx)
	pause := minBackoff
	for ctx.Err() == nil {
		next := m.followPeer(ctx)
		if next == stepPeer {
			pause = minBackoff
			continue
		}
		if next == stepStore && m.read(ctx) == nil {
			pause = minBackoff
			sleep(ctx, batchDelay)
			continue
		}
		m.backOff(ctx, pause)
		pause = min(2*pause, maxBackoff)
	}
}

// markListed records that the whole store is known, and reports it the first time.
func (m *Mirror) markListed() {
	if !m.listed {
		m.listed = true
		m.sink.Listed()
	}
}

// read lists the store if that is due, and otherwise watches it once.
func (m *Mirror) read(ctx context.Context) error {
	err := m.sync(ctx)
	if ctx.Err() != nil {
		return err // the instance is stopping; this is no outage
	}
	return m.handleOutcome(err)
}

func (m *Mirror) sync(ctx context.Context) error {
	if m.isUnreachable() {
		// Keys whose leases expired during the outage may be written again, so the first list must
		// not remove them at once, even if the outage lasted longer than removalDelay.
		m.view.markOutage(boottime.Now())
	}
	if !m.listed || m.takeMissed() {
		return m.list(ctx)
	}
	err := m.watch(ctx)
	var historyErr *platform.HistoryError
	if errors.As(err, &historyErr) {
		m.sink.HistoryGone(m.view.history.latest())
		return m.list(ctx)
	}
	return err
}

// handleOutcome updates whether the store is reachable, and reports a change to the sink.
func (m *Mirror) handleOutcome(err error) error {
	switch {
	case err == nil:
		m.markReachable()
	case errors.Is(err, errWatchCanceled):
		return nil
	default:
		m.view.markOutage(boottime.Now())
		if !m.setUnreachable(true) {
			m.sink.Unreachable(err)
		}
	}
	return err
}

// markReachable records that the store is reachable again, if it was not.
func (m *Mirror) markReachable() {
	if !m.setUnreachable(false) {
		return
	}
	m.fallbackPeer = ""
	m.view.markOutage(boottime.Now())
	m.sink.Reachable()
}

// list reads the whole store. Its pages are no consistent snapshot, so a watch follows for the
// changes since the first page.
func (m *Mirror) list(ctx context.Context) error {
	begin := boottime.Now()
	var items []platform.Item
	var at platform.Revision
	var err error
	if m.listed {
		m.runNotifying(func() { items, at, err = m.store.List(ctx, "", false) })
	} else {
		items, at, err = m.firstList(ctx)
	}
	var stopped *platform.StoppedError
	if errors.As(err, &stopped) {
		return nil
	}
	if err != nil {
		return err
	}
	m.noteEpoch(at)
	now := boottime.Now()
	m.sink.Received(Delivery{Whole: true, Changes: len(items), Revision: at, Age: now.Sub(begin), Took: now.Sub(begin)})
	m.apply(func() []Change {
		reading, changes := m.view.applyList(now, items, at, begin)
		m.sink.ListRead(reading)
		return changes
	})
	m.markListed()
	return nil
}

// noteEpoch records that the store was at a revision. If its epoch is new, the store was restored
// from a snapshot, which is reported to the sink.
func (m *Mirror) noteEpoch(at platform.Revision) {
	if !m.view.isRestored(at) {
		return
	}
	m.store.ObserveEpoch(at.Epoch())
	m.sink.Restored(m.Revision(), at.Epoch())
}

// errWatchCanceled is returned by a watch that was canceled because its connection may be dead or
// because it has missed changes.
var errWatchCanceled = errors.New("mirror: watch canceled for a restart")

// watch waits for changes once and applies them.
func (m *Mirror) watch(ctx context.Context) error {
	wait := m.directWait(boottime.Now())
	if m.isUnreachable() {
		wait = recoveryWatchWait
	}
	inner, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	m.setWatch(cancel)
	defer m.setWatch(nil)
	begin := boottime.Now()
	var events []platform.Event
	var since platform.Revision
	var err error
	m.runNotifying(func() { events, since, err = m.store.Watch(inner, "", m.view.history.latest(), wait) })
	if errors.Is(inner.Err(), context.Canceled) && ctx.Err() == nil {
		if failed := m.takeCheckErr(); failed != nil {
			return failed
		}
		return errWatchCanceled
	}
	if err != nil {
		return err
	}
	received := len(events)
	if m.peers.Redundant != nil {
		events = m.view.copy.WithoutRedundant(events, m.peers.Redundant)
		m.sink.DroppedRedundant(received - len(events))
	}
	now := boottime.Now()
	m.sink.Received(Delivery{Changes: received, Revision: since, Age: now.Sub(begin), Took: now.Sub(begin)})
	if received == 0 {
		begin = time.Time{} // an empty answer may come from a watch that misses changes
	}
	m.apply(func() []Change {
		return m.view.applyBatch(now, batch{events: events, revision: since, confirmedAt: begin})
	})
	return nil
}

// apply updates the view and passes the resulting changes to the sink, if there are any.
func (m *Mirror) apply(update func() []Change) {
	at := m.view.history.confirmed()
	m.appliedAt.Store(&at)
	defer m.appliedAt.Store(nil)
	if changes := update(); len(changes) > 0 {
		m.sink.Changed(changes)
	}
}

// runNotifying runs a blocking call, and meanwhile reports the changes whose delay ends. The call
// must not touch the replica.
func (m *Mirror) runNotifying(call func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		call()
	}()
	for {
		resumed := boottime.Resumed()
		select {
		case <-done:
			return
		case <-m.dueTimer():
			m.apply(func() []Change { return m.view.applyBatch(boottime.Now(), batch{}) })
		case <-resumed: // recompute the timer: the delay may have ended during a suspension
		}
	}
}

// dueTimer returns a channel that fires when the next delay ends; nil if nothing is delayed.
func (m *Mirror) dueTimer() <-chan time.Time {
	next := m.view.copy.NextDue()
	if next.IsZero() {
		return nil
	}
	return time.After(boottime.Until(next))
}

// backOff waits for a pause, or until the store answers again.
func (m *Mirror) backOff(ctx context.Context, pause time.Duration) {
	m.runNotifying(func() {
		select {
		case <-ctx.Done():
		case <-m.storeBack:
		case <-time.After(pause):
		}
	})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
