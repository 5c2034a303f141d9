package mirror

import (
	"context"
	"time"

	"github.com/firlever/firlever/platform"
)

// check asks the store for its revision now and then. Changes that the watch has
// not delivered though it had the time are read by a list.
func (m *Mirror) check(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, checkEvery)
		if m.isFollowing() {
			continue // the relay checks
		}
		m.checkOnce(ctx)
	}
}

func (m *Mirror) checkOnce(ctx context.Context) {
	begin := time.Now()
	inner, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	revision, err := m.store.Revision(inner)
	if err != nil {
		return // the watch and the lease tell that the store is out of reach
	}
	if m.behind(revision) {
		sleep(ctx, checkGrace)
	}
	if m.behind(revision) {
		m.miss()
		return
	}
	m.history.confirm(begin, true)
}

// behind says whether the copy lacks changes up to a revision.
func (m *Mirror) behind(revision platform.Revision) bool {
	at := m.history.at()
	return at > 0 && at < revision
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
func (m *Mirror) Age(now time.Time) time.Duration { return m.history.age(now) }

// Revision is the store's revision up to which all changes are known.
func (m *Mirror) Revision() platform.Revision { return m.history.at() }
