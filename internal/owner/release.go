package owner

import "time"

// Held counts what an instance still has in flight at a target that another owns.
type Held struct {
	Key   TargetKey
	Slots int // requests in flight at the target
	Quota int // requests in flight, at any target, that use this target's quota
}

// Release lists what an instance holds of targets that it does not own. It is
// sent with every heartbeat and every ack to the instances of the place, whether
// or not the sender is still in the roster. In steady state Held is empty.
type Release struct {
	From        string
	Incarnation uint64
	Version     uint64 // of the sender's roster: the sender takes no slot of a target that it gives to others
	Seq         uint64 // increases with each release of an incarnation
	Held        []Held // sorted by key
}

// Release returns this instance's release, to be sent to every other instance
// of the place.
func (b *Book) Release() Release {
	b.seq++
	r := Release{
		From:        b.cfg.Self,
		Incarnation: b.cfg.Incarnation,
		Version:     b.roster.Version,
		Seq:         b.seq,
	}
	for _, l := range b.order {
		if !l.mine && (l.inFlight > 0 || l.charged > 0) {
			r.Held = append(r.Held, Held{Key: l.key, Slots: l.inFlight, Quota: l.charged})
		}
	}
	return r
}

// Released takes in a peer's release. Old and duplicate ones are ignored.
func (b *Book) Released(now time.Time, r Release) {
	b.newer(now, r.From, r.Incarnation)
	p := b.peer(r.From, r.Incarnation)
	if p == nil || (p.hasRelease && r.Seq <= p.release.Seq) {
		return
	}
	b.lives(now, r.From, r.Incarnation)
	p.version = max(p.version, r.Version)
	if p.hasRelease && p.release.Version <= b.roster.Version && r.Version > b.roster.Version {
		p.before, p.beforeHeard, p.hasBefore = p.release, p.heard, true
	}
	p.release, p.heard, p.hasRelease = r, now, true
	b.refresh(now)
}

// refresh recomputes what is reserved for previous owners, and the budget.
func (b *Book) refresh(now time.Time) {
	b.refreshAt = time.Time{}
	b.budget, b.half, b.charged = 0, 0, 0
	for _, l := range b.order {
		if !l.raiseAt.IsZero() && b.past(now, l.raiseAt) {
			l.raise()
			b.revision++
		}
	}
	for _, l := range b.owned {
		before := l.heldSlots
		l.heldSlots, l.heldQuota = 0, 0
		for _, c := range l.claims {
			l.heldSlots += b.reserve(now, l.key, c, l.allowance, b.skewed(l.spec.Timeout), slotsOf)
			l.heldQuota += b.reserve(now, l.key, c, l.quota, b.skewed(b.quotaWait(l)), quotaOf)
		}
		if l.heldSlots != before {
			b.revision++
		}
		b.budget += l.share(Confirmed)
		b.half += l.share(Lapsed)
		b.charged += l.charged
	}
}

// quotaWait returns how long a previous owner may continue to use tgt's quota. If
// every target's quota covers its allowance, no request is charged to another
// target, so tgt's own timeout suffices.
func (b *Book) quotaWait(l *line) time.Duration {
	for _, o := range b.order {
		if o.listed && (o.quota < o.allowance || o.spec.Quota < o.spec.Allowance) {
			return b.longest
		}
	}
	return l.spec.Timeout
}

func slotsOf(h Held) int { return h.Slots }
func quotaOf(h Held) int { return h.Quota }

// reserve returns the most that a previous owner may still use of a limit, which
// is the least of several bounds. wait is the longest that a request may take by
// any clock.
func (b *Book) reserve(now time.Time, key TargetKey, c claim, limit int, wait time.Duration, of func(Held) int) int {
	most := limit
	if at, ok := b.learned[c.Member]; ok && c.former && b.past(now, at.Add(b.skewed(b.cfg.Term)+wait)) {
		most = limit / 2
	}
	if held, at, ok := b.told(c, key, of); ok {
		if b.past(now, at.Add(wait)) {
			held = 0
		}
		most = min(most, held)
	}
	if e, ok := b.ended[c.Instance]; ok && e.incarnation >= c.Incarnation && b.past(now, e.at.Add(wait)) {
		return 0
	}
	return most
}

// reached reports whether now is at or after at, and otherwise schedules a
// refresh for then.
func (b *Book) past(now, at time.Time) bool {
	if !now.Before(at) {
		return true
	}
	if b.refreshAt.IsZero() || at.Before(b.refreshAt) {
		b.refreshAt = at
	}
	return false
}

// reportedUse returns what a previous owner itself reported to hold, and when
// that report arrived. It counts only if it was sent after the owner had stopped
// taking slots, and under a roster that is known here: under a newer one the
// sender may own the target again. Until that roster arrives here, the report
// before it still bounds the sender, which takes no slot of the target until this
// instance has released it under the newer roster, or its lease has expired.
func (b *Book) told(c claim, key TargetKey, of func(Held) int) (int, time.Time, bool) {
	p := b.said(c.Instance, c.Incarnation)
	if p == nil || !p.hasRelease {
		return 0, time.Time{}, false
	}
	release, heard := p.release, p.heard
	if release.Version > b.roster.Version {
		if !p.hasBefore {
			return 0, time.Time{}, false
		}
		release, heard = p.before, p.beforeHeard
	}
	if release.Version < c.end || release.Version > b.roster.Version {
		return 0, time.Time{}, false
	}
	for _, h := range release.Held {
		if h.Key == key {
			return of(h), heard, true
		}
	}
	return 0, heard, true
}
