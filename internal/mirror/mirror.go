package mirror

import (
	"context"
	"errors"
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
	// Changed takes changes of the copy; listed says that the whole store has
	// been read at least once.
	Changed(changes []Change, listed bool)
	// Lost and Found tell that the store is out of reach, and that it is back.
	Lost(err error)
	Found()
}

// Mirror follows the store.
type Mirror struct {
	store *platform.Store
	sink  Sink
	copy  *Copy

	listed bool
	lost   bool

	mu     sync.Mutex
	since  platform.Revision  // the copy holds the changes up to here; guarded by mu
	kick   context.CancelFunc // ends the watch that waits; guarded by mu
	missed bool               // the watch has missed changes; guarded by mu
}

// New makes a mirror of a store.
func New(store *platform.Store, sink Sink) *Mirror {
	return &Mirror{store: store, sink: sink, copy: NewCopy()}
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
		err := m.step(ctx)
		if err == nil {
			pause = retryFirst
			m.sleep(ctx, gather)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		m.sleep(ctx, pause)
		pause = min(2*pause, retryMost)
	}
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

// outcome tells the sink whether the store is in reach.
func (m *Mirror) outcome(err error) error {
	switch {
	case err == nil:
		if m.lost {
			m.lost = false
			m.copy.Outage(time.Now())
			m.sink.Found()
		}
	case errors.Is(err, errKicked):
		return nil
	default:
		m.copy.Outage(time.Now())
		if !m.lost {
			m.lost = true
			m.sink.Lost(err)
		}
	}
	return err
}

// list reads the whole store. Pages are no snapshot: the changes since the first
// are watched for.
func (m *Mirror) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*answerTime)
	defer cancel()
	var items []platform.Item
	var since platform.Revision
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
	m.advance(since)
	m.listed = true
	m.sink.Changed(m.copy.Replace(time.Now(), items), true)
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
	from := m.since
	m.mu.Unlock()
	events, since, err := m.store.Watch(inner, "", from, wait)
	if errors.Is(inner.Err(), context.Canceled) && ctx.Err() == nil {
		return errKicked
	}
	if err != nil {
		m.flush()
		return err
	}
	m.advance(since)
	changes := m.copy.Apply(time.Now(), events)
	changes = append(changes, m.copy.Due(time.Now())...)
	if len(changes) > 0 {
		m.sink.Changed(changes, true)
	}
	return nil
}

// check asks for the store's revision now and then. Changes that the watch has not
// delivered though it had the time are read by a list.
func (m *Mirror) check(ctx context.Context) {
	for ctx.Err() == nil {
		m.sleep(ctx, checkEvery)
		inner, cancel := context.WithTimeout(ctx, answerTime)
		revision, err := m.store.Revision(inner)
		cancel()
		if err != nil || !m.behind(revision) {
			continue // the watch and the lease tell that the store is out of reach
		}
		m.sleep(ctx, checkGrace)
		if m.behind(revision) {
			m.miss()
		}
	}
}

// behind says whether the copy lacks changes up to a revision.
func (m *Mirror) behind(revision platform.Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.since > 0 && m.since < revision
}

// miss ends the watch that waits, for a list instead.
func (m *Mirror) miss() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.missed = true
	if m.kick != nil {
		m.kick()
	}
}

func (m *Mirror) takeMissed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	missed := m.missed
	m.missed = false
	return missed
}

func (m *Mirror) advance(since platform.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.since = max(m.since, since)
}

// flush removes what is due while the store is out of reach: nothing, as each
// failure delays it, but for keys that were missing before.
func (m *Mirror) flush() {
	if due := m.copy.Due(time.Now()); len(due) > 0 {
		m.sink.Changed(due, true)
	}
}

func (m *Mirror) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
