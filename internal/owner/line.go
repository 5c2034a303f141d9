package owner

import "time"

// target is the state of one target as this instance counts it.
type line struct {
	key    TargetKey
	spec   Spec
	listed bool // the settings contain the target
	mine   bool // this instance owns it
	owner  string
	claims []claim // they may still have requests in flight

	allowance int       // in force; at most spec.Allowance
	quota     int       // in force; at most spec.Quota
	raiseAt   time.Time // when spec's limits come into force; zero if they already are

	inFlight int // requests of this instance at the target
	// charges are the targets whose quota the requests use; len(charges) == inFlight.
	// The oldest charge is returned first: the present charges are then returned by
	// the time the present requests end, whichever was charged to which target.
	charges   []*line
	charged   int // requests of this instance that use this target's quota
	heldSlots int // for previous owners
	heldQuota int // for previous owners
}

// setSpec replaces the spec. Lowered limits apply at once, raised ones from
// raiseAt on.
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

// withdraw marks the target as no longer configured; its requests in flight are
// still counted.
func (l *line) withdraw() {
	l.listed = false
	l.spec.Allowance, l.spec.Quota = 0, 0
	l.allowance, l.quota = 0, 0
	l.raiseAt = time.Time{}
}

// raise puts the spec's limits in force.
func (l *line) raise() {
	l.allowance, l.quota = l.spec.Allowance, l.spec.Quota
	l.raiseAt = time.Time{}
}

// usableSlots returns how many slots this instance may fill, including those in use.
func (l *line) slots(s State) int { return usable(l.allowance, l.heldSlots, s) }

// usableQuota returns how much of the place's limit the target gives its owner.
func (l *line) share(s State) int { return usable(l.quota, l.heldQuota, s) }

// usable returns how much of a limit may be used beside what is reserved. While
// the lease is expired, another instance may use all but half of the limit.
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
