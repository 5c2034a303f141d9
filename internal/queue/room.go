package queue

// limiter bounds the waiting items. Half of the queue is reserved for the teams in
// proportion to their weights, the other half is open to all, so that no team can
// fill the queue.
type room struct {
	length  int
	shares  map[string]int // of the known teams; each over 0
	total   int            // sum of weights
	counts  map[string]int // waiting items, by team
	waiting int            // sum of counts; never over length, even when weights change
}

func newRoom(length int) *room {
	return &room{length: length, shares: make(map[string]int), counts: make(map[string]int)}
}

func (r *room) setShare(team string, weight int) {
	weight = max(weight, defaultShare)
	r.total += weight - r.shares[team]
	r.shares[team] = weight
}

func (r *room) share(team string) int { return max(r.shares[team], defaultShare) }

// reserved returns how many positions of the queue no other team can take.
func (r *room) kept(team string) int {
	if r.total == 0 {
		return 0
	}
	return r.length / 2 * r.shares[team] / r.total
}

// admits reports whether one more item of a team may wait.
func (r *room) free(team string) bool {
	if r.waiting >= r.length {
		return false
	}
	if r.counts[team] < r.kept(team) {
		return true
	}
	open := r.length
	if r.total > 0 {
		open -= r.length / 2
	}
	for other, n := range r.counts {
		open -= max(0, n-r.kept(other))
	}
	return open > 0
}

func (r *room) add(team string) {
	r.counts[team]++
	r.waiting++
}

func (r *room) remove(team string) {
	r.counts[team]--
	r.waiting--
	if r.counts[team] == 0 {
		delete(r.counts, team)
	}
}
