package queue

// limiter bounds the waiting items. Half of the queue is reserved for the teams in
// proportion to their weights, the other half is open to all, so that no team can
// fill the queue.
type limiter struct {
	length      int
	weights     map[string]int // of the known teams; each over 0
	totalWeight int            // sum of weights
	counts      map[string]int // waiting items, by team
	waiting     int            // sum of counts; never over length, even when weights change
}

func newLimiter(length int) *limiter {
	return &limiter{length: length, weights: make(map[string]int), counts: make(map[string]int)}
}

func (l *limiter) setWeight(team string, weight int) {
	weight = max(weight, defaultWeight)
	l.totalWeight += weight - l.weights[team]
	l.weights[team] = weight
}

func (l *limiter) weight(team string) int { return max(l.weights[team], defaultWeight) }

// reserved returns how many positions of the queue no other team can take.
func (l *limiter) reserved(team string) int {
	if l.totalWeight == 0 {
		return 0
	}
	return l.length / 2 * l.weights[team] / l.totalWeight
}

// admits reports whether one more item of a team may wait.
func (l *limiter) admits(team string) bool {
	if l.waiting >= l.length {
		return false
	}
	if l.counts[team] < l.reserved(team) {
		return true
	}
	open := l.length
	if l.totalWeight > 0 {
		open -= l.length / 2
	}
	for other, n := range l.counts {
		open -= max(0, n-l.reserved(other))
	}
	return open > 0
}

func (l *limiter) add(team string) {
	l.counts[team]++
	l.waiting++
}

func (l *limiter) remove(team string) {
	l.counts[team]--
	l.waiting--
	if l.counts[team] == 0 {
		delete(l.counts, team)
	}
}
