package member

import "math/rand/v2"

// ring goes through ids in a random order that is new in each round, so that
// each is met once a round.
type ring struct{ left []string }

// next returns the next id that is still good; refill names those of a new round.
func (r *ring) next(rng *rand.Rand, good func(string) bool, refill func() []string) (string, bool) {
	for range 2 {
		for len(r.left) > 0 {
			id := r.left[0]
			r.left = r.left[1:]
			if good(id) {
				return id, true
			}
		}
		r.left = refill()
		rng.Shuffle(len(r.left), func(i, j int) { r.left[i], r.left[j] = r.left[j], r.left[i] })
	}
	return "", false
}
