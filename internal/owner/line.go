package owner

import "time"

// line is one target as this instance counts it.
type line struct {
	key    TargetKey
	spec   Spec
	listed bool // the settings have the target
	mine   bool // this instance owns it
	owner  string
	claims []claim // what earlier owners may still have in flight

	allowance int       // in force; at most spec.Allowance
	quota     int       // in force; at most spec.Quota
	raiseAt   time.Time // when spec's values come into force; zero when they are

	inFlight int // requests of this instance at the target
	// charges are the lines whose quota the requests use; len(charges) == inFlight.
	// The oldest is given back first: so what stands now is gone when the requests
	// in flight now are, whichever request was charged to which line.
	charges   []*line
	charged   int // requests of this instance that use this line's quota
	heldSlots int // reserved for earlier owners
	heldQuota int // reserved for earlier owners
}

// adopt takes a spec; what it raises holds from settled on.
func (l *line) adopt(s Spec, settled time.Time) {
	same := l.listed && s.Allowance == l.spec.Allowance && s.Quota == l.spec.Quota
	l.spec, l.listed = s, true
	if same {
		return
	}
	l.allowance = min(l.allowance, s.Allowance)
	l.quota = min(l.quota, s.Quota)
	l.raiseAt = settled
}

// withdraw takes the target out; its requests in flight are still counted.
func (l *line) withdraw() {
	l.listed = false
	l.spec.Allowance, l.spec.Quota = 0, 0
	l.allowance, l.quota = 0, 0
	l.raiseAt = time.Time{}
}

// raise puts the spec's values in force.
func (l *line) raise() {
	l.allowance, l.quota = l.spec.Allowance, l.spec.Quota
	l.raiseAt = time.Time{}
}

// slots returns how many slots this instance may fill.
func (l *line) slots(s State) int { return usable(l.allowance, l.heldSlots, s) }

// share returns how much of the place's limit the line brings its owner.
func (l *line) share(s State) int { return usable(l.quota, l.heldQuota, s) }

// usable returns what of a limit may be used beside what is held. Under a
// lapsed tenure another instance may have all but half.
func usable(limit, held int, s State) int {
	switch s {
	case Confirmed:
		return max(limit-held, 0)
	case Lapsed:
		return max(min(limit/2, limit-held), 0)
	default:
		return 0
	}
}
