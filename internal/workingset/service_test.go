package workingset

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Work and objective of the service that is played.
const (
	warmWork  = 250 * time.Millisecond
	coldWork  = 3 * warmWork
	objective = 600 * time.Millisecond
	toldAfter = 500 * time.Millisecond // until instances know of a run elsewhere
)

// server is a target with slots, a queue and a cache.
type server struct {
	cache   cache
	running int
	queue   []*request
}

type request struct {
	object  int
	server  int
	asked   time.Time
	returns int // after a refusal
	first   bool
	known   bool      // its object was asked for some time before
	at      time.Time // of its next event
	ended   bool      // the next event is the end of its run
}

// events are ordered by time.
type events []*request

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(r any)        { *e = append(*e, r.(*request)) }
func (e *events) Pop() any {
	r := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return r
}

// service plays requests at servers. A request goes to the least loaded home that answers in time.
type service struct {
	rng                *rand.Rand
	now                time.Time
	servers            []server
	slots              int
	keeps              int
	objects            *world   // chooses objects by heat
	estimate           Estimate // of what the servers keep; if unknown, nothing is restricted
	plan               Plan
	places             []Place // by object
	orders             [][]int // of servers by object
	gate               *Gate   // nil: all runs may start
	ranAt              map[flight]time.Time
	events             events
	mean               time.Duration // of runs, as instances measure it
	asked              []time.Time   // when an object was first asked for; by object
	inTime             int
	known, knownInTime int // requests for objects that had been asked for before, and those of them in time
}

func newService(servers, slots, keeps int, objects *world, gate *Gate) *service {
	// The homes of an object are the servers with the least load of hotter ones and fewest objects.
	orders, used := make([][]int, objects.objects), make([]float64, servers)
	for i := range orders {
		orders[i] = rand.New(rand.NewPCG(uint64(i), 3)).Perm(servers)
		slices.SortStableFunc(orders[i], func(a, b int) int { return cmp.Compare(used[a], used[b]) })
		load := objects.share(i) * float64(servers)
		homes := min(servers, int(math.Ceil(load)))
		for _, v := range orders[i][:homes] {
			used[v] += load/float64(homes) + 1/float64(keeps)
		}
	}
	return &service{
		orders: orders, asked: make([]time.Time, objects.objects), rng: rand.New(rand.NewPCG(2, 2)), now: start, servers: make([]server, servers), slots: slots, keeps: keeps,
		objects: objects, places: make([]Place, objects.objects), gate: gate, ranAt: make(map[flight]time.Time), mean: warmWork,
	}
}

// restrict plans the homes of all objects from their true heat.
func (s *service) restrict(load float64) {
	heats, loads := Heats{}, make([]float64, len(s.places))
	for i := range loads {
		loads[i] = load * float64(len(s.servers)) * s.objects.share(i)
		heats.Add(loads[i], s.places[i])
	}
	s.plan = MakePlan(Config{}, Service{Estimate: s.estimate, Targets: len(s.servers), Homes: 2, Heats: heats}, s.plan)
	for i := range s.places {
		s.places[i] = s.plan.Place(uint64(i)*0x9e3779b97f4a7c15, loads[i], s.places[i])
	}
}

// homesOf returns the servers of an object, the first ones in its order that may be its homes.
func (s *service) homesOf(object int) []int {
	p, homes, list := s.places[object], 2, make([]int, 0, 4)
	if p.Homes > 0 {
		homes = p.Homes
	}
	for _, i := range s.orders[object] {
		if p.Overflow == (i < s.plan.Overflow()) && len(list) < homes {
			list = append(list, i)
		}
	}
	return list
}

