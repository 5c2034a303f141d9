package owner

import "time"

// target is the state of one target as this instance counts it.
type target struct {
	key            TargetKey
	spec           Spec
	configured     bool // the settings contain the target
	owned          bool // this instance owns it
	owner          string
	previousOwners []previousOwner // they may still have requests in flight

	allowance int       // in force; at most spec.Allowance
	quota     int       // in force; at most spec.Quota
	raiseAt   time.Time // when spec's limits come into force; zero if they already are

	inFlight int // requests of this instance at the target
	// charges are the targets whose quota the requests use; len(charges) == inFlight.
	// The oldest charge is returned first: the present charges are then returned by
	// the time the present requests end, whichever was charged to which target.
	charges       []*target
	charged       int // requests of this instance that use this target's quota
	reservedSlots int // for previous owners
	reservedQuota int // for previous owners
}

// setSpec replaces the spec. Lowered limits apply at once, raised ones from
// raiseAt on.
func (tgt *target) setSpec(s Spec, raiseAt time.Time) {
	same := tgt.configured && s.Allowance == tgt.spec.Allowance && s.Quota == tgt.spec.Quota
	tgt.spec, tgt.configured = s, true
	if same {
		return
	}
	tgt.allowance = min(tgt.allowance, s.Allowance)
	tgt.quota = min(tgt.quota, s.Quota)
	tgt.raiseAt = raiseAt
}

// withdraw marks the target as no longer configured; its requests in flight are
// still counted.
func (tgt *target) withdraw() {
	tgt.configured = false
	tgt.spec.Allowance, tgt.spec.Quota = 0, 0
	tgt.allowance, tgt.quota = 0, 0
	tgt.raiseAt = time.Time{}
}

// raise puts the spec's limits in force.
func (tgt *target) raise() {
	tgt.allowance, tgt.quota = tgt.spec.Allowance, tgt.spec.Quota
	tgt.raiseAt = time.Time{}
}

// usableSlots returns how many slots this instance may fill, including those in use.
func (tgt *target) usableSlots(s LeaseState) int { return usable(tgt.allowance, tgt.reservedSlots, s) }

// usableQuota returns how much of the place's limit the target gives its owner.
func (tgt *target) usableQuota(s LeaseState) int { return usable(tgt.quota, tgt.reservedQuota, s) }

// usable returns how much of a limit may be used beside what is reserved. While
// the lease is expired, another instance may use all but half of the limit.
func usable(limit, reserved int, s LeaseState) int {
	switch s {
	case LeaseConfirmed:
		return max(limit-reserved, 0)
	case LeaseExpired:
		return max(min(limit/2, limit-reserved), 0)
	default:
		return 0
	}
}
