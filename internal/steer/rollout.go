package steer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/rollout"
)

// Rollout is how a service moves to targets of another version.
type Rollout struct {
	rollout.Schedule
	Version    string
	Phase      rollout.Phase
	PromotedAt time.Time // set from the promotion on
	Barred     []string  // versions that were rolled back; their targets get no requests
}

// versionSplit divides the requests for a service between two versions of its targets.
type versionSplit struct {
	Rollout
	canaries     []*target // new targets that get requests in the canary phase; rollout.MaxCanaries at most
	outdated     bool      // targets were added or removed since canaries were chosen
	share        float64   // of the requests, for the canaries
	turn         int       // for which canaries were chosen
	hadOld       bool      // some target of another version has been registered
	tokens       float64   // requests that canaries may get from this instance; 0 to maxCanaryTokens
	allowedUntil time.Time // canaries get no requests after that
}

const (
	// maxCanaryTokens is the most requests for canaries that an instance saves up. With
	// spareCanaryTokens it sends canaries other objects than theirs too.
	maxCanaryTokens   = 4.0
	spareCanaryTokens = 2.0
	// canaryOverload is how much more requests a canary gets than an old target, so that it shows
	// what the version does under load.
	canaryOverload = 1.1
	// oldVersionTTL is how long after a rollout's deadline targets of other versions get no requests.
	// By then the entries of the old targets have expired.
	oldVersionTTL = 30 * time.Second
	// defaultCanaryShare is used if the platform sets no share.
	defaultCanaryShare = 0.05
)

// pool is the part of a service's targets that a request may go to.
type pool int

// Values of pool.
const (
	anyVersion pool = iota
	oldVersion
	canaryTargets
	newVersion
)

// SetRollout starts or continues the rollout of a service.
func (f *Fleet) SetRollout(now time.Time, name string, r Rollout) {
	s := f.service(now, name)
	if s.split != nil && s.split.Version == r.Version && s.split.Began.Equal(r.Began) {
		s.split.outdated = s.split.outdated || !slices.Equal(s.split.Barred, r.Barred)
		s.split.Rollout = r
		return
	}
	// Starting with a part of a token, in random order, instances with few requests reach a token
	// one after the other, and together they send the share from the beginning.
	part := float64(mix(hash(f.cfg.Instance), hash(name+r.Version))) / math.MaxUint64
	s.split = &versionSplit{Rollout: r, outdated: true, tokens: part}
}

// AllowCanary lets the canaries of a service get requests until a time.
func (f *Fleet) AllowCanary(name string, until time.Time) {
	if s := f.services[name]; s != nil && s.split != nil {
		s.split.allowedUntil = until
	}
}

// VersionCounts is the state of the targets of a rollout's two versions.
type VersionCounts struct {
	OldSlots    int // of targets that may get requests
	NewSlots    int // of targets that may get requests and are not cold
	HadOld      bool
	OldInFlight int           // requests of this instance at old targets
	Latency     time.Duration // mean latency of the service; 0 if unknown
}

// VersionCounts returns the state of the targets of a service's rollout; zero if there is none.
func (f *Fleet) VersionCounts(now time.Time, name string) VersionCounts {
	s := f.services[name]
	if s == nil || s.split == nil {
		return VersionCounts{}
	}
	s.split.update(now, f, s)
	c := VersionCounts{HadOld: s.split.hadOld, Latency: s.meanLatency}
	for _, t := range s.targets {
		usable := f.available(t)
		switch {
		case s.split.isBarred(t):
		case t.Version != s.split.Version:
			c.OldInFlight += t.inFlight()
			if usable {
				c.OldSlots += t.Slots
			}
		case usable && !t.cold(now):
			c.NewSlots += t.Slots
		}
	}
	return c
}

// RampDone reports whether requests for a service go to the new version alone.
func (f *Fleet) RampDone(now time.Time, name string) bool {
	s := f.services[name]
	return s != nil && s.split != nil && s.split.Phase.Compare(rollout.Promoting) >= 0 && s.split.rampShare(now) >= 1
}

func (v *versionSplit) rampShare(now time.Time) float64 {
	return v.RampShare(v.share, v.PromotedAt, now)
}

