package mirror

import (
	"context"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/platform"
)

// check asks the store for its revision now and then. Changes that the watch has
// not delivered though it had the time are read by a list. When the store answers
// again after it did not, a waiting watch begins anew on another connection; when
// it does not answer, the watch ends too, as it may wait in vain.
//
// A store that gives no answer is asked as often as one that refuses: with pauses from
// the end of each check, relays noticed its return after up to 1.9 s, and those who wait
// 1.4 s for them listed it themselves.
func (m *Mirror) check(ctx context.Context) {
	failed := false
	last := boottime.Now() // the end of the last check that was answered, or the begin of one that failed
	for ctx.Err() == nil {
		resumed := boottime.Resumed() // much may have changed when the machine goes on
		select {
		case <-ctx.Done():
			return
		case <-m.soon:
		case <-resumed:
		case <-time.After(boottime.Until(last.Add(m.checkPause(failed)))):
		}
		last = boottime.Now()
		if m.isFollowing() && !m.isLost() {
			continue // the relay checks
		}
		err := m.checkOnce(ctx)
		if err == nil {
			last = boottime.Now()
		}
		switch {
		case err != nil:
			m.fail(err)
		case failed || m.isLost():
			m.reach()
		}
		failed = err != nil
	}
}

// checkPause is how long until the next check. A check that failed tells of the loss
// before the watch that it ends does: with the watch alone, each instance of a region
// asked a silent store once more, 1 s after the first check.
func (m *Mirror) checkPause(failed bool) time.Duration {
	if (failed || m.isLost()) && len(m.peers.Relays()) >= Relays {
		return lostCheck
	}
	return checkEvery
}

func (m *Mirror) checkOnce(ctx context.Context) error {
	begin := boottime.Now()
	inner, cancel := context.WithTimeout(ctx, checkTime)
	defer cancel()
	revision, err := m.store.Revision(inner)
	if err != nil {
		return err
	}
	if m.behind(revision) {
		sleep(ctx, checkGrace)
	}
	if m.behind(revision) {
		m.miss()
		return nil
	}
	m.known.history.confirm(revision, begin)
	return nil
}

// behind says whether the copy lacks changes up to a revision.
func (m *Mirror) behind(revision platform.Revision) bool {
	at := m.known.history.at()
	return !at.IsZero() && revision.After(at)
}

// miss ends the watch that waits, for a list instead.
func (m *Mirror) miss() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.missed = true
	m.endWatch()
}

// fail ends the watch that waits, as the store does not answer.
func (m *Mirror) fail(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failed = err
	m.endWatch()
}

// takeFailed returns why a check failed since the last call, or nil.
func (m *Mirror) takeFailed() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.failed
	m.failed = nil
	return err
}

// reach notes that the store answers.
func (m *Mirror) reach() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reached = m.lost
	m.failed = nil
	m.endWatch()
	select {
	case m.back <- struct{}{}:
	default:
	}
}

// endWatch ends the watch that waits. m.mu is held.
func (m *Mirror) endWatch() {
	if m.kick != nil {
		m.kick()
	}
}

// setLost sets whether the store is out of reach, and returns what was set before.
func (m *Mirror) setLost(lost bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.lost
	m.lost = lost
	m.reached = false
	return before
}

func (m *Mirror) isLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

func (m *Mirror) isReached() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reached
}

func (m *Mirror) clearReached() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reached = false
}

func (m *Mirror) takeMissed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	missed := m.missed
	m.missed = false
	return missed
}

func (m *Mirror) setFollowing(following bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.following = following
}

func (m *Mirror) isFollowing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.following
}

// Age is how long ago the store confirmed what is known of it.
func (m *Mirror) Age(now time.Time) time.Duration { return m.known.history.age(now) }

// Revision is the store's revision up to which all changes are known.
func (m *Mirror) Revision() platform.Revision { return m.known.history.at() }
