package steer

import (
	"time"

	"github.com/firlever/firlever/internal/routes"
)

// Query asks for a target.
type Query struct {
	Service   string
	Object    string         // the object that the request is about; "" if none
	Spread    string         // chooses among equals if there is no Object; the request's ID
	Regions   routes.Regions // where the target may be
	Objective time.Duration  // latency within which an answer is worth most
	Deadline  time.Time      // an answer is of no use later
	Size      float64        // bytes of the answer, as far as is known
	Retry     bool           // the request was sent to another target before
	Tried     []string       // IDs of the targets that it was sent to
}

// Reason says why a request is refused.
type Reason string

// The reasons.
const (
	NoTarget Reason = "no-target" // the service has none that may get requests
	NoRoom   Reason = "no-room"   // every target would answer too late
	NoBudget Reason = "no-budget" // the retry budget is used up
	Cold     Reason = "cold"      // the targets with room are cold and have had their share
	Resting  Reason = "resting"   // every target has asked for rest
	Limited  Reason = "limited"   // every target has named a limit, and has had this instance's part of it
)

// Choice is the target that gets the request, or why there is none.
type Choice struct {
	Target Target        // ID is empty if the request is refused
	Wait   time.Duration // expected until it gets a slot
	Cost   time.Duration // by which the target was chosen
	Home   bool          // the object's home among all targets
	Cold   bool          // the target was cold
	Busy   int           // requests that the target had to do, as far as was known
	Usual  float64       // usual load of the service's targets, for each slot; counts where Age is long
	Age    time.Duration // since the target last told its load; -1 if it never did
	Part   *Part         // of the target's limit; nil if it has named none
	SlowAt time.Time     // without an answer by then, there hardly will be one; another target may be tried beside
	Reason Reason        // set if the request is refused
	Again  time.Duration // when it is worth coming back; set if the request is refused
	First  string        // ID of the target that would have got it first; set if the request is refused
}

// Times that refused callers are told to come back after.
const (
	minRetryAfter      = 50 * time.Millisecond // a slot is free again by then at most targets
	coldRetryAfter     = 300 * time.Millisecond
	noTargetRetryAfter = time.Second // until a target has registered
)

// defaultObjective is for routes that have none: what an interactive caller bears.
const defaultObjective = time.Second

// initialLatencyShare is the share of the objective that one request's work is taken to
// need before any was measured.
const initialLatencyShare = 0.5

// Pick chooses a target and takes a place at it; Done gives it back.
func (f *Fleet) Pick(now time.Time, q Query) Choice {
	s, ok := f.services[q.Service]
	if !ok {
		return Choice{Reason: NoTarget, Again: noTargetRetryAfter}
	}
	f.expirePeers(now)
	if q.Objective <= 0 {
		q.Objective = defaultObjective
	}
	if !q.Retry {
		s.budget.Request(now)
	}
	c := f.best(now, s, q)
	if c.Target.ID == "" {
		return c
	}
	if q.Retry && !s.budget.Spend(now) {
		return c.refuseRetry()
	}
	f.spendToken(now, f.targets[c.Target.ID])
	f.targets[c.Target.ID].startRequest(now)
	c.SlowAt = now.Add(c.Wait + max(q.Objective, hedgeFactor*s.latency(q.Objective)))
	return c
}

// refuseRetry refuses a retry for which there was a target: the caller comes back when
// that has room, as its next attempt is no retry of ours. With half of the requests
// refused at all targets, 0.899 instead of 0.886 of the credit of a day was earned.
func (c Choice) refuseRetry() Choice {
	return Choice{
		Reason: NoBudget, Again: max(minRetryAfter, c.Wait), First: c.Target.ID,
		Wait: c.Wait, Busy: c.Busy, Usual: c.Usual, Age: c.Age, Part: c.Part,
	}
}

// best returns the cheapest target that can answer in time: first among those that
// rank high for the object, then among all.
func (f *Fleet) best(now time.Time, s *service, q Query) Choice {
	o := f.order(now, s, q)
	if o.size == 0 {
		if c, ok := f.refuseBackingOff(now, s, q); ok {
			return c
		}
		return Choice{Reason: NoTarget, Again: noTargetRetryAfter}
	}
	mean := s.latency(q.Objective)
	found, refused := f.cheapest(now, o.rankedCandidates(), q, mean)
	if found.Target.ID == "" || q.Object == "" {
		var all Choice
		found, all = f.cheapest(now, f.allCandidates(now, s, q, o), q, mean)
		if refused.Reason == Limited {
			refused = all
		}
	}
	if found.Target.ID != "" {
		return found
	}
	if refused.Reason == Limited {
		refused.Again = s.scheduleRetry(now, now.Add(refused.Again), f.limitRetryGap(now, s))
	}
	return refused
}

