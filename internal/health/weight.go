package health

import (
	"cmp"
	"time"
)

// usable returns the slots of t that may be used now, and why.
func (b *Book[K]) usable(now time.Time, t *target[K]) (int, State) {
	n, state := b.measured(now, t)
	steps := t.steps(now, b.cfg.Age)
	if steps > 0 && n < t.limit() {
		return aged(n, steps, t.limit()), Aged
	}
	return n, state
}

// measured returns what the measurements allow, however old they are.
func (b *Book[K]) measured(now time.Time, t *target[K]) (int, State) {
	if t.ejected {
		return b.ejected(t)
	}
	n, state := min(t.open, t.limit()), Warm
	if !now.Before(t.idleAt) {
		n = 1
	}
	if n < t.limit() {
		state = Cold
	}
	if hinted := t.hint(now, n); hinted < n {
		return hinted, Hinted
	}
	return n, state
}

// ejected returns the slots of an ejected target: none, unless too many are
// ejected and this is one of the least bad.
func (b *Book[K]) ejected(t *target[K]) (int, State) {
	out, better, own := 0, 0, 0
	for _, other := range b.targets {
		if other.foreign {
			continue
		}
		own++
		if !other.ejected {
			continue
		}
		out++
		if b.worse(t, other) {
			better++
		}
	}
	if better >= out-b.most(own) {
		return 0, Ejected
	}
	return max(1, t.limit()/2), Reduced
}

// most is how many of this instance's own targets may be ejected at one time.
// It is rounded up if other instances use some of the service's targets too.
func (b *Book[K]) most(own int) int {
	if own < len(b.targets) {
		return (own*b.cfg.Floor + 99) / 100
	}
	return own * b.cfg.Floor / 100
}

// worse orders ejected targets by how much they failed.
func (b *Book[K]) worse(t, other *target[K]) bool {
	return cmp.Or(
		cmp.Compare(t.rate, other.rate),
		cmp.Compare(t.ejections, other.ejections),
		b.compare(t.key, other.key),
	) > 0
}

// signal takes note that something was heard of t. What aged stays, so that the
// weight doesn't fall back; a target that was idle starts cold.
func (b *Book[K]) signal(now time.Time, t *target[K]) {
	idle := !now.Before(t.idleAt)
	switch {
	case t.steps(now, b.cfg.Age) > 0:
		n, _ := b.usable(now, t)
		t.reopen(now, n, b.cfg.Step)
		t.idleAt = now.Add(b.cfg.Idle)
	case idle && !t.ejected:
		t.reopen(now, 1, b.cfg.Step)
		t.failed, t.rate, t.seen = 0, 0, 0
	}
	t.silentAt = now.Add(b.cfg.Silent)
}

// succeed takes in an answer. An ejected target comes back when its time has
// passed; before, an answer changes nothing but its rate.
func (b *Book[K]) succeed(now time.Time, t *target[K], latency time.Duration) {
	t.count(false)
	if t.latency == 0 {
		t.latency = latency
	}
	t.latency += (latency - t.latency) / 8
	if !t.ejected {
		t.grow(now, b.cfg.Step)
		return
	}
	if now.Before(t.until) {
		return
	}
	t.ejected = false
	t.failed, t.rate, t.seen = 0, 0, 0
	t.reopen(now, t.open, b.cfg.Step)
}

// fail takes in a failure. Late failures of requests sent before an ejection
// don't make it longer.
func (b *Book[K]) fail(now time.Time, t *target[K]) {
	t.count(true)
	switch {
	case t.ejected && now.Before(t.until):
	case t.ejected, b.bad(t):
		b.eject(now, t)
	}
}

// bad tells whether a target must be ejected. One that came back and is not
// warm again is ejected by its first failure.
func (b *Book[K]) bad(t *target[K]) bool {
	if t.ejections > 0 && !t.warm() {
		return true
	}
	if t.failed >= b.cfg.Failures {
		return true
	}
	return t.seen >= b.cfg.Samples && t.rate*100 >= whole*b.cfg.Percent
}

// eject ejects t for twice as long as the last time, Most at most.
func (b *Book[K]) eject(now time.Time, t *target[K]) {
	d := b.cfg.Eject
	for range t.ejections {
		d = min(2*d, b.cfg.Most)
	}
	if shorter := int64(d) * int64(b.cfg.Jitter) / 100; shorter > 0 {
		d -= time.Duration(b.rng.Int64N(shorter))
	}
	t.ejected = true
	t.ejections = min(t.ejections+1, 32)
	t.until = now.Add(d)
	t.probeUntil = time.Time{}
	t.silentAt = t.until.Add(b.cfg.Silent) // nothing is sent to it before until
	t.reopen(now, 1, b.cfg.Step)
}
