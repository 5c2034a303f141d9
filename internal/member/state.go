package member

import (
	"slices"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/wire"
)

// admit adds a member, if the bounds leave room for it.
func (l *List) admit(now time.Time, n *wire.News) *member {
	in := instanceOf(n)
	if in.ID == l.self.in.ID || !validInstance(in) || !l.room(now, in) {
		return nil
	}
	m := &member{in: in, refutation: n.GetRefutation(), since: now}
	l.members[in.ID] = m
	l.all = insert(l.all, m)
	if l.isLocal(m) {
		l.local = insert(l.local, m)
		l.place += l.countNear(m)
		l.greet(now, m)
		l.news.add(in.ID, true)
	} else {
		l.places[in.Place]++
	}
	l.change(now, BecameAlive, m)
	if in.Leaving {
		l.change(now, BecameLeaving, m)
	}
	return m
}

// greet has the first peer of the place pinged at once: until it knows this
// instance, neither can take work off the other.
func (l *List) greet(now time.Time, m *member) {
	if l.near(m) && l.place == 1 && now.Before(l.placeDue) {
		l.placeDue = now
	}
}

// room tells if one more member can be held; it forgets a dead one for it.
func (l *List) room(now time.Time, in docstore.Instance) bool {
	local := in.Domain == l.self.in.Domain
	full := len(l.local) >= l.cfg.MaxDomain
	if !local {
		held := l.places[in.Place]
		full = held >= l.cfg.Sample || held == 0 && len(l.places) >= l.cfg.MaxPlaces
	}
	if !full {
		return true
	}
	dead := where(l.all, func(m *member) bool {
		return m.state == wire.State_STATE_DEAD && l.isLocal(m) == local && (local || m.in.Place == in.Place)
	})
	if len(dead) == 0 {
		return false
	}
	oldest := slices.MinFunc(dead, func(a, b *member) int { return a.since.Compare(b.since) })
	l.forget(now, oldest)
	return true
}

func (l *List) countNear(m *member) int {
	if l.near(m) {
		return 1
	}
	return 0
}

func (l *List) forget(now time.Time, m *member) {
	id := m.in.ID
	delete(l.members, id)
	l.all = remove(l.all, m)
	l.news.drop(id)
	l.change(now, Forgotten, m)
	if l.isLocal(m) {
		l.local = remove(l.local, m)
		l.place -= l.countNear(m)
		return
	}
	l.places[m.in.Place]--
	if l.places[m.in.Place] == 0 {
		delete(l.places, m.in.Place)
	}
}

// apply takes news of a member in: newer incarnations win, then newer
// refutations, then the graver state.
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
		l.renew(now, m, n)
	case n.GetIncarnation() == m.in.Incarnation:
		l.applySame(now, m, n)
	}
}

// renew replaces a member by its newer incarnation, once its addresses are told.
func (l *List) renew(now time.Time, m *member, n *wire.News) {
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
	l.change(now, Back, m)
	if in.Leaving {
		l.change(now, BecameLeaving, m)
	}
	l.pass(m, true)
}

func (l *List) applySame(now time.Time, m *member, n *wire.News) {
	if n.GetLeaving() && !m.in.Leaving {
		m.in.Leaving = true
		m.since = now
		l.change(now, BecameLeaving, m)
		l.pass(m, false)
	}
	if n.GetRefutation() < m.refutation {
		return
	}
	newer := n.GetRefutation() > m.refutation
	if !newer && n.GetState() <= m.state {
		return
	}
	m.refutation = n.GetRefutation()
	l.enter(now, m, n.GetState())
}

// enter puts a member in a state, and passes the news on.
func (l *List) enter(now time.Time, m *member, s wire.State) {
	was := m.state
	if s == wire.State_STATE_SUSPECT {
		m.suspectBy = now.Add(l.cfg.Suspect)
		l.expireAt(m.suspectBy)
	}
	m.forgetBy = time.Time{}
	if s == wire.State_STATE_DEAD && !m.listed {
		m.forgetBy = now.Add(l.cfg.Forget)
		l.expireAt(m.forgetBy)
	}
	m.state = s
	if was != s {
		m.since = now
		l.change(now, [...]ChangeKind{BecameAlive, BecameSuspect, BecameDead}[s], m)
	}
	l.pass(m, was == wire.State_STATE_DEAD)
}

func (l *List) suspect(now time.Time, m *member) { l.enter(now, m, wire.State_STATE_SUSPECT) }

// pass puts news of a member in the queue.
func (l *List) pass(m *member, full bool) { l.news.add(m.in.ID, full) }

// applySelf refutes what others hold of this instance.
func (l *List) applySelf(now time.Time, n *wire.News) {
	if n.GetIncarnation() > l.self.in.Incarnation {
		l.replace(now)
		return
	}
	if n.GetIncarnation() < l.self.in.Incarnation || n.GetRefutation() < l.self.refutation {
		return
	}
	if n.GetState() == wire.State_STATE_ALIVE && n.GetRefutation() == l.self.refutation {
		return
	}
	l.self.refutation = n.GetRefutation() + 1
	l.change(now, Accused, l.self)
	l.pass(l.self, false)
}

func (l *List) replace(now time.Time) {
	if !l.replaced {
		l.replaced = true
		l.change(now, Replaced, l.self)
	}
}

// expireAt has expireMembers look again at the deadline.
func (l *List) expireAt(deadline time.Time) {
	if l.expireBy.IsZero() || deadline.Before(l.expireBy) {
		l.expireBy = deadline
	}
}

// expireMembers ends suspicion by death, and forgets the long dead.
func (l *List) expireMembers(now time.Time) {
	if l.expireBy.IsZero() || now.Before(l.expireBy) {
		return
	}
	l.expireBy = time.Time{}
	for _, m := range slices.Clone(l.all) {
		switch {
		case m.state == wire.State_STATE_SUSPECT && !now.Before(m.suspectBy):
			l.enter(now, m, wire.State_STATE_DEAD)
		case m.state == wire.State_STATE_SUSPECT:
			l.expireAt(m.suspectBy)
		case !m.forgetBy.IsZero() && !now.Before(m.forgetBy):
			l.forget(now, m)
		case !m.forgetBy.IsZero():
			l.expireAt(m.forgetBy)
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
