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
func (t *Table) Release() Release {
	t.seq++
	r := Release{
		From:        t.cfg.Self,
		Incarnation: t.cfg.Incarnation,
		Version:     t.roster.Version,
		Seq:         t.seq,
	}
	for _, tgt := range t.sorted {
		if !tgt.owned && (tgt.inFlight > 0 || tgt.charged > 0) {
			r.Held = append(r.Held, Held{Key: tgt.key, Slots: tgt.inFlight, Quota: tgt.charged})
		}
	}
	return r
}

// RecordRelease takes in a peer's release. Old and duplicate ones are ignored.
func (t *Table) RecordRelease(now time.Time, r Release) {
	t.observeIncarnation(now, r.From, r.Incarnation)
	p := t.peer(r.From, r.Incarnation)
	if p == nil || (p.hasRelease && r.Seq <= p.release.Seq) {
		return
	}
	t.markAlive(now, r.From, r.Incarnation)
	p.rosterVersion = max(p.rosterVersion, r.Version)
	if p.hasRelease && p.release.Version <= t.roster.Version && r.Version > t.roster.Version {
		p.prevRelease, p.prevReleaseAt, p.hasPrevRelease = p.release, p.releaseAt, true
	}
	p.release, p.releaseAt, p.hasRelease = r, now, true
	t.refresh(now)
}

// refresh recomputes what is reserved for previous owners, and the budget.
func (t *Table) refresh(now time.Time) {
	t.refreshAt = time.Time{}
	t.budget, t.halfBudget, t.charged = 0, 0, 0
	for _, tgt := range t.sorted {
		if !tgt.raiseAt.IsZero() && t.reached(now, tgt.raiseAt) {
			tgt.raise()
			t.revision++
		}
	}
	for _, tgt := range t.owned {
		before := tgt.reservedSlots
		tgt.reservedSlots, tgt.reservedQuota = 0, 0
		for _, prev := range tgt.previousOwners {
			tgt.reservedSlots += t.reserve(now, tgt.key, prev, tgt.allowance, t.withSkew(tgt.spec.Timeout), slotsOf)
			tgt.reservedQuota += t.reserve(now, tgt.key, prev, tgt.quota, t.withSkew(t.quotaWait(tgt)), quotaOf)
		}
		if tgt.reservedSlots != before {
			t.revision++
		}
		t.budget += tgt.usableQuota(LeaseConfirmed)
		t.halfBudget += tgt.usableQuota(LeaseExpired)
		t.charged += tgt.charged
	}
}

// quotaWait returns how long a previous owner may continue to use tgt's quota. If
// every target's quota covers its allowance, no request is charged to another
// target, so tgt's own timeout suffices.
func (t *Table) quotaWait(tgt *target) time.Duration {
	for _, o := range t.sorted {
		if o.configured && (o.quota < o.allowance || o.spec.Quota < o.spec.Allowance) {
			return t.longestTimeout
		}
	}
	return tgt.spec.Timeout
}

func slotsOf(h Held) int { return h.Slots }
func quotaOf(h Held) int { return h.Quota }

// reserve returns the most that a previous owner may still use of a limit, which
// is the least of several bounds. wait is the longest that a request may take by
// any clock.
func (t *Table) reserve(now time.Time, key TargetKey, prev previousOwner, limit int, wait time.Duration, of func(Held) int) int {
	most := limit
	if at, ok := t.firstSeen[prev.Member]; ok && prev.removed && t.reached(now, at.Add(t.withSkew(t.cfg.Term)+wait)) {
		most = limit / 2
	}
	if held, at, ok := t.reportedUse(prev, key, of); ok {
		if t.reached(now, at.Add(wait)) {
			held = 0
		}
		most = min(most, held)
	}
	if e, ok := t.ended[prev.Instance]; ok && e.incarnation >= prev.Incarnation && t.reached(now, e.at.Add(wait)) {
		return 0
	}
	return most
}

// reached reports whether now is at or after at, and otherwise schedules a
// refresh for then.
func (t *Table) reached(now, at time.Time) bool {
	if !now.Before(at) {
		return true
	}
	if t.refreshAt.IsZero() || at.Before(t.refreshAt) {
		t.refreshAt = at
	}
	return false
}

// reportedUse returns what a previous owner itself reported to hold, and when
// that report arrived. It counts only if it was sent after the owner had stopped
// taking slots, and under a roster that is known here: under a newer one the
// sender may own the target again. Until that roster arrives here, the report
// before it still bounds the sender, which takes no slot of the target until this
// instance has released it under the newer roster, or its lease has expired.
func (t *Table) reportedUse(prev previousOwner, key TargetKey, of func(Held) int) (int, time.Time, bool) {
	p := t.findPeer(prev.Instance, prev.Incarnation)
	if p == nil || !p.hasRelease {
		return 0, time.Time{}, false
	}
	release, arrived := p.release, p.releaseAt
	if release.Version > t.roster.Version {
		if !p.hasPrevRelease {
			return 0, time.Time{}, false
		}
		release, arrived = p.prevRelease, p.prevReleaseAt
	}
	if release.Version < prev.end || release.Version > t.roster.Version {
		return 0, time.Time{}, false
	}
	for _, h := range release.Held {
		if h.Key == key {
			return of(h), arrived, true
		}
	}
	return 0, arrived, true
}
