package member

import (
	"slices"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/wire"
)

// admit adds a member if the limits allow it. It returns nil if they don't.
func (l *List) admit(now time.Time, n *wire.News) *member {
	in := instanceOf(n)
	if in.ID == l.self.in.ID || !validInstance(in) || !l.makeRoom(now, in) {
		return nil
	}
	m := &member{in: in, refutation: n.GetRefutation(), since: now}
	l.members[in.ID] = m
	l.all = insert(l.all, m)
	if l.sameDomain(m) {
		l.domainMembers = insert(l.domainMembers, m)
		l.placeSize += l.countInPlace(m)
		l.pingFirstPeer(now, m)
		l.updates.put(in.ID, true)
	} else {
		l.placeSizes[in.Place]++
	}
	l.addChange(now, BecameAlive, m)
	if in.Leaving {
		l.addChange(now, BecameLeaving, m)
	}
	return m
}

// pingFirstPeer makes the ping to the first peer of the place due at once: until that peer holds
// this instance, neither can take work off the other.
func (l *List) pingFirstPeer(now time.Time, m *member) {
	if l.samePlace(m) && l.placeSize == 1 && now.Before(l.placeDue) {
		l.placeDue = now
	}
}

// makeRoom reports whether one more member can be held. It removes a dead one if necessary.
func (l *List) makeRoom(now time.Time, in docstore.Instance) bool {
	local := in.Domain == l.self.in.Domain
	full := len(l.domainMembers) >= l.cfg.MaxDomain
	if !local {
		held := l.placeSizes[in.Place]
		full = held >= l.cfg.Sample || held == 0 && len(l.placeSizes) >= l.cfg.MaxPlaces
	}
	if !full {
		return true
	}
	dead := filter(l.all, func(m *member) bool {
		return m.state == wire.State_STATE_DEAD && l.sameDomain(m) == local && (local || m.in.Place == in.Place)
	})
	if len(dead) == 0 {
		return false
	}
	oldest := slices.MinFunc(dead, func(a, b *member) int { return a.since.Compare(b.since) })
	l.forget(now, oldest)
	return true
}

func (l *List) countInPlace(m *member) int {
	if l.samePlace(m) {
		return 1
	}
	return 0
}

func (l *List) forget(now time.Time, m *member) {
	id := m.in.ID
	delete(l.members, id)
	l.all = remove(l.all, m)
	l.updates.drop(id)
	l.addChange(now, Forgotten, m)
	if l.sameDomain(m) {
		l.domainMembers = remove(l.domainMembers, m)
		l.placeSize -= l.countInPlace(m)
		return
	}
	l.placeSizes[m.in.Place]--
	if l.placeSizes[m.in.Place] == 0 {
		delete(l.placeSizes, m.in.Place)
	}
}

// apply merges an update about a member. A newer incarnation wins, then a newer refutation, then
// the more severe state.
func (l *List) apply(now time.Time, n *wire.News) {
	if n.GetId() == l.self.in.ID {
		l.applySelf(now, n)
		return
	}
	m, ok := l.members[n.GetId()]
	switch {
	case !ok:
		if n.GetState() == wire.State_STATE_ALIVE {
			l.admit(now, n)
		}
	case n.GetIncarnation() > m.in.Incarnation:
		l.replaceIncarnation(now, m, n)
	case n.GetIncarnation() == m.in.Incarnation:
		l.applySameIncarnation(now, m, n)
	}
}

// replaceIncarnation replaces a member by its newer incarnation once its addresses are known.
func (l *List) replaceIncarnation(now time.Time, m *member, n *wire.News) {
	in := instanceOf(n)
	if n.GetState() != wire.State_STATE_ALIVE || !validInstance(in) {
		return
	}
	if in.Domain != m.in.Domain || in.Place != m.in.Place {
		l.forget(now, m)
		l.admit(now, n)
		return
	}
	promised := m.promised
	*m = member{in: in, refutation: n.GetRefutation(), since: now, listed: m.listed, promised: promised}
	l.addChange(now, Restarted, m)
	if in.Leaving {
		l.addChange(now, BecameLeaving, m)
	}
	l.enqueue(m, true)
}

