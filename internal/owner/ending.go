package owner

import "time"

// Listing is an entry of the platform's list of instances.
type Listing struct {
	Instance    string
	Incarnation uint64
}

// Gone records proof that the process of an incarnation, and all before it, had
// ended by now. The requests that it had in flight end within the timeout.
func (b *Book) Gone(now time.Time, instance string, incarnation uint64) {
	if instance == b.cfg.Self && incarnation >= b.cfg.Incarnation {
		return
	}
	b.end(now, instance, ending{incarnation: incarnation, at: now})
}

// recordEnding stores an ending, unless one that proves as much is already stored.
func (b *Book) end(now time.Time, instance string, e ending) {
	if old, ok := b.ended[instance]; ok && old.incarnation >= e.incarnation && (e.listed || !old.listed) {
		return
	}
	b.ended[instance] = e
	b.refresh(now)
}

// markAlive records a sign of life. The list may have omitted the process because
// it could not reach the platform.
func (b *Book) lives(now time.Time, instance string, incarnation uint64) {
	for m := range b.unlisted {
		if m.Instance == instance && m.Incarnation <= incarnation {
			delete(b.unlisted, m)
		}
	}
	if e, ok := b.ended[instance]; ok && e.listed && e.incarnation <= incarnation {
		delete(b.ended, instance)
		b.refresh(now)
	}
}

// observeIncarnation records that an incarnation exists: those before it have ended.
func (b *Book) newer(now time.Time, instance string, incarnation uint64) {
	if incarnation > 1 && b.named(instance, incarnation) {
		b.Gone(now, instance, incarnation-1)
	}
}

// hasOlder reports whether the roster has an entry of an older incarnation.
func (b *Book) named(instance string, incarnation uint64) bool {
	for _, s := range b.roster.spans() {
		if s.Instance == instance && s.Incarnation < incarnation {
			return true
		}
	}
	return false
}

// Listed records the platform's list, requested at sent, in an epoch of the platform's store.
// With Config.ListProves, an entry of the roster that has been missing from the list for all of
// Lag has ended, unless the process shows a sign of life. Without it, a missing entry proves
// nothing: the process may be partitioned and still use half of its targets. A new epoch begins
// without the entries that the store has lost, which return within Lag.
func (b *Book) Listed(now, sent time.Time, epoch uint64, list []Listing) {
	if b.epoch != 0 && epoch > b.epoch {
		b.proves = now.Add(b.skewed(b.cfg.Lag))
	}
	b.epoch = max(b.epoch, epoch)
	listed := make(map[string]uint64, len(list))
	for _, l := range list {
		listed[l.Instance] = max(listed[l.Instance], l.Incarnation)
	}
	missing := make(map[Member]time.Time)
	for _, s := range b.roster.spans() {
		incarnation, ok := listed[s.Instance]
		if ok {
			b.newer(now, s.Instance, incarnation)
			b.lives(now, s.Instance, incarnation)
			continue
		}
		if !b.cfg.ListProves {
			continue
		}
		since, ok := b.unlisted[s.Member]
		if !ok {
			since = now
		}
		since = later(since, b.proves)
		missing[s.Member] = since
		if !sent.Before(since.Add(b.skewed(b.cfg.Lag))) && !b.isOwn(claim{Member: s.Member}) {
			b.end(now, s.Instance, ending{incarnation: s.Incarnation, at: now, listed: true})
		}
	}
	b.unlisted = missing
}

// finished reports whether an entry's process has ended, and all requests that it
// had in flight too.
func (b *Book) finished(now time.Time, m Member) bool {
	e, ok := b.ended[m.Instance]
	return ok && e.incarnation >= m.Incarnation && !now.Before(e.at.Add(b.skewed(b.longest)))
}

// Forgettable returns the previous entries whose processes are proved to have
// nothing in flight; any member may write a roster without them.
func (b *Book) Forgettable(now time.Time) []Former {
	var lines []Former
	for _, f := range b.roster.Former {
		if b.finished(now, f.Member) || b.released(f) {
			lines = append(lines, f)
		}
	}
	return lines
}

// releasedAll reports whether a previous member itself reported that it holds nothing.
func (b *Book) released(f Former) bool {
	p, ok := b.peers[f.Instance]
	return ok && p.hasRelease && p.incarnation == f.Incarnation &&
		p.release.Version >= f.Until && len(p.release.Held) == 0
}
