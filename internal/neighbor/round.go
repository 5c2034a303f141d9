package neighbor

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Result is the result of a check.
type Result int

// Values of Result.
const (
	NoAnswer Result = iota
	Refused         // the connection was refused: the machine is up, and the process isn't
	Reached
)

// String returns the name of the result for log lines.
func (r Result) String() string { return [...]string{"no-answer", "refused", "reached"}[r] }

// Round is one round of checks, in the order of the ring, until enough neighbors were reached.
type Round struct {
	monitor *Monitor

	rest     []Instance // not yet considered
	batch    []Instance // considered, and not yet recorded
	checks   int
	living   int
	answered int // reached or refused

	unreachable []Unreachable
}

// Ring returns the instances except self in the order of the hashes of their names, from the one after self
// on. All instances know the same ring, in which those of one failure domain are scattered.
func Ring(all []Instance, self string) []Instance {
	type hashed struct {
		Instance
		hash uint64
	}
	list := make([]hashed, 0, len(all))
	for _, i := range all {
		if i.Name != self {
			list = append(list, hashed{i, xxhash.Sum64String(i.Name)})
		}
	}
	own := hashed{Instance{Name: self}, xxhash.Sum64String(self)}
	compare := func(a, b hashed) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name)) }
	slices.SortFunc(list, compare)
	after, _ := slices.BinarySearchFunc(list, own, compare)
	ring := make([]Instance, 0, len(list))
	for _, h := range slices.Concat(list[after:], list[:after]) {
		ring = append(ring, h.Instance)
	}
	return ring
}

// Begin begins a round among the instances of a ring.
func (m *Monitor) Begin(ring []Instance) *Round { return &Round{monitor: m, rest: ring} }

// Next returns the instances to check next, none if the round is over. The results are to be given to
// Record before the next call.
func (r *Round) Next() []Instance {
	n := min(liveNeighbors-r.living, maxChecks-r.checks, len(r.rest))
	r.batch, r.rest = r.rest[:n], r.rest[n:]
	r.checks += n
	return r.batch
}

// Record records the results of checks of the instances that Next returned.
func (r *Round) Record(results []Result) {
	for k, i := range r.batch {
		if results[k] != NoAnswer {
			r.answered++
		}
		if r.monitor.confirmed(i) || results[k] == Reached {
			r.living++
			delete(r.monitor.misses, i.Name)
			continue
		}
		r.monitor.misses[i.Name]++
		if misses := r.monitor.misses[i.Name]; misses >= unreachableMisses {
			r.unreachable = append(r.unreachable, Unreachable{Instance: i, Misses: misses, Result: results[k], Rank: r.living})
		}
	}
}

// Unreachable returns the instances that can't be reached; none if the fault may be on this instance's
// side, as several were checked and none answered.
func (r *Round) Unreachable() []Unreachable {
	if r.answered == 0 && r.checks > 1 {
		return nil
	}
	return r.unreachable
}
