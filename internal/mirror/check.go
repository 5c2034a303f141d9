package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/platform"
)

// runChecks asks the store for its revision periodically. Changes that the watch has not delivered
// within checkGrace are read by a list. When the store answers again after a failed check, the
// pending watch is restarted on another connection. When a check fails, the watch is canceled as
// well, because it may wait forever.
//
// A store that gives no answer is checked as often as one that refuses. With the interval counted
// from the end of each check, relays detected its return after up to 1.9 s, and the instances that
// wait 1.4 s for them listed the store themselves.
func (m *Mirror) runChecks(ctx context.Context) {
	failed, unanswered := false, 0
	last := boottime.Now() // the end of the last successful check, or the start of the last failed one
	for ctx.Err() == nil {
		resumed := boottime.Resumed() // after a suspension of the machine, much may have changed
		select {
		case <-ctx.Done():
			return
		case <-m.checkNow:
		case <-resumed:
		case <-time.After(boottime.Until(last.Add(m.checkDelay(failed)))):
		}
		last = boottime.Now()
		if m.isFollowing() && !m.isUnreachable() {
			continue // the followed peer checks the store
		}
		received := m.store.Received()
		err := m.checkOnce(ctx)
		if isTimeout(err) && m.store.Received() > received && unanswered < maxUnansweredChecks {
			unanswered++
			continue // a long answer is on the way; to cancel it would bring it no nearer
		}
		unanswered = 0
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

// maxUnansweredChecks is how many checks in a row may time out while a watch or list is received.
const maxUnansweredChecks = 5

// isTimeout reports whether a call to the store got no answer in time.
func isTimeout(err error) bool {
	var uncertain *platform.UncertainError
	return errors.As(err, &uncertain) && errors.Is(err, context.DeadlineExceeded)
}

// checkDelay returns the time until the next check. A failed check counts from the moment it fails,
// before the watch that it cancels has reported the outage. If only the watch counted, each
// instance of a region checked a silent store once more, 1 s after the first check.
func (m *Mirror) checkDelay(failed bool) time.Duration {
	if (failed || m.isUnreachable()) && len(m.peers.Relays()) >= MaxRelays {
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
	watch, received := m.pendingWatch(), m.store.Received()
	if m.behind(revision) {
		sleep(ctx, checkGrace)
	}
	switch {
	case !m.behind(revision):
		m.view.history.confirm(revision, begin)
	case watch != 0 && watch == m.pendingWatch() && m.store.Received() == received:
		m.markMissed()
	default: // the changes are on the way, or the next watch brings them; a list would cost more
	}
	return nil
}

// pendingWatch returns the number of the pending watch; 0 if there is none.
func (m *Mirror) pendingWatch() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelWatch == nil {
		return 0
	}
	return m.watches
}

// setWatch records that a watch begins, or, if cancel is nil, that it has ended.
func (m *Mirror) setWatch(cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelWatch = cancel
	if cancel != nil {
		m.watches++
	}
}

// behind reports whether the replica lacks changes up to a revision.
func (m *Mirror) behind(revision platform.Revision) bool {
	at := m.view.history.latest()
	return !at.IsZero() && revision.After(at)
}

// markMissed cancels the pending watch, and requests a list instead.
func (m *Mirror) markMissed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchMissed = true
	m.endWatch()
}

// markCheckFailed cancels the pending watch because the store does not answer.
func (m *Mirror) markCheckFailed(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkErr = err
	m.endWatch()
}

// takeCheckErr returns and clears the error of the last failed check; nil if none has failed since
// the last call.
func (m *Mirror) takeCheckErr() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.checkErr
	m.checkErr = nil
	return err
}

// markAnswering records that the store answers.
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

// endWatch cancels the pending watch. m.mu is held.
func (m *Mirror) endWatch() {
	if m.cancelWatch != nil {
		m.cancelWatch()
	}
}

// setUnreachable sets whether the store is unreachable, and returns the previous value.
func (m *Mirror) setUnreachable(unreachable bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.unreachable
	m.unreachable = unreachable
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

// Age returns how long ago the store confirmed what the sink has been told: while changes are being
// applied, that is the view before them.
func (m *Mirror) Age(now time.Time) time.Duration {
	if at := m.appliedAt.Load(); at != nil {
		return now.Sub(*at)
	}
	return m.view.history.age(now)
}

// Revision returns the store's revision up to which all changes are known.
func (m *Mirror) Revision() platform.Revision { return m.view.history.latest() }

// Counts returns how much of the store is known, and how the view differs from it.
func (m *Mirror) Counts() ReplicaCounts { return m.view.counts() }
