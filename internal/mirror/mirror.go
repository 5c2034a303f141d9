package mirror

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/tcp"
	"github.com/firlever/firlever/platform"
)

const (
	// batchDelay is how long changes are left to batchDelay between two watches. A watch is
	// priced by the call; bounds on changes are two seconds and more.
	batchDelay = 150 * time.Millisecond
	// watchWait is how long a watch waits for changes, and answerTime how long its
	// answer may take beyond that: a slow store needs a quarter of a second.
	watchWait    = 20 * time.Second
	answerMargin = 2 * time.Second
	// retryMin and retryMost bound the pause after a call that failed.
	retryMin = 50 * time.Millisecond
	retryMax = 500 * time.Millisecond
	// checkInterval is how often the store is asked for its revision, as a watch may
	// wait on and miss changes: a bound of 2 s on changes leaves this, a list, and
	// checkGrace, in which the watch may still deliver them.
	checkInterval = time.Second
	checkGrace    = 200 * time.Millisecond
	// checkTimeout is how long a check may take: a slow store needs a quarter of a
	// second, and a silent one is noticed within 2 s.
	checkTimeout = 900 * time.Millisecond
	// outageCheckInterval is how often those that come after all relays ask a store that is out of
	// reach: the relays ask it each checkEvery, a moment sooner, and are asked themselves.
	// It leaves a part of the 3 s after an outage in which nothing is held against an
	// instance.
	outageCheckInterval = 2*checkInterval + 300*time.Millisecond
	// firstStartTimeout is how long an instance asks the seeds when the whole system starts for
	// the first time: all start within 0.3 s, seconds before callers come.
	firstStartTimeout = 800 * time.Millisecond
	// restartTimeout is the same at any later start, when callers wait: some round trips between
	// regions. With firstTime, 1,300 more of 4,600 requests were refused in the 2 s after
	// a power loss of 195 instances, as the seeds came back last.
	restartTimeout = 150 * time.Millisecond
	seedRetryDelay = 50 * time.Millisecond // between two questions
	// recoveryWatchWait is how long the first watch after an outage waits, to show soon that the
	// store is back.
	recoveryWatchWait = 200 * time.Millisecond
)

// Sink takes what the mirror finds. Its methods are called by one goroutine, but for
// AnswerFailed.
type Sink interface {
	// Changed takes changes of the copy.
	Changed(changes []Change)
	// Listed tells that the whole store has been read for the first time.
	Listed()
	// Read tells what each reading of the whole store brought.
	Read(r Reading)
	// Forgotten tells that the store doesn't have the changes since a revision.
	Forgotten(since platform.Revision)
	// Restored tells that the store has come back from a copy of itself, and is in an epoch
	// after that of the revision up to which changes were known.
	Restored(known platform.Revision, epoch uint64)
	// Lost and Found tell that the store is out of reach, and that it is back.
	Lost(err error)
	Found()
	// Through tells that a peer is followed while the store is out of reach.
	Through(address string)
	// Alone tells that the relay is given up for a while.
	Alone(err error)
	// AnswerFailed tells that an answer to a peer could not be made. It is called by any
	// goroutine.
	AnswerFailed(err error)
}

// Relays is how many instances of a region are followed by its others, one in place of
// the other: with a third of the instances turned away by the store, all of them are in
// one outage of 27.
const Relays = 3

// Peers tells which instances can be followed. Its functions must be safe for
// concurrent use.
type Peers struct {
	// Relays are the addresses of the peers to follow instead of the store, in the order
	// of a region on which all its instances agree, and Relays at most: those that come
	// before this instance. Without any it follows the store itself.
	Relays func() []string
	// Others are the addresses to ask when the store is out of reach.
	Others func() []string
	// Seeds are the addresses to ask at the start, before any instance is known; none if
	// this instance is one of them, or if there are none.
	Seeds []string
	// First says that the whole system starts for the first time.
	First bool
}

// Mirror follows the store, or an instance that does. It is an http.Handler for
// the peers that follow it.
type Mirror struct {
	store     *platform.Store
	sink      Sink
	peers     Peers
	client    *http.Client  // calls peers
	checkNow  chan struct{} // asks for a check at once
	storeBack chan struct{} // ends a pause, as the store answers again
	view      view
	answers   answerCache

	listed       bool
	avoidUntil   map[string]time.Time // relays that failed are not asked before
	fallbackPeer string               // the peer that is followed while the store and all relays are out of reach
	peersAsked   int                  // peers that were asked for that
	relayWaitEnd time.Time            // until when relays are waited for after the store has answered again; zero if it has not

	mu            sync.Mutex
	cancelWatch   context.CancelFunc // ends the watch that waits; guarded by mu
	watchMissed   bool               // the watch has missed changes; guarded by mu
	checkErr      error              // of a check, for which the watch was ended; guarded by mu
	following     bool               // a peer is followed; guarded by mu
	unreachable   bool               // the store is out of reach; guarded by mu
	answeredAgain bool               // the store has answered a check since it was lost; guarded by mu
}

