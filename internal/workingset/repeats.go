package workingset

import "math"

const (
	// repeatWindow is about how many of the last repeats count: few enough that a change of what
	// targets keep shows within a minute at a target's usual rate.
	repeatWindow = 600
	// minEvidence is the least weight on either side of a step.
	minEvidence = 12
	// minDeviation is the least difference between warm and cold runs, in standard deviations of
	// its estimate. All distances are tried, so a lower bound finds steps in noise.
	minDeviation = 5
)

// samples are the logarithms of the durations of runs, each divided by what its kind took at first.
type samples struct{ n, sum, squares float64 }

func (s *samples) add(x float64) { s.n, s.sum, s.squares = s.n+1, s.sum+x, s.squares+x*x }

func (s *samples) decay(factor float64) {
	s.n, s.sum, s.squares = s.n*factor, s.sum*factor, s.squares*factor
}

func (s *samples) mean() float64 { return s.sum / max(s.n, 1e-9) }

func (s *samples) plus(o samples) samples {
	return samples{s.n + o.n, s.sum + o.sum, s.squares + o.squares}
}

// spread returns the sum of the squared distances from the mean.
func (s *samples) spread() float64 { return max(0, s.squares-s.sum*s.mean()) }

// repeats holds how long repeated runs took by how many other objects ran in between.
type repeats struct {
	buckets []samples // by bucketOf the distance
	all     samples
}

func newRepeats(mostDistance int) *repeats {
	return &repeats{buckets: make([]samples, bucketOf(mostDistance)+1)}
}

// bucketsPerOctave divides distances finely enough to tell 12 kept objects from 13.
const bucketsPerOctave = 8

// bucketOf returns the bucket of a distance: one each up to bucketsPerOctave, then as many for each
// doubling.
func bucketOf(distance int) int {
	if distance < bucketsPerOctave {
		return distance
	}
	return int(bucketsPerOctave * (1 + math.Log2(float64(distance)/bucketsPerOctave)))
}

// distanceOf returns the least distance in a bucket or above.
func distanceOf(bucket int) int {
	if bucket < bucketsPerOctave {
		return bucket
	}
	return int(math.Ceil(bucketsPerOctave * math.Exp2(float64(bucket)/bucketsPerOctave-1)))
}

func (r *repeats) add(distance int, x float64) {
	for i := range r.buckets {
		r.buckets[i].decay(1 - 1.0/repeatWindow)
	}
	r.all.decay(1 - 1.0/repeatWindow)
	r.buckets[min(bucketOf(distance), len(r.buckets)-1)].add(x)
	r.all.add(x)
}

// step is the number of other objects from which on repeats are slow.
type step struct {
	distance   int
	warm       float64 // mean of the repeats below it
	coldFactor float64 // of the repeats from there on
	deviation  float64 // of the coldFactor from 1, in standard deviations of its estimate
}

// step returns the most likely step; false if there is none that is large and certain enough.
func (r *repeats) step(minSlowdown float64) (step, bool) {
	var near samples
	var found step
	best := 0.0
	for i, b := range r.buckets[:len(r.buckets)-1] {
		near = near.plus(b)
		far := r.all.plus(samples{-near.n, -near.sum, -near.squares})
		if near.n < minEvidence || far.n < minEvidence {
			continue
		}
		gap := far.mean() - near.mean()
		explained := gap * gap * near.n * far.n / (near.n + far.n)
		if gap < math.Log(minSlowdown) || explained <= best {
			continue
		}
		best = explained
		variance := (near.spread() + far.spread()) / (near.n + far.n)
		found = step{distanceOf(i + 1), near.mean(), math.Exp(gap), gap / math.Sqrt(max(1e-9, variance)*(1/near.n+1/far.n))}
	}
	return found, found.deviation >= minDeviation
}

// reach returns the distance that a twentieth of the repeats exceed.
func (r *repeats) reach() int {
	n := 0.0
	for i := len(r.buckets) - 1; i > 0; i-- {
		if n += r.buckets[i].n; n > r.all.n/20 {
			return distanceOf(i)
		}
	}
	return 0
}
