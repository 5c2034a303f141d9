package queue

// room bounds the items that wait. Half of it is kept for the teams by their
// shares, the other half is open to all, so that no team can fill the queue.
type room struct {
	length  int
	shares  map[string]int // weights of the known teams; each over 0
	total   int            // of shares
	counts  map[string]int // items that wait, by team
	waiting int            // of counts; never over length, also when shares change
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

// kept returns how many places of the queue no other team can take.
func (r *room) kept(team string) int {
	if r.total == 0 {
		return 0
	}
	return r.length / 2 * r.shares[team] / r.total
}

// free says whether one more item of a team may wait.
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
