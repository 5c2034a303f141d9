package core_test

import (
	"time"

	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// slack is how long work may continue after the end that its owner assumes.
const slack = 150 * time.Millisecond

// versions records which versions of a document are in force anywhere in a place.
type versions struct {
	w    *simulation
	last map[heldKey]time.Duration // when a process last stopped using a version
	late []time.Duration           // by place: when a process last had a version that had been replaced for more than maxStaleness
}

type heldKey struct {
	place   int
	path    string
	version uint64
}

func newVersions(w *simulation) *versions {
	return &versions{w: w, last: make(map[heldKey]time.Duration)}
}

// released records that a process no longer uses a version.
func (h *versions) released(place int, path string, version uint64) {
	if version == 0 {
		return
	}
	h.last[heldKey{place, path, version}] = h.w.now
	h.noteLate(place, path, version)
}

// noteLate records a version that has been in force for longer than the design allows.
func (h *versions) noteLate(place int, path string, version uint64) {
	all := h.w.store.docs[path]
	if int(version) < len(all) && h.w.now > all[version].at+maxStaleness {
		if h.late == nil {
			h.late = make([]time.Duration, len(h.w.places))
		}
		h.late[place] = h.w.now
	}
}

// active returns the versions that are in force in a place, or whose work may still be in
// flight.
func (h *versions) active(place int, path string) []uint64 {
	var list []uint64
	now := make(map[uint64]bool)
	for _, name := range h.w.names {
		if p := h.w.live[name]; p != nil && p.place == place {
			now[p.versions[path]] = true
			h.noteLate(place, path, p.versions[path])
		}
	}
	for v := uint64(1); v <= h.w.store.version(path); v++ {
		at, ok := h.last[heldKey{place, path, v}]
		if now[v] || (ok && h.w.now <= at+longest()+slack) {
			list = append(list, v)
		}
	}
	return list
}

// longest is the longest time that a request may take, by any clock.
func longest() time.Duration { return timeout + time.Duration(skew*float64(timeout)) }

// mixed reports whether versions were in force together for longer than the design
// allows, recently enough that raised limits may be used as well.
func (h *versions) mixed(place int) bool {
	if h.late == nil || h.late[place] == 0 {
		return false
	}
	return h.w.now <= h.late[place]+maxStaleness+2*longest()+slack
}

// site returns a service's site and shift cap in one version of its document.
func (w *simulation) site(path string, version uint64, place int) (settings.Site, int) {
	service := w.store.parsed(path, version).Service()
	s, _ := service.Site(w.places[place])
	return s, service.Shift()
}

// limits checks the slots of a target, and the limits of its service and place.
func (c *checker) limits(t *target) {
	path := settings.ServicePath(t.key.Service)
	list := c.versions.active(t.place, path)
	allowance, limit, sum := 0, 0, 0
	most := make(map[owner.TargetKey]int)
	for _, v := range list {
		s, _ := c.w.site(path, v, t.place)
		limit = max(limit, s.Limit)
		for i, n := range owner.Allowances(s) {
			key := owner.TargetKey{Service: t.key.Service, Name: s.Targets[i].Name}
			most[key] = max(most[key], n)
		}
	}
	for _, n := range most {
		sum += n
	}
	allowance = most[t.key]
	if len(t.works) > allowance {
		c.failf("%s has %d in flight, its allowance is %d (versions %v)", t.key.Name, len(t.works), allowance, list)
	}
	site, all := 0, 0
	for _, o := range c.w.sortedTargets {
		if o.place != t.place {
			continue
		}
		all += len(o.works)
		if o.key.Service == t.key.Service {
			site += len(o.works)
		}
	}
	if c.versions.mixed(t.place) {
		limit = sum
	}
	if site > limit {
		c.failf("%s has %d in flight in place %d, its limit is %d (versions %v)", t.key.Service, site, t.place, limit, list)
	}
	c.placeLimit(t.place, all)
}

func (c *checker) placeLimit(place, all int) {
	path := settings.PlacePath(c.w.places[place])
	limit := 0
	list := c.versions.active(place, path)
	for _, v := range list {
		limit = max(limit, c.w.store.parsed(path, v).Place().Limit)
	}
	if all > limit && !c.versions.mixed(place) {
		c.failf("place %d has %d in flight, its limit is %d (versions %v)", place, all, limit, list)
	}
}

// shifted counts a shifted request that an owner admits, and checks the cap.
func (c *checker) shifted(p *proc, t *target) {
	service := t.key.Service.Name
	window := p.local().Unix()
	counts := p.admitted[service]
	if counts == nil {
		counts = make(map[int64]int)
		p.admitted[service] = counts
	}
	counts[window]++
	if c.w.clocksJump {
		return
	}
	limit := 0
	path := settings.ServicePath(t.key.Service)
	for _, v := range c.versions.active(p.place, path) {
		_, shift := c.w.site(path, v, p.place)
		limit = max(limit, shift)
	}
	if grown := counts[window] - counts[window-1]; grown > limit {
		c.failf("%s admits %d shifted requests more than in the second before, cap %d", p, grown, limit)
	}
	if c.w.clocksAligned {
		c.shiftedInAll(p.place, service, window, limit)
	}
}

// shiftedInAll checks the sum over a place's owners, whose clocks agree.
func (c *checker) shiftedInAll(place int, service string, window int64, limit int) {
	grown, changed := 0, time.Duration(0)
	seen := make(map[uint64]bool)
	for _, p := range c.w.procs {
		if p.place != place {
			continue
		}
		grown += p.admitted[service][window] - p.admitted[service][window-1]
		changed = max(changed, p.started)
		if !p.dead {
			seen[p.versions[servicePath(service)]] = true
		}
	}
	for key, at := range c.versions.last {
		if key.place == place && key.path == servicePath(service) {
			changed = max(changed, at)
		}
	}
	if len(seen) > 1 || c.w.now < changed+4*time.Second {
		for _, t := range c.w.sortedTargets {
			if t.place == place && t.key.Service.Name == service {
				limit++ // one for each target's share, while versions differ
			}
		}
	}
	if grown > limit {
		c.failf("place %d admits %d shifted requests of %s more than in the second before, cap %d", place, grown, service, limit)
	}
}
