package member

import "math/rand/v2"

// ring iterates over ids in random order, each once per round. Each round has a new order.
type ring struct{ remaining []string }

// next returns the next id that still satisfies good. refill returns the ids of a new round.
func (r *ring) next(rng *rand.Rand, good func(string) bool, refill func() []string) (string, bool) {
	for range 2 {
		for len(r.remaining) > 0 {
			id := r.remaining[0]
			r.remaining = r.remaining[1:]
			if good(id) {
				return id, true
			}
		}
		r.remaining = refill()
		rng.Shuffle(len(r.remaining), func(i, j int) { r.remaining[i], r.remaining[j] = r.remaining[j], r.remaining[i] })
	}
	return "", false
}
