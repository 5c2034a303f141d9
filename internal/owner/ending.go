package owner

import "time"

// Listing is an entry of the platform's list of instances.
type Listing struct {
	Instance    string
	Incarnation uint64
}

// MarkEnded records proof that the process of an incarnation, and all before it, had
// ended by now. The requests that it had in flight end within the timeout.
func (t *Table) MarkEnded(now time.Time, instance string, incarnation uint64) {
	if instance == t.cfg.Self && incarnation >= t.cfg.Incarnation {
		return
	}
	t.recordEnding(now, instance, ending{incarnation: incarnation, at: now})
}

// recordEnding stores an ending, unless one that proves as much is already stored.
func (t *Table) recordEnding(now time.Time, instance string, e ending) {
	if old, ok := t.ended[instance]; ok && old.incarnation >= e.incarnation && (e.listed || !old.listed) {
		return
	}
	t.ended[instance] = e
	t.refresh(now)
}

// markAlive records a sign of life. The list may have omitted the process because
// it could not reach the platform.
func (t *Table) markAlive(now time.Time, instance string, incarnation uint64) {
	for m := range t.unlistedSince {
		if m.Instance == instance && m.Incarnation <= incarnation {
			delete(t.unlistedSince, m)
		}
	}
	if e, ok := t.ended[instance]; ok && e.listed && e.incarnation <= incarnation {
		delete(t.ended, instance)
		t.refresh(now)
	}
}

// observeIncarnation records that an incarnation exists: those before it have ended.
func (t *Table) observeIncarnation(now time.Time, instance string, incarnation uint64) {
	if incarnation > 1 && t.hasOlder(instance, incarnation) {
		t.MarkEnded(now, instance, incarnation-1)
	}
}

// hasOlder reports whether the roster has an entry of an older incarnation.
func (t *Table) hasOlder(instance string, incarnation uint64) bool {
	for _, s := range t.roster.spans() {
		if s.Instance == instance && s.Incarnation < incarnation {
			return true
		}
	}
	return false
}

// RecordList records the platform's list, requested at sent, in an epoch of the platform's store.
// With Config.ListProves, an entry of the roster that has been missing from the list for all of
// Lag has ended, unless the process shows a sign of life. Without it, a missing entry proves
// nothing: the process may be partitioned and still use half of its targets. A new epoch begins
// without the entries that the store has lost, which return within Lag.
func (t *Table) RecordList(now, sent time.Time, epoch uint64, list []Listing) {
	if t.epoch != 0 && epoch > t.epoch {
		t.listValidFrom = now.Add(t.withSkew(t.cfg.Lag))
	}
	t.epoch = max(t.epoch, epoch)
	listed := make(map[string]uint64, len(list))
	for _, l := range list {
		listed[l.Instance] = max(listed[l.Instance], l.Incarnation)
	}
	missing := make(map[Member]time.Time)
	for _, s := range t.roster.spans() {
		incarnation, ok := listed[s.Instance]
		if ok {
			t.observeIncarnation(now, s.Instance, incarnation)
			t.markAlive(now, s.Instance, incarnation)
			continue
		}
		if !t.cfg.ListProves {
			continue
		}
		since, ok := t.unlistedSince[s.Member]
		if !ok {
			since = now
		}
		since = later(since, t.listValidFrom)
		missing[s.Member] = since
		if !sent.Before(since.Add(t.withSkew(t.cfg.Lag))) && !t.isOwn(previousOwner{Member: s.Member}) {
			t.recordEnding(now, s.Instance, ending{incarnation: s.Incarnation, at: now, listed: true})
		}
	}
	t.unlistedSince = missing
}

// finished reports whether an entry's process has ended, and all requests that it
// had in flight too.
func (t *Table) finished(now time.Time, m Member) bool {
	e, ok := t.ended[m.Instance]
	return ok && e.incarnation >= m.Incarnation && !now.Before(e.at.Add(t.withSkew(t.longestTimeout)))
}

// FinishedPrevious returns the previous entries whose processes are proved to have
// nothing in flight; any member may write a roster without them.
func (t *Table) FinishedPrevious(now time.Time) []PreviousMember {
	var entries []PreviousMember
	for _, f := range t.roster.Previous {
		if t.finished(now, f.Member) || t.releasedAll(f) {
			entries = append(entries, f)
		}
	}
	return entries
}

// releasedAll reports whether a previous member itself reported that it holds nothing.
func (t *Table) releasedAll(f PreviousMember) bool {
	p, ok := t.peers[f.Instance]
	return ok && p.hasRelease && p.incarnation == f.Incarnation &&
		p.release.Version >= f.Until && len(p.release.Held) == 0
}