// New makes a mirror of a store.
func New(store *platform.Store, sink Sink, peers Peers, order Order) *Mirror {
	transport := &http.Transport{DialContext: tcp.NewDialer("").DialContext, MaxIdleConnsPerHost: 1}
	return &Mirror{
		store: store, sink: sink, peers: peers, client: &http.Client{Transport: transport},
		checkNow: make(chan struct{}, 1), storeBack: make(chan struct{}, 1),
		view: newView(order), avoidUntil: make(map[string]time.Time),
	}
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	var checks sync.WaitGroup
	checks.Go(func() { m.runChecks(ctx) })
	defer checks.Wait()
	m.bootstrap(ctx)
	pause := retryMin
	for ctx.Err() == nil {
		next := m.followPeer(ctx)
		if next == stepPeer {
			pause = retryMin
			continue
		}
		if next == stepStore && m.read(ctx) == nil {
			pause = retryMin
			sleep(ctx, batchDelay)
			continue
		}
		m.backOff(ctx, pause)
		pause = min(2*pause, retryMax)
	}
}

// markListed notes that the whole store is known.
func (m *Mirror) markListed() {
	if !m.listed {
		m.listed = true
		m.sink.Listed()
	}
}

// read lists the store if that is due, or watches it once.
func (m *Mirror) read(ctx context.Context) error {
	err := m.sync(ctx)
	if ctx.Err() != nil {
		return err // the instance stops: nothing is lost
	}
	return m.handleOutcome(err)
}

func (m *Mirror) sync(ctx context.Context) error {
	if m.isUnreachable() {
		// What lapsed meanwhile may come back: the first list after an outage of over
		// settle must not take it away.
		m.view.replica.MarkOutage(boottime.Now())
	}
	if !m.listed || m.takeMissed() {
		return m.list(ctx)
	}
	err := m.watch(ctx)
	var gone *platform.HistoryError
	if errors.As(err, &gone) {
		m.sink.Forgotten(m.view.history.latest())
		return m.list(ctx)
	}
	return err
}

// handleOutcome tells the sink and the peers whether the store is in reach.
func (m *Mirror) handleOutcome(err error) error {
	switch {
	case err == nil:
		m.markReachable()
	case errors.Is(err, errWatchCanceled):
		return nil
	default:
		m.view.replica.MarkOutage(boottime.Now())
		if !m.setUnreachable(true) {
			m.sink.Lost(err)
		}
	}
	return err
}

// markReachable notes that the store is back, if it was lost.
func (m *Mirror) markReachable() {
	if !m.setUnreachable(false) {
		return
	}
	m.fallbackPeer = ""
	m.view.replica.MarkOutage(boottime.Now())
	m.sink.Found()
}

// list reads the whole store. Pages are no snapshot: the changes since the first
// are watched for.
func (m *Mirror) list(ctx context.Context) error {
	begin := boottime.Now()
	var items []platform.Item
	var at platform.Revision
	var err error
	m.runNotifying(func() { items, at, err = m.store.List(ctx, "", false) })
	if err != nil {
		return err
	}
	m.noteEpoch(at)
	reading, changes := m.view.applyList(boottime.Now(), items, at, begin)
	m.sink.Read(reading)
	m.notify(changes)
	m.markListed()
	return nil
}

// noteEpoch notes that the store was at a revision.
func (m *Mirror) noteEpoch(at platform.Revision) {
	if !m.view.isRestored(at) {
		return
	}
	m.store.Reached(at.Epoch())
	m.sink.Restored(m.Revision(), at.Epoch())
}

// errWatchCanceled says that a watch was ended as its connection may be dead, or as it has
// missed changes.
var errWatchCanceled = errors.New("mirror: watch ended to begin anew")

// watch waits for changes once.
func (m *Mirror) watch(ctx context.Context) error {
	wait := watchWait
	if m.isUnreachable() {
		wait = recoveryWatchWait
	}
	inner, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	m.mu.Lock()
	m.cancelWatch = cancel
	m.mu.Unlock()
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
	if len(events) == 0 {
		begin = time.Time{} // an empty answer may come from a deaf watch
	}
	m.notify(m.view.applyBatch(boottime.Now(), batch{events: events, revision: since, confirmedAt: begin}))
	return nil
}

// notify tells of changes, if there are any.
func (m *Mirror) notify(changes []Change) {
	if len(changes) > 0 {
		m.sink.Changed(changes)
	}
}

// runNotifying runs a call that waits for others, and meanwhile tells of the changes whose delay
// ends. The call must leave the copy alone.
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
			m.notify(m.view.applyBatch(boottime.Now(), batch{}))
		case <-resumed: // the delay may be over
		}
	}
}

// dueTimer fires when the next delay ends. It is nil if nothing is delayed.
func (m *Mirror) dueTimer() <-chan time.Time {
	next := m.view.replica.NextDue()
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
