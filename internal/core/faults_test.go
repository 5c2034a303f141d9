package core_test

import (
	"fmt"
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// amplePlace is the limit of each place after the faults.
const amplePlace = 100

// faultEvery is the mean time between two faults.
const faultEvery = 900 * time.Millisecond

// scheduleFaults plans faults until the quiet phase, when all is mended.
func (w *world) scheduleFaults() {
	for at := warmUp; at < quiet-time.Second; {
		w.after(at, w.fault)
		at += time.Duration(w.rng.ExpFloat64() * float64(faultEvery))
	}
	w.after(quiet, w.mend)
}

// fault lets something go wrong. What it breaks is mended by the quiet phase.
func (w *world) fault() {
	length := min(w.faultLength(), quiet-w.now)
	switch w.rng.IntN(16) {
	case 0:
		w.partition(length)
	case 1:
		w.cutOff(length)
	case 2:
		w.outage(length)
	case 3:
		w.cutCallers(length)
	case 4, 5:
		w.separate(length)
	case 6:
		w.lossy(length)
	case 7:
		w.slowLinks(length)
	case 8:
		w.crash(w.pickName(), length)
	case 9:
		w.crashPlace(length)
	case 10, 11:
		w.pauseOne(length)
	case 12:
		w.stopOne()
	case 13:
		w.hurtTarget(length)
	default:
		w.operate()
	}
	if w.jumps && w.chance(0.2) {
		w.jump()
	}
}

func (w *world) faultLength() time.Duration {
	if w.chance(0.3) {
		return w.between(4*time.Second, 16*time.Second)
	}
	return w.between(100*time.Millisecond, 4*time.Second)
}

// cutFor cuts the way from one end to another for a while.
func (w *world) cutFor(a, b int, d time.Duration) {
	w.links.cut[[2]int{a, b}]++
	w.after(d, func() { w.links.cut[[2]int{a, b}]-- })
}

func (w *world) pickPlace() int { return w.rng.IntN(len(w.places)) }

// partition cuts a place off from the others, both ways or one.
func (w *world) partition(d time.Duration) {
	p := w.pickPlace()
	way := w.rng.IntN(3)
	w.tracef("fault: place %d is cut off from the others, way %d, %v", p, way, d)
	for o := range w.places {
		if o != p && way != 1 {
			w.cutFor(p, o, d)
		}
		if o != p && way != 2 {
			w.cutFor(o, p, d)
		}
	}
	if w.chance(0.4) {
		w.cutFor(p, endPlatform, d)
		w.cutFor(endPlatform, p, d)
	}
}

// cutOff cuts a place off from the platform, both ways or one.
func (w *world) cutOff(d time.Duration) {
	p := w.pickPlace()
	way := w.rng.IntN(3)
	w.tracef("fault: place %d is cut off from the platform, way %d, %v", p, way, d)
	if way != 1 {
		w.cutFor(p, endPlatform, d)
	}
	if way != 2 {
		w.cutFor(endPlatform, p, d)
	}
}

func (w *world) outage(d time.Duration) {
	w.tracef("fault: platform is down, %v", d)
	w.store.down = true
	w.after(d, func() { w.store.down = false })
}

func (w *world) cutCallers(d time.Duration) {
	p := w.pickPlace()
	w.tracef("fault: callers can't reach place %d, %v", p, d)
	w.cutFor(endCallers, p, d)
}

// separate cuts one instance off from its peers, from some of them, or from
// the platform.
func (w *world) separate(d time.Duration) {
	a := w.pickName()
	w.tracef("fault: %s is separated, %v", a, d)
	all := w.chance(0.6)
	for _, b := range append([]string{""}, w.names...) {
		if b == a || (!all && w.chance(0.5)) {
			continue
		}
		w.apartFor(a, b, d)
		if w.chance(0.7) {
			w.apartFor(b, a, d)
		}
	}
}

func (w *world) apartFor(a, b string, d time.Duration) {
	w.links.apart[[2]string{a, b}]++
	w.after(d, func() { w.links.apart[[2]string{a, b}]-- })
}

func (w *world) lossy(d time.Duration) {
	w.links.loss = w.rng.Float64() * 0.6
	w.tracef("fault: loss of %.2f, %v", w.links.loss, d)
	w.after(d, func() { w.links.loss = 0 })
}

func (w *world) slowLinks(d time.Duration) {
	w.links.slow = w.between(20*time.Millisecond, time.Second)
	w.tracef("fault: slow links, up to %v more, %v", w.links.slow, d)
	w.after(d, func() { w.links.slow = 0 })
}

func (w *world) crash(name string, d time.Duration) {
	if p := w.live[name]; p != nil {
		p.kill()
		w.after(d, func() { w.start(name) })
	}
}

func (w *world) crashPlace(d time.Duration) {
	place := w.pickPlace()
	for _, name := range w.names {
		if w.home[name] == place {
			w.crash(name, d)
		}
	}
}

func (w *world) pauseOne(d time.Duration) {
	p := w.live[w.pickName()]
	if p == nil || p.paused {
		return
	}
	w.tracef("fault: %s is paused, %v", p, d)
	p.pause()
	w.after(d, p.wake)
}

// stopOne stops an instance in plan; it starts anew afterwards.
func (w *world) stopOne() {
	if p := w.live[w.pickName()]; p != nil {
		p.deliver(p.stop)
	}
}

func (w *world) hurtTarget(d time.Duration) {
	t := w.order[w.rng.IntN(len(w.order))]
	if w.chance(0.5) {
		w.tracef("fault: %s is down, %v", t.key.Name, d)
		t.down = true
	} else {
		w.tracef("fault: %s is ill, %v", t.key.Name, d)
		t.ill = true
	}
	w.after(d, func() { t.down, t.ill = false, false })
}

// jump moves a process's clock.
func (w *world) jump() {
	if p := w.live[w.pickName()]; p != nil {
		by := w.upTo(4*time.Second) - 2*time.Second
		w.tracef("fault: clock of %s jumps by %v", p, by)
		p.offset += by
	}
}

// operate lets two operators, who read the same, change the same document.
func (w *world) operate() {
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

// race writes two bodies from the same version. One of them must lose.
func (w *world) race(path string, body func() string) {
	version := w.store.version(path)
	first, second := w.store.put(path, version, body()), w.store.put(path, version, body())
	if !first || second {
		w.check.failf("two writes of %s from version %d: %v, %v", path, version, first, second)
	}
}

// slots is the most that operators give each target of a service.
func (w *world) slots(service string, most int) [][]int {
	all := make([][]int, len(w.places))
	for _, t := range w.order {
		if t.key.Service.Name == service {
			all[t.place] = append(all[t.place], most)
		}
	}
	return all
}

// operateDrain writes or deletes a drain of a target or of a place.
func (w *world) operateDrain() {
	t := w.order[w.rng.IntN(len(w.order))]
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

// mend ends every fault: all instances run, and the documents give room.
func (w *world) mend() {
	w.tracef("all faults are over")
	w.store.down = false
	for _, p := range w.procs {
		p.wake()
	}
	for _, name := range w.names {
		w.start(name)
	}
	for _, t := range w.order {
		t.down, t.ill = false, false
	}
	for _, path := range w.store.paths {
		if version := w.store.version(path); len(path) > len(settings.DrainsPrefix) &&
			path[:len(settings.DrainsPrefix)] == settings.DrainsPrefix && version%2 == 1 {
			w.store.put(path, version, "")
		}
	}
	for i, name := range w.places {
		path := settings.PlacePath(name)
		w.store.put(path, w.store.version(path), placeBody(i, amplePlace))
	}
	for _, service := range []string{serviceRead, serviceWrite} {
		w.store.put(servicePath(service), w.store.version(servicePath(service)), w.ample(service).body(service))
	}
	w.counts["mended"]++
}

// ample is a plan that gives every target its slots.
func (w *world) ample(service string) plan {
	p := plan{shift: 50}
	for _, slots := range w.slots(service, 5) {
		p.sites = append(p.sites, site{limit: 5 * len(slots), slots: slots})
	}
	return p
}

func (w *world) String() string { return fmt.Sprintf("world of seed %d", w.seed) }