// cheapest returns the cheapest of some targets that can answer in time, and the
// refusal if there is none.
func (f *Fleet) cheapest(now time.Time, list []candidate, q Query, mean time.Duration) (found, refused Choice) {
	first := list[0]
	limitedCount, limitRetry := 0, maxLimitWait
	refused = Choice{Reason: NoRoom, Again: noTargetRetryAfter, First: first.ID, Wait: first.queueWait(now, first.workTime(mean))}.withLoadOf(now, first)
	for _, c := range list {
		if wait := f.limitWait(now, c.target); wait > 0 {
			limitedCount, limitRetry = limitedCount+1, min(limitRetry, wait)
			continue
		}
		wait := c.queueWait(now, c.workTime(mean))
		if wait > q.Objective || !q.Deadline.After(now.Add(wait)) || now.Before(c.shedUntil) {
			refused.Again = min(refused.Again, max(minRetryAfter, mean/2, wait-q.Objective))
			continue
		}
		if q.Object != "" && !f.isHome(c, q) && !c.idle(now) {
			refused.Again = min(refused.Again, max(minRetryAfter, mean/2))
			continue
		}
		if !f.coldAllowed(now, c.target) {
			refused.Reason, refused.Again = Cold, min(refused.Again, coldRetryAfter)
			continue
		}
		cost := wait + f.penalty(c, q, mean) + c.excessLatency(now, mean)
		if c.cold(now) {
			cost += mean
		}
		if found.Target.ID == "" || cost < found.Cost {
			found = Choice{
				Target: c.Target, Wait: wait, Cost: cost, Home: c.globalRank == 0, Cold: c.cold(now),
			}.withLoadOf(now, c)
		}
	}
	if limitedCount == len(list) {
		refused.Reason, refused.Again = Limited, limitRetry
	} else if limitedCount > 0 {
		refused.Again = min(refused.Again, max(minRetryAfter, limitRetry))
	}
	return found, refused
}

// withLoadOf notes what is known of the load of the target that decided.
func (c Choice) withLoadOf(now time.Time, t candidate) Choice {
	c.Busy, c.Usual, c.Age = t.currentLoad(now), t.service.typicalLoad, t.loadAge(now)
	c.Part = t.limitShare()
	return c
}

// isHome says whether the target is one of those that keep the object warm.
func (f *Fleet) isHome(c candidate, q Query) bool {
	if c.globalRank < homeCount {
		return true
	}
	return f.hasLocalHomes(q) && (c.target.region == f.region && c.regionRank < homeCount || c.Domain == f.cfg.Domain && c.domainRank < homeCount)
}

// hasLocalHomes says whether the object has homes in each failure domain and region too, as
// its answers are too large to be carried from one home.
func (f *Fleet) hasLocalHomes(q Query) bool { return f.transferCost(q) > domainHomeCost }

// transferCost is what it costs to transferCost the answer between failure domains.
func (f *Fleet) transferCost(q Query) time.Duration { return time.Duration(f.cfg.ByteCost * q.Size) }

// latency is the time of one request's work, measured or guessed.
func (s *service) latency(objective time.Duration) time.Duration {
	if s.meanLatency > 0 {
		return s.meanLatency
	}
	return time.Duration(initialLatencyShare * float64(objective))
}

// penalty is what a target costs by where it is and by not being the object's home.
func (f *Fleet) penalty(c candidate, q Query, mean time.Duration) time.Duration {
	cost := time.Duration(0)
	if c.Domain != f.cfg.Domain {
		cost += f.transferCost(q)
	}
	if q.Object == "" {
		return cost
	}
	miss := float64(mean) * missCostFactor
	missed := missCost(miss, c.globalRank)
	if f.hasLocalHomes(q) {
		if c.target.region == f.region {
			missed = min(missed, regionHomeCost+missCost(miss, c.regionRank))
		}
		if c.Domain == f.cfg.Domain {
			missed = min(missed, domainHomeCost+missCost(miss, c.domainRank))
		}
	}
	return cost + missed
}

// missCost is the expected loss at the target in a place of the order: nothing at
// the home, half of it at the second, as that gets what the home has no room for.
func missCost(miss float64, rank int) time.Duration {
	return time.Duration(miss * (1 - 1/float64(uint64(1)<<min(rank, lowestRank))))
}
