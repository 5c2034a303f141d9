package mirror

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

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
	// settleCheck is how often delayed removals are looked at.
	settleCheck = 200 * time.Millisecond
)

// Sink takes what the mirror finds. Its methods are called by one goroutine.
type Sink interface {
	// Changed takes changes of the copy.
	Changed(changes []Change)
	// Listed tells that the whole store has been read for the first time.
	Listed()
	// Lost and Found tell that the store is out of reach, and that it is back.
	Lost(err error)
	Found()
	// Alone tells that the relay is given up for a while.
	Alone(err error)
}

// Mirror follows the store, or an instance that does. It is an http.Handler for
// the peers that follow it.
type Mirror struct {
	store   *platform.Store
	sink    Sink
	relay   func() string // address of the peer to follow; "" for the store
	peers   *http.Client  // calls relays
	copy    *Copy
	history *history

	listed bool
	lost   bool
	alone  time.Time // no relay is asked before

	mu        sync.Mutex
	kick      context.CancelFunc // ends the watch that waits; guarded by mu
	missed    bool               // the watch has missed changes; guarded by mu
	following bool               // a relay is followed; guarded by mu
}

// New makes a mirror of a store. relay names the peer to follow instead, if there
// is one; it must be safe for concurrent use.
func New(store *platform.Store, sink Sink, relay func() string) *Mirror {
	return &Mirror{
		store: store, sink: sink, relay: relay, copy: NewCopy(), history: newHistory(),
		peers: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

// Kick ends a waiting watch, which then begins anew: its connection may be dead.
func (m *Mirror) Kick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kick != nil {
		m.kick()
	}
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	var checks sync.WaitGroup
	checks.Go(func() { m.check(ctx) })
	defer checks.Wait()
	pause := retryFirst
	for ctx.Err() == nil {
		if m.followed(ctx) {
			continue
		}
		err := m.step(ctx)
		if err == nil {
			pause = retryFirst
			sleep(ctx, gather)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, pause)
		pause = min(2*pause, retryMost)
	}
}

// followed waits once for changes from a relay. It says whether there was one that
// knows the store.
func (m *Mirror) followed(ctx context.Context) bool {
	address := m.relay()
	if address == "" || !m.listed || time.Now().Before(m.alone) {
		m.setFollowing(false)
		return false
	}
	events, revision, confirmed, err := m.follow(ctx, address, m.history.at())
	if err != nil {
		m.setFollowing(false)
		if ctx.Err() == nil {
			m.alone = time.Now().Add(relayPause)
			m.sink.Alone(err)
		}
		return false
	}
	if m.lost {
		m.found()
	}
	m.setFollowing(true)
	m.take(events, revision)
	m.history.confirm(confirmed, false)
	return true
}

// step lists the store if that is due, or watches it once.
func (m *Mirror) step(ctx context.Context) error {
	if !m.listed || m.takeMissed() {
		return m.outcome(m.list(ctx))
	}
	err := m.watch(ctx)
	var gone *platform.HistoryError
	if errors.As(err, &gone) {
		return m.outcome(m.list(ctx))
	}
	return m.outcome(err)
}

// outcome tells the sink and the peers whether the store is in reach.
func (m *Mirror) outcome(err error) error {
	switch {
	case err == nil:
		if m.lost {
			m.found()
		}
	case errors.Is(err, errKicked):
		return nil
	default:
		m.history.lose()
		m.copy.Outage(time.Now())
		if !m.lost {
			m.lost = true
			m.sink.Lost(err)
		}
	}
	return err
}

func (m *Mirror) found() {
	m.lost = false
	m.copy.Outage(time.Now())
	m.sink.Found()
}

// list reads the whole store. Pages are no snapshot: the changes since the first
// are watched for.
func (m *Mirror) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*answerTime)
	defer cancel()
	var items []platform.Item
	var since platform.Revision
	begin := time.Now()
	for after := ""; ; {
		page, err := m.store.Range(ctx, "", after, false)
		if err != nil {
			return err
		}
		if after == "" {
			since = page.AsOf
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	first := !m.listed
	m.listed = true
	m.take(m.copy.Difference(items, since), since)
	m.history.confirm(begin, true)
	if first {
		m.sink.Listed()
	}
	return nil
}

// errKicked says that a watch was ended by Kick.
var errKicked = errors.New("mirror: watch ended to begin anew")

// watch waits for changes once.
func (m *Mirror) watch(ctx context.Context) error {
	wait := watchWait
	if len(m.copy.missing) > 0 {
		wait = settleCheck
	}
	inner, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	m.mu.Lock()
	m.kick = cancel
	m.mu.Unlock()
	events, since, err := m.store.Watch(inner, "", m.history.at(), wait)
	if errors.Is(inner.Err(), context.Canceled) && ctx.Err() == nil {
		return errKicked
	}
	if err != nil {
		m.take(nil, 0) // removals may be due
		return err
	}
	m.take(events, since)
	return nil
}

// take takes in events that lead up to a revision.
func (m *Mirror) take(events []platform.Event, revision platform.Revision) {
	m.history.add(events, revision)
	now := time.Now()
	changes := append(m.copy.Apply(now, events), m.copy.Due(now)...)
	if len(changes) > 0 {
		m.sink.Changed(changes)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
