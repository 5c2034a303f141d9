package mirror

import (
	"context"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/platform"
)

// runChecks asks the store for its revision now and then. Changes that the watch has
// not delivered though it had the time are read by a list. When the store answers
// again after it did not, a waiting watch begins anew on another connection; when
// it does not answer, the watch ends too, as it may wait in vain.
//
// A store that gives no answer is asked as often as one that refuses: with pauses from
// the end of each runChecks, relays noticed its return after up to 1.9 s, and those who wait
// 1.4 s for them listed it themselves.
func (m *Mirror) runChecks(ctx context.Context) {
	failed := false
	last := boottime.Now() // the end of the last check that was answered, or the begin of one that failed
	for ctx.Err() == nil {
		resumed := boottime.Resumed() // much may have changed when the machine goes on
		select {
		case <-ctx.Done():
			return
		case <-m.checkNow:
		case <-resumed:
		case <-time.After(boottime.Until(last.Add(m.checkDelay(failed)))):
		}
		last = boottime.Now()
		if m.isFollowing() && !m.isUnreachable() {
			continue // the relay checks
		}
		err := m.checkOnce(ctx)
		if err == nil {
			last = boottime.Now()
		}
		switch {
		case err != nil:
			m.markCheckFailed(err)
		case failed || m.isUnreachable():
			m.markAnswering()
		}
		failed = err != nil
	}
}

// checkDelay is how long until the next check. A check that failed tells of the loss
// before the watch that it ends does: with the watch alone, each instance of a region
// asked a silent store once more, 1 s after the first check.
func (m *Mirror) checkDelay(failed bool) time.Duration {
	if (failed || m.isUnreachable()) && len(m.peers.Relays()) >= Relays {
		return outageCheckInterval
	}
	return checkInterval
}

func (m *Mirror) checkOnce(ctx context.Context) error {
	begin := boottime.Now()
	inner, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	revision, err := m.store.Revision(inner)
	if err != nil {
		return err
	}
	if m.behind(revision) {
		sleep(ctx, checkGrace)
	}
	if m.behind(revision) {
		m.markMissed()
		return nil
	}
	m.view.history.confirm(revision, begin)
	return nil
}

// behind says whether the copy lacks changes up to a revision.
func (m *Mirror) behind(revision platform.Revision) bool {
	at := m.view.history.latest()
	return !at.IsZero() && revision.After(at)
}

// markMissed ends the watch that waits, for a list instead.
func (m *Mirror) markMissed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchMissed = true
	m.endWatch()
}

// markCheckFailed ends the watch that waits, as the store does not answer.
func (m *Mirror) markCheckFailed(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkErr = err
	m.endWatch()
}

// takeCheckErr returns why a check failed since the last call, or nil.
func (m *Mirror) takeCheckErr() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.checkErr
	m.checkErr = nil
	return err
}

// markAnswering notes that the store answers.
func (m *Mirror) markAnswering() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answeredAgain = m.unreachable
	m.checkErr = nil
	m.endWatch()
	select {
	case m.storeBack <- struct{}{}:
	default:
	}
}

// endWatch ends the watch that waits. m.mu is held.
func (m *Mirror) endWatch() {
	if m.cancelWatch != nil {
		m.cancelWatch()
	}
}

// setUnreachable sets whether the store is out of reach, and returns what was set before.
func (m *Mirror) setUnreachable(lost bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.unreachable
	m.unreachable = lost
	m.answeredAgain = false
	return before
}

func (m *Mirror) isUnreachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable
}

func (m *Mirror) hasAnsweredAgain() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answeredAgain
}

func (m *Mirror) clearAnsweredAgain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answeredAgain = false
}

func (m *Mirror) takeMissed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	missed := m.watchMissed
	m.watchMissed = false
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
func (m *Mirror) Age(now time.Time) time.Duration { return m.view.history.age(now) }

// Revision is the store's revision up to which all changes are known.
func (m *Mirror) Revision() platform.Revision { return m.view.history.latest() }