// pools returns the pools of targets that a request may go to, the preferred one first.
func (f *Fleet) pools(now time.Time, s *service, q Query) []pool {
	v := s.split
	if v == nil {
		return []pool{anyVersion}
	}
	v.update(now, f, s)
	if !v.hadOld {
		return []pool{anyVersion}
	}
	switch v.Phase {
	case rollout.Canary:
		if !q.Retry {
			v.tokens = min(maxCanaryTokens, v.tokens+v.share)
		}
		if !q.Retry && now.Before(v.allowedUntil) && v.sendsToCanary(q) {
			return []pool{canaryTargets, oldVersion}
		}
		return []pool{oldVersion}
	case rollout.Promoting:
		switch share := v.rampShare(now); {
		case share >= 1:
			return []pool{newVersion}
		case v.position(q) < share:
			return []pool{newVersion, oldVersion}
		}
		return []pool{oldVersion, newVersion}
	case rollout.Completed:
		if now.After(v.Deadline.Add(oldVersionTTL)) {
			return []pool{anyVersion}
		}
		return []pool{newVersion}
	}
	return []pool{oldVersion}
}

// sendsToCanary reports whether a request goes to a canary. These are the requests for a share of
// the objects, so that the canaries' caches become as warm as those of other targets.
func (v *versionSplit) sendsToCanary(q Query) bool {
	return v.tokens >= spareCanaryTokens || v.tokens >= 1 && v.position(q) < v.share
}

// position returns where a request's object is in the order in which objects move to the new
// version, from 0 to 1.
func (v *versionSplit) position(q Query) float64 {
	return float64(mix(hash(q.key()), hash(v.Version))) / math.MaxUint64
}

// spendCanaryToken takes the token for a request that goes to a canary.
func (s *service) spendCanaryToken(t *target) {
	if v := s.split; v != nil && v.Phase == rollout.Canary && t.Version == v.Version {
		v.tokens = max(0, v.tokens-1)
	}
}

func (v *versionSplit) isBarred(t *target) bool { return slices.Contains(v.Barred, t.Version) }

// includes reports whether a pool has the target.
func (p pool) includes(now time.Time, t *target) bool {
	v := t.service.split
	if v == nil {
		return true
	}
	switch {
	case v.isBarred(t):
		return false
	case p == anyVersion:
		return true
	}
	switch isNew := t.Version == v.Version; p {
	case canaryTargets:
		return slices.Contains(v.canaries, t) && !t.cold(now)
	case newVersion:
		return isNew
	default:
		return !isNew
	}
}

// update chooses the canaries anew if targets have changed: in each region so many that, with
// their share of the requests, they have as much to do as old targets. If that makes only one,
// targets take turns.
func (v *versionSplit) update(now time.Time, f *Fleet, s *service) {
	turn := v.Turn(now)
	if !v.outdated && (turn == v.turn || len(v.canaries) != 1) {
		return
	}
	v.outdated, v.turn = false, turn
	old := make(map[string]int)
	candidates := make(map[string][]*target)
	total := 0
	for _, t := range s.targets {
		switch {
		case v.isBarred(t):
		case t.Version != v.Version:
			v.hadOld = true
			old[t.region]++
			total++
		case f.available(t):
			candidates[t.region] = append(candidates[t.region], t)
		}
	}
	allowed := dividedShare * f.cfg.CanaryShare
	scale := min(1, rollout.MaxCanaries/max(1, allowed*float64(total)))
	v.canaries = nil
	var all []*target
	for _, region := range slices.Sorted(maps.Keys(candidates)) {
		list := candidates[region]
		v.sortTargets(list)
		all = append(all, list...)
		v.canaries = append(v.canaries, list[:min(len(list), int(scale*allowed*float64(old[region])))]...)
	}
	if len(v.canaries) <= 1 && len(all) > 0 {
		v.sortTargets(all)
		v.canaries = []*target{all[turn%len(all)]}
	}
	v.share = min(allowed, canaryOverload*float64(len(v.canaries))/float64(max(1, total)))
}

// sortTargets sorts targets in the order in which they become canaries, which is the same at all
// instances.
func (v *versionSplit) sortTargets(list []*target) {
	seed := hash(v.Version)
	slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(mix(a.idHash, seed), mix(b.idHash, seed)) })
}

// markOutdated has the canaries and the sampled targets of a service chosen and its plan made anew, as
// its targets have changed.
func (s *service) markOutdated() {
	s.sampledOutdated = s.learner != nil
	s.plan.TargetsChanged()
	if s.split != nil {
		s.split.outdated = true
	}
}