// play plays a load, as a fraction of what all servers do warm, and returns the fraction of the
// requests that were answered within the objective.
func (s *service) play(load float64, d time.Duration) float64 {
	end, next := s.now.Add(d), s.now
	replan := s.now
	s.inTime, s.known, s.knownInTime = 0, 0, 0
	gap := float64(warmWork) / (load * float64(len(s.servers)*s.slots))
	asked := 0
	for {
		if s.events.Len() > 0 && s.events[0].at.Before(next) && s.events[0].at.Before(end) {
			r := heap.Pop(&s.events).(*request)
			s.now = r.at
			if r.ended {
				s.finish(r)
			} else {
				s.arrive(r)
			}
			continue
		}
		if !next.Before(end) {
			break
		}
		s.now = next
		if s.estimate.Known() && !s.now.Before(replan) {
			s.restrict(load)
			replan = replan.Add(time.Second)
		}
		asked++
		r := &request{object: s.objects.object(), asked: s.now}
		if s.asked[r.object].IsZero() {
			s.asked[r.object] = s.now
		}
		if r.known = s.now.Sub(s.asked[r.object]) >= s.coldTime(); r.known {
			s.known++
		}
		s.arrive(r)
		next = next.Add(time.Duration(gap * s.rng.ExpFloat64()))
	}
	s.now = end
	return float64(s.inTime) / float64(asked)
}

func (s *service) arrive(r *request) {
	homes := s.homesOf(r.object)
	accepting := slices.DeleteFunc(slices.Clone(homes), func(i int) bool { return s.wait(i) > max(0, objective-s.mean) })
	if len(accepting) == 0 {
		s.returnLater(r, s.now.Add(max(s.wait(homes[0])/2, 50*time.Millisecond)))
		return
	}
	best := slices.MinFunc(accepting, func(a, b int) int { return cmp.Compare(s.cost(a, r.object), s.cost(b, r.object)) })
	r.first = s.isFirst(best, r.object)
	if s.gate != nil && r.first {
		run := FirstRun{uint64(best), uint64(r.object), s.load(best), s.slots, coldWork}
		if at, ok := s.gate.Start(s.now, run); !ok {
			s.returnLater(r, at)
			return
		}
	} else if s.gate != nil {
		s.gate.StartWarm(s.now, warmWork)
	}
	r.server = best
	s.servers[best].queue = append(s.servers[best].queue, r)
	s.startNext(best)
}

// coldTime returns the time that all servers together need to run each object once cold.
func (s *service) coldTime() time.Duration {
	return coldWork * time.Duration(len(s.places)) / time.Duration(len(s.servers)*s.slots)
}

// returnLater lets a refused caller return up to three times.
func (s *service) returnLater(r *request, at time.Time) {
	if r.returns++; r.returns > 3 {
		return
	}
	r.at, r.ended = at, false
	heap.Push(&s.events, r)
}

func (s *service) load(i int) int { return s.servers[i].running + len(s.servers[i].queue) }

// wait returns the expected wait for a slot.
func (s *service) wait(i int) time.Duration {
	return time.Duration(max(0, s.load(i)+1-s.slots)) * s.mean / time.Duration(s.slots)
}

// isFirst reports whether an object is not known to have run at a server.
func (s *service) isFirst(i, object int) bool {
	told, known := s.ranAt[flight{uint64(i), uint64(object)}]
	return !known || s.now.Before(told)
}

// cost returns the expected time until a server would answer.
func (s *service) cost(i, object int) time.Duration {
	if s.isFirst(i, object) {
		return s.wait(i) + coldWork
	}
	return s.wait(i) + warmWork
}

func (s *service) startNext(i int) {
	v := &s.servers[i]
	for v.running < s.slots && len(v.queue) > 0 {
		r := v.queue[0]
		v.queue = v.queue[1:]
		work := warmWork
		if !slices.Contains(v.cache, uint64(r.object)) {
			work = coldWork
		}
		s.mean += (work - s.mean) / 10
		v.running++
		r.at, r.ended = s.now.Add(time.Duration(float64(work)*(0.8+0.4*s.rng.Float64()))), true
		heap.Push(&s.events, r)
	}
}

func (s *service) finish(r *request) {
	v := &s.servers[r.server]
	v.running--
	v.cache.run(uint64(r.object), s.keeps)
	f := flight{uint64(r.server), uint64(r.object)}
	if _, ok := s.ranAt[f]; !ok {
		s.ranAt[f] = s.now.Add(toldAfter)
	}
	if s.gate != nil && r.first {
		s.gate.Done(f.target, f.object)
	}
	if s.now.Sub(r.asked) <= objective {
		s.inTime++
		if r.known {
			s.knownInTime++
		}
	}
	s.startNext(r.server)
}
