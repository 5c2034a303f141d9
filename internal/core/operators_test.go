package core_test

import (
	"strings"

	"github.com/firlever/firlever/pkg/settings"
)

// repairedPlaceLimit is the limit of each place after the faults.
const repairedPlaceLimit = 100

// operate lets two operators, who read the same version, change the same document.
func (w *simulation) operate() {
	if w.store.down {
		return
	}
	switch w.rng.IntN(4) {
	case 0:
		i := w.pickPlace()
		w.race(settings.PlacePath(w.places[i]), func() string { return placeBody(i, 2+w.rng.IntN(12)) })
	case 1:
		w.operateDrain()
	default:
		service := []string{serviceRead, serviceWrite}[w.rng.IntN(2)]
		w.race(servicePath(service), func() string { return w.randomPlan(w.slots(service, 5)).body(service) })
	}
}

// race writes two bodies based on the same version. One of them must be rejected.
func (w *simulation) race(path string, body func() string) {
	version := w.store.version(path)
	first, second := w.store.put(path, version, body()), w.store.put(path, version, body())
	if !first || second {
		w.check.failf("two writes of %s from version %d: %v, %v", path, version, first, second)
	}
}

// slots returns the maximum slots that operators give each target of a service, by place.
func (w *simulation) slots(service string, most int) [][]int {
	all := make([][]int, len(w.places))
	for _, t := range w.sortedTargets {
		if t.key.Service.Name == service {
			all[t.place] = append(all[t.place], most)
		}
	}
	return all
}

// operateDrain writes or deletes a drain of a target or of a place.
func (w *simulation) operateDrain() {
	t := w.sortedTargets[w.rng.IntN(len(w.sortedTargets))]
	path, body := settings.DrainPath(t.key.Name), t.drains()[0]
	if w.chance(0.3) {
		path, body = settings.DrainPath(w.places[t.place]), t.drains()[1]
	}
	version := w.store.version(path)
	if version%2 == 1 {
		body = ""
	}
	w.store.put(path, version, body)
}

// repair ends every fault: all instances run, and the documents give enough capacity.
func (w *simulation) repair() {
	w.tracef("all faults are repaired")
	w.store.down = false
	for _, p := range w.procs {
		p.resume()
	}
	for _, name := range w.names {
		w.start(name)
	}
	for _, t := range w.sortedTargets {
		t.down, t.degraded = false, false
	}
	for _, path := range w.store.paths {
		if version := w.store.version(path); strings.HasPrefix(path, settings.DrainsPrefix) && version%2 == 1 {
			w.store.put(path, version, "")
		}
	}
	for i, name := range w.places {
		path := settings.PlacePath(name)
		w.store.put(path, w.store.version(path), placeBody(i, repairedPlaceLimit))
	}
	for _, service := range []string{serviceRead, serviceWrite} {
		w.store.put(servicePath(service), w.store.version(servicePath(service)), w.fullPlan(service).body(service))
	}
	w.counts["mended"]++
}

// fullPlan returns a plan that gives every target its maximum slots.
func (w *simulation) fullPlan(service string) plan {
	p := plan{shift: 50}
	for _, slots := range w.slots(service, 5) {
		p.sites = append(p.sites, site{limit: 5 * len(slots), slots: slots})
	}
	return p
}
