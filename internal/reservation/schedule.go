// Package reservation decides when callers that were refused for lack of capacity should return,
// and reserves capacity for them.
//
// The package does no input or output and is not safe for concurrent use.
package reservation

import (
	"math"
	"slices"
	"time"
)

const (
	// reservedShare is the part of the capacity that is reserved for callers that return. The rest
	// is for first attempts, whose answers can still be within the objective.
	reservedShare = 0.25
	// claimFactor is by how much returns may exceed the reserved rate at one instance, as callers
	// return to any instance, and minClaims how many of them are always admitted at the same time.
	claimFactor = 2
	minClaims   = 4.0
	// levelMargin is by how much the levels of instances may differ for a caller that one has given
	// a moment to be admitted by another.
	levelMargin = 1.5
	// minClassShare is the part of the reserved capacity that the callers of a class can get however
	// many more urgent ones are refused.
	minClassShare = 1.0 / 8
	// maxReserved bounds the moments that are reserved at a time.
	maxReserved = 512
	// surgeSpan is how soon a surge of refused callers must be noticed: before many of them have been
	// given moments that the others' returns will take.
	surgeSpan = 150 * time.Millisecond
	// maxBeyond bounds the time that a caller without a moment is told, as the load may change within
	// seconds.
	maxBeyond = 10 * time.Second
	// classCount is the number of classes of callers; those of lower priorities are in the last.
	classCount = 8
)

// Schedule holds the moments at which refused callers of a service were asked to return. They may return
// to any instance. If not all can get a moment, those whose requests have the lowest hashes get one, up to a
// level that instances estimate alike, so each instance knows who that is without being told.
type Schedule struct {
	phase     float64     // part of a gap before the first moment; differs between instances; 0 to 1
	reserved  []time.Time // ascending; later than the last gap; at most maxReserved
	refused   [classCount]demand
	claims    float64   // returns that may be admitted now; 0 or more
	claimedAt time.Time // when claims were last added; zero before the first
}

// NewSchedule returns an empty schedule. The phase, 0 to 1, should differ between instances, as
// their callers would otherwise return at the same moments.
func NewSchedule(phase float64) *Schedule { return &Schedule{phase: phase} }

// Caller describes a caller that is refused or has returned.
type Caller struct {
	Hash      uint64    // of its request; the same when it returns
	Priority  int       // 0 is the most urgent
	Returned  bool      // it was refused before; few callers return twice
	NotBefore time.Time // earliest time at which a return can be of use
	Latest    time.Time // latest time until which it waits
}

// demand measures how many callers of a class are refused.
type demand struct{ steady, surge Meter }

func (d *demand) count(now time.Time) {
	d.steady.Count(now)
	d.surge.Span = surgeSpan
	d.surge.Count(now)
}

// peak returns the callers per second, as soon as they become more. The last one alone doesn't count
// as a surge.
func (d *demand) peak(now time.Time) float64 {
	return max(d.steady.PerSecond(now), d.surge.PerSecond(now)-1/surgeSpan.Seconds())
}

// class returns the caller's class, 0 the most urgent.
func (c *Caller) class() int { return min(classCount-1, max(0, c.Priority)) }

// Reserve returns the moment at which a refused caller should return. capacity is the number of
// requests per second that this instance can have served. If there is no moment for the caller until
// c.Latest, at is later and ok is false.
//
// Moments are at least as far apart as the reserved capacity requires. Callers of a class
// keep a greater distance if more urgent callers are refused too, which leaves moments for those.
func (s *Schedule) Reserve(now time.Time, c Caller, capacity float64) (at time.Time, ok bool) {
	class := c.class()
	if !c.Returned {
		s.refused[class].count(now)
	}
	rate := s.classRate(now, class, capacity)
	gap := time.Duration(float64(time.Second) / max(rate, minRate))
	s.expire(now, gap)
	at = c.NotBefore
	for _, taken := range s.reserved {
		if taken.Sub(at) >= gap {
			break
		}
		at = later(at, taken.Add(gap))
	}
	if c.Returned || at.After(c.Latest) || !c.within(rate, s.refused[class].peak(now)) || len(s.reserved) >= maxReserved {
		return later(c.Latest, earlier(later(at, c.Latest.Add(gap)), c.Latest.Add(maxBeyond))), false
	}
	i, _ := slices.BinarySearchFunc(s.reserved, at, time.Time.Compare)
	s.reserved = slices.Insert(s.reserved, i, at)
	return at, true
}

// minRate keeps gaps below an hour.
const minRate = 1.0 / 3600

// expire drops the moments that no longer keep others at a distance. An empty schedule gets a past
// moment, so that its first one is at the phase.
func (s *Schedule) expire(now time.Time, gap time.Duration) {
	n := 0
	for n < len(s.reserved) && now.Sub(s.reserved[n]) >= gap {
		n++
	}
	s.reserved = s.reserved[:copy(s.reserved, s.reserved[n:])]
	if len(s.reserved) == 0 {
		s.reserved = append(s.reserved, now.Add(-time.Duration((1-s.phase)*float64(gap))))
	}
}

// classRate returns how many moments per second callers of a class can get: what the refused callers of more
// urgent classes leave.
func (s *Schedule) classRate(now time.Time, class int, capacity float64) float64 {
	reserved := capacity * reservedShare
	left := reserved
	for i := range s.refused[:class] {
		left -= s.refused[i].steady.PerSecond(now)
	}
	return max(left, reserved*minClassShare)
}

// within reports whether the hash of a caller is in the part of its class that can get moments: rate of
// the demand, both per second.
func (c *Caller) within(rate, demand float64) bool {
	return float64(c.Hash)/math.MaxUint64*demand <= rate
}

// Claim reports whether a caller that has returned is admitted to the reserved capacity, and counts it if
// so. The reserved capacity of a second can be claimed at once.
func (s *Schedule) Claim(now time.Time, c Caller, capacity float64) bool {
	rate := capacity * reservedShare * claimFactor
	most := max(minClaims, rate)
	if s.claimedAt.IsZero() {
		s.claims = most
	} else {
		s.claims = min(most, s.claims+rate*max(0, now.Sub(s.claimedAt).Seconds()))
	}
	s.claimedAt = now
	class := c.class()
	if s.claims < 1 || !c.within(s.classRate(now, class, capacity)*levelMargin, s.refused[class].steady.PerSecond(now)) {
		return false
	}
	s.claims--
	return true
}

// Unclaim takes back the last claim, of a caller for which there was no target.
func (s *Schedule) Unclaim() { s.claims++ }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
