package steer

import (
	"math"
	"math/bits"
	"time"
)

const (
	// slowdownWeight is the weight of a report in the statistics of a service's slowdowns: those of
	// the last hundred or so count.
	slowdownWeight = 0.02
	// slowdownPriorLife is the time in which a slowdown is assumed to lose half of its weight before
	// enough reports were compared: as long as it takes to be told to other instances.
	slowdownPriorLife = 500 * time.Millisecond
	// slowdownPriorSquare is the mean square of deviations that the prior counts for. Real deviations,
	// of a half and more, outweigh it after a few reports, and the prior holds again when there are none.
	slowdownPriorSquare = 0.01
	// minSlowdown bounds how much faster than others a target may count as: one that reports too low a
	// figure must not get a queue without end.
	minSlowdown = 0.5
	// slowdownTellFactor is by how much the slowdown that peers assume must be wrong for a report
	// to be sent.
	slowdownTellFactor = 1.25
	// slowdownRate is how many slowdowns all instances together may tell in a second. Each takes 12
	// bytes at every instance of the region, and 2.4 KB/s at that rate.
	slowdownRate = 200.0
	// slowdownBurst is how much of the rate may be saved up.
	slowdownBurst = time.Second
	// maxSlowdownPercent is the greatest slowdown that is accepted from peers.
	maxSlowdownPercent = 10000
)

// slowdown is a report of how long work takes at a target.
type slowdown struct {
	factor float64   // multiple of the usual time; 0 before the first report
	at     time.Time // when the target made it
}

// report returns the slowdown as it is told to other instances.
func (s slowdown) report(t *target) LoadReport {
	return LoadReport{Target: ^t.idHash, Load: int(math.Round(100 * s.factor)), At: s.at}
}

// slowdownStats describes the slowdowns that a service's targets report.
type slowdownStats struct {
	mean  float64 // running mean of the factors; above 0
	bands [7]slowdownBand
}

// slowdownBand compares reports with the one before from the same target, for one range of the time
// between the two.
type slowdownBand struct {
	product float64 // running mean of the product of the two deviations from the mean
	square  float64 // running mean of the square of the earlier one
	prior   float64 // persistence that is assumed where there are no deviations
}

// slowdownBandUnit is the upper end of the first band. Each further band reaches twice as far.
const slowdownBandUnit = 125 * time.Millisecond

func newSlowdownStats(factor float64) *slowdownStats {
	s := &slowdownStats{mean: factor}
	for i := range s.bands {
		s.bands[i].prior = math.Exp2(-float64(slowdownBandUnit<<i) / float64(slowdownPriorLife))
	}
	return s
}

// observe records a report that a target made at a time after an earlier one.
func (s *slowdownStats) observe(before, after slowdown) {
	if i := slowdownBandOf(after.at.Sub(before.at)); before.factor > 0 && i < len(s.bands) {
		b, deviation := &s.bands[i], before.factor-s.mean
		b.product += slowdownWeight * (deviation*(after.factor-s.mean) - b.product)
		b.square += slowdownWeight * (deviation*deviation - b.square)
	}
	s.mean += slowdownWeight * (after.factor - s.mean)
}

// persistence returns how much of a report's deviation from the mean still holds at an age, 0 to 1.
func (s *slowdownStats) persistence(age time.Duration) float64 {
	i := slowdownBandOf(age)
	if i >= len(s.bands) {
		return 0
	}
	b := &s.bands[i]
	return min(1, max(0, (b.product+slowdownPriorSquare*b.prior)/(b.square+slowdownPriorSquare)))
}

// slowdownBandOf returns the index of the band of an age.
func slowdownBandOf(age time.Duration) int {
	return bits.Len64(uint64(max(0, age) / slowdownBandUnit))
}

// expected returns the factor that a report of some age lets expect now, relative to the mean.
func (s *slowdownStats) expected(now time.Time, last slowdown) float64 {
	if last.factor == 0 {
		return 1
	}
	return max(minSlowdown, 1+s.persistence(now.Sub(last.at))*(last.factor/s.mean-1))
}

// recordSlowdown records the slowdown that the target reported to this instance.
func (t *target) recordSlowdown(now time.Time, percent int) {
	next := slowdown{factor: float64(percent) / 100, at: now}
	if t.service.slowdowns == nil {
		t.service.slowdowns = newSlowdownStats(next.factor)
	}
	// Reports from peers are compared with later ones but not with earlier ones, as those that
	// change nothing are not sent.
	t.service.slowdowns.observe(t.slowdown, next)
	t.slowdown = next
}

// applySlowdown applies a slowdown that a target reported to another instance.
func (f *Fleet) applySlowdown(now time.Time, r LoadReport) {
	t := f.byHash[^r.Target]
	if t == nil || r.Load < 1 || r.Load > maxSlowdownPercent || r.At.After(now) || !r.At.After(t.slowdown.at) || r.At.Before(t.addedAt) {
		return
	}
	t.slowdown = slowdown{factor: float64(r.Load) / 100, at: r.At}
	t.sharedSlowdown = t.slowdown
	f.oftenUntil = now.Add(slowdownsLast)
	if t.service.slowdowns == nil {
		t.service.slowdowns = newSlowdownStats(1)
	}
}

// shouldTellSlowdown reports whether the target's slowdown is to be told to other instances: peers
// would estimate a clearly different one, and the rate limit allows it.
func (f *Fleet) shouldTellSlowdown(now time.Time, t *target) bool {
	if t.slowdown.factor == 0 || !t.slowdown.at.Equal(t.ownLoadAt) {
		return false
	}
	stats := t.service.slowdowns
	wrong := t.slowdown.factor / (stats.mean * stats.expected(now, t.sharedSlowdown))
	if max(wrong, 1/wrong) < slowdownTellFactor || f.nextSlowdown.After(now) {
		return false
	}
	interval := time.Duration(float64(len(f.peers)) * float64(time.Second) / slowdownRate)
	f.nextSlowdown = later(f.nextSlowdown, now.Add(-slowdownBurst)).Add(interval)
	return true
}

// slowdownFactor returns how long work takes at the target now, relative to the service's targets:
// 1 if nothing recent is known.
func (t *target) slowdownFactor(now time.Time) float64 {
	if t.slowdown.factor == 0 {
		return 1
	}
	return t.service.slowdowns.expected(now, t.slowdown)
}

// slowdownAge returns the age of the last report of the target's slowdown; -1 before the first.
func (t *target) slowdownAge(now time.Time) time.Duration {
	if t.slowdown.at.IsZero() {
		return -1
	}
	return now.Sub(t.slowdown.at)
}
