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
	// gather is how long changes are left to gather between two watches. A watch is
	// priced by the call; bounds on changes are two seconds and more.
	gather = 150 * time.Millisecond
	// watchWait is how long a watch waits for changes, and answerTime how long its
	// answer may take beyond that: a slow store needs a quarter of a second.
	watchWait  = 20 * time.Second
	answerTime = 2 * time.Second
	// retryFirst and retryMost bound the pause after a call that failed.
	retryFirst = 50 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// checkEvery is how often the store is asked for its revision, as a watch may
	// wait on and miss changes: a bound of 2 s on changes leaves this, a list, and
	// checkGrace, in which the watch may still deliver them.
	checkEvery = time.Second
	checkGrace = 200 * time.Millisecond
	// checkTime is how long a check may take: a slow store needs a quarter of a
	// second, and a silent one is noticed within 2 s.
	checkTime = 900 * time.Millisecond
	// lostCheck is how often those that come after all relays ask a store that is out of
	// reach: the relays ask it each checkEvery, a moment sooner, and are asked themselves.
	// It leaves a part of the 3 s after an outage in which nothing is held against an
	// instance.
	lostCheck = 2*checkEvery + 300*time.Millisecond
	// firstTime is how long an instance asks the seeds when the whole system starts for
	// the first time: all start within 0.3 s, seconds before callers come.
	firstTime = 800 * time.Millisecond
	// againTime is the same at any later start, when callers wait: some round trips between
	// regions. With firstTime, 1,300 more of 4,600 requests were refused in the 2 s after
	// a power loss of 195 instances, as the seeds came back last.
	againTime  = 150 * time.Millisecond
	beginPause = 50 * time.Millisecond // between two questions
	// firstWatch is how long the first watch after an outage waits, to show soon that the
	// store is back.
	firstWatch = 200 * time.Millisecond
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
	store   *platform.Store
	sink    Sink
	peers   Peers
	client  *http.Client  // calls peers
	soon    chan struct{} // asks for a check at once
	back    chan struct{} // ends a pause, as the store answers again
	known   knowledge
	answers answers

	listed  bool
	avoided map[string]time.Time // relays that failed are not asked before
	via     string               // the peer that is followed while the store and all relays are out of reach
	asked   int                  // peers that were asked for that
	patient time.Time            // until when relays are waited for after the store has answered again; zero if it has not

	mu        sync.Mutex
	kick      context.CancelFunc // ends the watch that waits; guarded by mu
	missed    bool               // the watch has missed changes; guarded by mu
	failed    error              // of a check, for which the watch was ended; guarded by mu
	following bool               // a peer is followed; guarded by mu
	lost      bool               // the store is out of reach; guarded by mu
	reached   bool               // the store has answered a check since it was lost; guarded by mu
}

// New makes a mirror of a store.
func New(store *platform.Store, sink Sink, peers Peers, order Order) *Mirror {
	transport := &http.Transport{DialContext: tcp.NewDialer("").DialContext, MaxIdleConnsPerHost: 1}
	return &Mirror{
		store: store, sink: sink, peers: peers, client: &http.Client{Transport: transport},
		soon: make(chan struct{}, 1), back: make(chan struct{}, 1),
		known: newKnowledge(order), avoided: make(map[string]time.Time),
	}
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	var checks sync.WaitGroup
	checks.Go(func() { m.check(ctx) })
	defer checks.Wait()
	m.begin(ctx)
	pause := retryFirst
	for ctx.Err() == nil {
		next := m.follow(ctx)
		if next == stepPeer {
			pause = retryFirst
			continue
		}
		if next == stepStore && m.read(ctx) == nil {
			pause = retryFirst
			sleep(ctx, gather)
			continue
		}
		m.rest(ctx, pause)
		pause = min(2*pause, retryMost)
	}
}

// begun notes that the whole store is known.
func (m *Mirror) begun() {
	if !m.listed {
		m.listed = true
		m.sink.Listed()
	}
}

