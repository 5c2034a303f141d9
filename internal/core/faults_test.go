package core_test

import "time"

// faultEvery is the mean time between two faults.
const faultEvery = 900 * time.Millisecond

// scheduleFaults schedules faults until the quiet phase, at whose start everything is
// repaired.
func (w *simulation) scheduleFaults() {
	for at := warmUp; at < faultsEnd-time.Second; {
		w.after(at, w.fault)
		at += time.Duration(w.rng.ExpFloat64() * float64(faultEvery))
	}
	w.after(faultsEnd, w.repair)
}

// fault causes a random fault, which is repaired by the start of the quiet phase.
func (w *simulation) fault() {
	length := min(w.faultLength(), faultsEnd-w.now)
	switch w.rng.IntN(18) {
	case 0:
		w.partition(length)
	case 1:
		w.cutOff(length)
	case 2:
		w.outage(length)
	case 3:
		w.cutCallers(length)
	case 4, 5:
		w.isolate(length)
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
		w.degradeTarget(length)
	case 14, 15:
		w.suspect(length)
	default:
		w.operate()
	}
	if w.clocksJump && w.chance(0.2) {
		w.jumpClock()
	}
}

func (w *simulation) faultLength() time.Duration {
	if w.chance(0.3) {
		return w.between(4*time.Second, 16*time.Second)
	}
	return w.between(100*time.Millisecond, 4*time.Second)
}

// cutFor partitions one endpoint from another for a while, in one direction.
func (w *simulation) cutFor(a, b int, d time.Duration) {
	w.links.cut[[2]int{a, b}]++
	w.after(d, func() { w.links.cut[[2]int{a, b}]-- })
}

func (w *simulation) pickPlace() int { return w.rng.IntN(len(w.places)) }

// partition makes a place unreachable from the others, in one or both directions.
func (w *simulation) partition(d time.Duration) {
	p := w.pickPlace()
	way := w.rng.IntN(3)
	w.tracef("fault: place %d is partitioned from the others, direction %d, %v", p, way, d)
	for o := range w.places {
		if o != p && way != 1 {
			w.cutFor(p, o, d)
		}
		if o != p && way != 2 {
			w.cutFor(o, p, d)
		}
	}
	if w.chance(0.4) {
		w.cutFor(p, endpointPlatform, d)
		w.cutFor(endpointPlatform, p, d)
	}
}

// cutOff makes the platform unreachable for a place, in one or both directions.
func (w *simulation) cutOff(d time.Duration) {
	p := w.pickPlace()
	way := w.rng.IntN(3)
	w.tracef("fault: place %d is partitioned from the platform, direction %d, %v", p, way, d)
	if way != 1 {
		w.cutFor(p, endpointPlatform, d)
	}
	if way != 2 {
		w.cutFor(endpointPlatform, p, d)
	}
}

func (w *simulation) outage(d time.Duration) {
	w.tracef("fault: platform is down, %v", d)
	w.store.down = true
	w.after(d, func() { w.store.down = false })
}

func (w *simulation) cutCallers(d time.Duration) {
	p := w.pickPlace()
	w.tracef("fault: callers can't reach place %d, %v", p, d)
	w.cutFor(endpointCallers, p, d)
}

// isolate partitions one instance from its peers, from some of them, or from the
// platform.
func (w *simulation) isolate(d time.Duration) {
	a := w.pickName()
	w.tracef("fault: %s is isolated, %v", a, d)
	all := w.chance(0.6)
	if all && w.chance(0.4) {
		d = min(w.between(lag+goneLag, 4*lag), faultsEnd-w.now)
	}
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

// suspect makes one instance's membership wrongly leave out another for a while.
func (w *simulation) suspect(d time.Duration) {
	p, name := w.live[w.pickName()], w.pickName()
	if p != nil {
		w.tracef("fault: %s wrongly considers %s dead, %v", p, name, d)
		p.suspects[name] = w.now + d
	}
}

func (w *simulation) apartFor(a, b string, d time.Duration) {
	w.links.apart[[2]string{a, b}]++
	w.after(d, func() { w.links.apart[[2]string{a, b}]-- })
}

func (w *simulation) lossy(d time.Duration) {
	w.links.loss = w.rng.Float64() * 0.6
	w.tracef("fault: loss of %.2f, %v", w.links.loss, d)
	w.after(d, func() { w.links.loss = 0 })
}

func (w *simulation) slowLinks(d time.Duration) {
	w.links.slow = w.between(20*time.Millisecond, time.Second)
	w.tracef("fault: slow links, extra delay up to %v, %v", w.links.slow, d)
	w.after(d, func() { w.links.slow = 0 })
}

func (w *simulation) crash(name string, d time.Duration) {
	if p := w.live[name]; p != nil {
		p.kill()
		w.after(d, func() { w.start(name) })
	}
}

func (w *simulation) crashPlace(d time.Duration) {
	place := w.pickPlace()
	for _, name := range w.names {
		if w.home[name] == place {
			w.crash(name, d)
		}
	}
}

func (w *simulation) pauseOne(d time.Duration) {
	p := w.live[w.pickName()]
	if p == nil || p.paused {
		return
	}
	w.tracef("fault: %s is paused, %v", p, d)
	p.pause()
	w.after(d, p.resume)
}

// stopOne performs a planned stop of an instance, which then starts again.
func (w *simulation) stopOne() {
	if p := w.live[w.pickName()]; p != nil {
		p.deliver(p.stop)
	}
}

func (w *simulation) degradeTarget(d time.Duration) {
	t := w.sortedTargets[w.rng.IntN(len(w.sortedTargets))]
	if w.chance(0.5) {
		w.tracef("fault: %s is down, %v", t.key.Name, d)
		t.down = true
	} else {
		w.tracef("fault: %s is degraded, %v", t.key.Name, d)
		t.degraded = true
	}
	w.after(d, func() { t.down, t.degraded = false, false })
}

// jumpClock moves a process's clock.
func (w *simulation) jumpClock() {
	if p := w.live[w.pickName()]; p != nil {
		by := w.upTo(4*time.Second) - 2*time.Second
		w.tracef("fault: clock of %s jumps by %v", p, by)
		p.offset += by
	}
}