func (l *List) applySameIncarnation(now time.Time, m *member, n *wire.News) {
	if n.GetLeaving() && !m.in.Leaving {
		m.in.Leaving = true
		m.since = now
		l.addChange(now, BecameLeaving, m)
		l.enqueue(m, false)
	}
	if n.GetRefutation() < m.refutation {
		return
	}
	newer := n.GetRefutation() > m.refutation
	if !newer && n.GetState() <= m.state {
		return
	}
	m.refutation = n.GetRefutation()
	l.setState(now, m, n.GetState())
}

// setState sets a member's state and queues an update about it.
func (l *List) setState(now time.Time, m *member, s wire.State) {
	was := m.state
	if s == wire.State_STATE_SUSPECT {
		m.suspectBy = now.Add(l.cfg.Suspect)
		l.scheduleExpiry(m.suspectBy)
	}
	m.forgetBy = time.Time{}
	if s == wire.State_STATE_DEAD && !m.listed {
		m.forgetBy = now.Add(l.cfg.Forget)
		l.scheduleExpiry(m.forgetBy)
	}
	m.state = s
	if was != s {
		m.since = now
		l.addChange(now, [...]ChangeKind{BecameAlive, BecameSuspect, BecameDead}[s], m)
	}
	l.enqueue(m, was == wire.State_STATE_DEAD)
}

func (l *List) suspect(now time.Time, m *member) { l.setState(now, m, wire.State_STATE_SUSPECT) }

// enqueue queues an update about a member.
func (l *List) enqueue(m *member, full bool) { l.updates.put(m.in.ID, full) }

// applySelf refutes a suspicion or death of this instance.
func (l *List) applySelf(now time.Time, n *wire.News) {
	if n.GetIncarnation() > l.self.in.Incarnation {
		l.markReplaced(now)
		return
	}
	if n.GetIncarnation() < l.self.in.Incarnation || n.GetRefutation() < l.self.refutation {
		return
	}
	if n.GetState() == wire.State_STATE_ALIVE && n.GetRefutation() == l.self.refutation {
		return
	}
	l.self.refutation = n.GetRefutation() + 1
	l.addChange(now, Refuted, l.self)
	l.enqueue(l.self, false)
}

func (l *List) markReplaced(now time.Time) {
	if !l.replaced {
		l.replaced = true
		l.addChange(now, Replaced, l.self)
	}
}

// scheduleExpiry makes expireMembers check the members at the deadline.
func (l *List) scheduleExpiry(deadline time.Time) {
	if l.nextExpiry.IsZero() || deadline.Before(l.nextExpiry) {
		l.nextExpiry = deadline
	}
}

// expireMembers marks members dead whose suspicion has expired, and removes those that have been
// dead for long.
func (l *List) expireMembers(now time.Time) {
	if l.nextExpiry.IsZero() || now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = time.Time{}
	for _, m := range slices.Clone(l.all) {
		switch {
		case m.state == wire.State_STATE_SUSPECT && !now.Before(m.suspectBy):
			l.setState(now, m, wire.State_STATE_DEAD)
		case m.state == wire.State_STATE_SUSPECT:
			l.scheduleExpiry(m.suspectBy)
		case !m.forgetBy.IsZero() && !now.Before(m.forgetBy):
			l.forget(now, m)
		case !m.forgetBy.IsZero():
			l.scheduleExpiry(m.forgetBy)
		}
	}
}

func insert(members []*member, m *member) []*member {
	at, _ := slices.BinarySearchFunc(members, m, byID)
	return slices.Insert(members, at, m)
}

func remove(members []*member, m *member) []*member {
	at, ok := slices.BinarySearchFunc(members, m, byID)
	if !ok {
		return members
	}
	return slices.Delete(members, at, at+1)
}

func byID(a, b *member) int { return strings.Compare(a.in.ID, b.in.ID) }