// read lists the store if that is due, or watches it once.
func (m *Mirror) read(ctx context.Context) error {
	err := m.ask(ctx)
	if ctx.Err() != nil {
		return err // the instance stops: nothing is lost
	}
	return m.outcome(err)
}

func (m *Mirror) ask(ctx context.Context) error {
	if m.isLost() {
		// What lapsed meanwhile may come back: the first list after an outage of over
		// settle must not take it away.
		m.known.copy.Outage(boottime.Now())
	}
	if !m.listed || m.takeMissed() {
		return m.list(ctx)
	}
	err := m.watch(ctx)
	var gone *platform.HistoryError
	if errors.As(err, &gone) {
		m.sink.Forgotten(m.known.history.at())
		return m.list(ctx)
	}
	return err
}

// outcome tells the sink and the peers whether the store is in reach.
func (m *Mirror) outcome(err error) error {
	switch {
	case err == nil:
		m.found()
	case errors.Is(err, errKicked):
		return nil
	default:
		m.known.copy.Outage(boottime.Now())
		if !m.setLost(true) {
			m.sink.Lost(err)
		}
	}
	return err
}

// found notes that the store is back, if it was lost.
func (m *Mirror) found() {
	if !m.setLost(false) {
		return
	}
	m.via = ""
	m.known.copy.Outage(boottime.Now())
	m.sink.Found()
}

// list reads the whole store. Pages are no snapshot: the changes since the first
// are watched for.
func (m *Mirror) list(ctx context.Context) error {
	begin := boottime.Now()
	var items []platform.Item
	var at platform.Revision
	var err error
	m.during(func() { items, at, err = m.store.List(ctx, "", false) })
	if err != nil {
		return err
	}
	m.enter(at)
	reading, changes := m.known.list(boottime.Now(), items, at, begin)
	m.sink.Read(reading)
	m.tell(changes)
	m.begun()
	return nil
}

// enter notes that the store was at a revision.
func (m *Mirror) enter(at platform.Revision) {
	if !m.known.restored(at) {
		return
	}
	m.store.Reached(at.Epoch())
	m.sink.Restored(m.Revision(), at.Epoch())
}

// errKicked says that a watch was ended as its connection may be dead, or as it has
// missed changes.
var errKicked = errors.New("mirror: watch ended to begin anew")

// watch waits for changes once.
func (m *Mirror) watch(ctx context.Context) error {
	wait := watchWait
	if m.isLost() {
		wait = firstWatch
	}
	inner, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	m.mu.Lock()
	m.kick = cancel
	m.mu.Unlock()
	begin := boottime.Now()
	var events []platform.Event
	var since platform.Revision
	var err error
	m.during(func() { events, since, err = m.store.Watch(inner, "", m.known.history.at(), wait) })
	if errors.Is(inner.Err(), context.Canceled) && ctx.Err() == nil {
		if failed := m.takeFailed(); failed != nil {
			return failed
		}
		return errKicked
	}
	if err != nil {
		return err
	}
	if len(events) == 0 {
		begin = time.Time{} // an empty answer may come from a deaf watch
	}
	m.tell(m.known.take(boottime.Now(), growth{events: events, revision: since, confirmed: begin}))
	return nil
}

// tell tells of changes, if there are any.
func (m *Mirror) tell(changes []Change) {
	if len(changes) > 0 {
		m.sink.Changed(changes)
	}
}

// during runs a call that waits for others, and meanwhile tells of the changes whose delay
// ends. The call must leave the copy alone.
func (m *Mirror) during(call func()) {
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
		case <-m.due():
			m.tell(m.known.take(boottime.Now(), growth{}))
		case <-resumed: // the delay may be over
		}
	}
}

// due fires when the next delay ends. It is nil if nothing is delayed.
func (m *Mirror) due() <-chan time.Time {
	next := m.known.copy.NextDue()
	if next.IsZero() {
		return nil
	}
	return time.After(boottime.Until(next))
}

// rest waits for a pause, or until the store answers again.
func (m *Mirror) rest(ctx context.Context, pause time.Duration) {
	m.during(func() {
		select {
		case <-ctx.Done():
		case <-m.back:
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
