package rollout

import (
	"fmt"
	"time"
)

const (
	// significance is the probability below which a difference between the versions counts as
	// shown. It is low as the counts are compared several times a second and for each route.
	significance = 1e-5
	// tolerance is by how much the share of bad answers may exceed that of the old version: a canary
	// with empty caches is a little worse than the targets that it replaces. An excess is shown by a
	// probability below excessSignificance.
	tolerance          = 0.03
	excessSignificance = 1e-3
	// outlierSignificance is the probability below which a canary counts as worse than the others.
	outlierSignificance = 0.01
	// minCanaries is how many targets have to have answered before a version counts as worse, and
	// minOtherAnswers how many answers have to come from others than the one with most, as it may
	// be the fault of that target. With maxDoubtfulBad bad answers less is enough.
	minCanaries     = 4
	minOtherAnswers = 10
	maxDoubtfulBad  = 25
	// minAnswers is how many answers of canaries a version needs to be promoted.
	minAnswers = 20
	// rampDelay is the time in which all instances learn of the promotion.
	rampDelay = 500 * time.Millisecond
	// latencyMargin is how many times the mean latency the last requests of the old version may
	// take.
	latencyMargin = 3
	// completeMargin is the time before the deadline that is left to write the status and spread it.
	completeMargin = 800 * time.Millisecond
	// minSlotShare is the share of the old version's slots that the new version needs.
	minSlotShare = 0.8
)

// Input is what a decision about a rollout is based on.
type Input struct {
	Schedule
	Now      time.Time
	Counts   Counts
	HadOld   bool          // targets of another version have been registered
	OldSlots int           // of usable targets
	NewSlots int           // of usable targets that are not cold
	Latency  time.Duration // mean latency of the service
	// Unsettled is the number of instances that may still send requests to the old version, and
	// OldInFlight the number of requests that its targets have.
	Unsettled   int
	OldInFlight int
}

// Reasons for rolling back.
const (
	ReasonWithdrawn = "order withdrawn"
	reasonLate      = "too little time"
	reasonNoTargets = "too few targets of the new version"
	reasonNoAnswers = "too few answers of the new version"
	reasonStillUsed = "instances still use the old version at the deadline"
)

// Decide returns the phase that follows from the input, and the reason for a roll-back.
func Decide(phase Phase, in Input) (next Phase, reason string) {
	if phase.Final() {
		return phase, ""
	}
	if reason := Fault(in.Counts); reason != "" {
		return RolledBack, reason
	}
	if phase == Promoting {
		return in.decidePromoting()
	}
	return in.decideCanary()
}

// decideCanary promotes as late as the deadline allows, as some versions fail only after a while.
func (in *Input) decideCanary() (Phase, string) {
	if !in.HadOld && in.NewSlots > 0 {
		return Completed, "" // the service has the version already
	}
	if in.Now.Before(in.PromoteAt(in.Latency)) {
		return Canary, ""
	}
	canaries, _ := in.Counts.Totals()
	switch {
	case !in.Now.Before(in.Deadline.Add(-completeMargin)):
		return RolledBack, reasonLate
	case in.NewSlots == 0 || float64(in.NewSlots) < minSlotShare*float64(in.OldSlots):
		return RolledBack, reasonNoTargets
	case canaries.Answers < minAnswers:
		return RolledBack, reasonNoAnswers
	}
	return Promoting, ""
}

func (in *Input) decidePromoting() (Phase, string) {
	if in.Unsettled <= 0 && in.OldInFlight == 0 {
		return Completed, ""
	}
	if in.Now.Before(in.Deadline.Add(-completeMargin)) {
		return Promoting, ""
	}
	if in.Unsettled > 0 {
		return RolledBack, reasonStillUsed
	}
	return Completed, ""
}

// Fault returns what shows that the new version is worse than the old one; "" if nothing does.
func Fault(counts Counts) string {
	for _, c := range counts.comparisons() {
		if reason := c.fault(); reason != "" {
			return reason
		}
	}
	return ""
}

func (c *comparison) fault() string {
	canaries := c.typicalCanaries()
	if !c.fromSeveral() && canaries.Bad < maxDoubtfulBad {
		return ""
	}
	p := exactTest(canaries, c.old)
	if p >= significance || binomialTail(canaries, c.old.badShare()+tolerance) >= excessSignificance {
		return ""
	}
	where := "all routes"
	if c.route != "" {
		where = "route " + c.route
	}
	return fmt.Sprintf("%s: %d of %d answers bad, old version %d of %d, p=%.1g", where, canaries.Bad, canaries.Answers, c.old.Bad, c.old.Answers, p)
}
