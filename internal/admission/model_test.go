package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// model plays requests for one service in virtual time. Its targets have slots and first-in
// first-out queues. Its instances see the loads of targets late, and choose the shorter queue of
// two targets by what they know.
type model struct {
	rng       *rand.Rand
	now       float64 // seconds
	way       way
	targets   []*modelTarget
	instances []*modelInstance
	history   []snapshot // one each historyStep
	events    eventQueue
	skewed    bool           // an eighth of the instances is asked for five sixths of the requests
	counts    map[int]*count // by second of the first arrival, of each priority
}

// way is a way to decide which requests are sent.
type way string

const (
	asBefore way = "wait up to the objective"
	byLevel  way = "level by load"
	credits  way = "credits by target"
	planned  way = "planned capacity"
)

const (
	modelSlots  = 4
	modelQueue  = 3 * modelSlots // requests that wait at a target; others are refused there
	modelWork   = 0.3            // seconds
	historyStep = 0.05
	exchangeGap = 0.5
	modelRoom   = modelSlots / modelWork // requests per second of a target
	calmLoad    = 0.6
	contention  = 2.0 // as in steer
	priorities  = 3
)

var (
	modelObjectives = [priorities]float64{0.6, 0.9, 1.5}
	modelMix        = [priorities]float64{0.15, 0.55, 0.30}
)

type modelTarget struct {
	running int
	queue   []*modelRequest
}

type snapshot struct {
	loads []int
	room  Room
}

type modelRequest struct {
	priority int
	at       float64 // of its first arrival
	returned bool
}

type modelInstance struct {
	phase   float64
	sent    map[int][]float64 // times of requests by target, since the last report
	level   Level
	credits map[int]*bucket
	plan    bucket
	only    int // priority of all its requests; -1: as modelMix says
}

// count counts requests of one priority.
type count struct{ asked, inTime, late, refused int }

// bucket holds tokens that come in at a rate.
type bucket struct{ rate, tokens, filledAt, movedAt float64 }

func (b *bucket) fill(now, most float64) {
	b.tokens = min(most, b.tokens+b.rate*(now-b.filledAt))
	b.filledAt = now
}

type event struct {
	at float64
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newModel(seed uint64, instances, targets int, w way) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), way: w, counts: make(map[int]*count)}
	for range targets {
		m.targets = append(m.targets, &modelTarget{})
	}
	for range instances {
		rate := modelRoom * float64(targets) / float64(instances)
		m.instances = append(m.instances, &modelInstance{
			phase: m.rng.Float64() * exchangeGap, sent: make(map[int][]float64), credits: make(map[int]*bucket), plan: bucket{rate: rate}, only: -1,
		})
	}
	m.record()
	return m
}

func (m *model) after(seconds float64, do func()) {
	heap.Push(&m.events, event{m.now + seconds, do})
}

// record adds a snapshot to the history.
func (m *model) record() {
	s := snapshot{loads: make([]int, len(m.targets)), room: Room{Slots: modelSlots * len(m.targets), Work: duration(modelWork)}}
	for i, t := range m.targets {
		s.loads[i] = t.running + len(t.queue)
		s.room.Requests += s.loads[i]
		s.room.Busy += t.running
	}
	m.history = append(m.history, s)
	if old := len(m.history) - 80; old >= 0 {
		m.history[old].loads = nil
	}
	m.after(historyStep, m.record)
}

// play plays load(t) requests a second, relative to the room of all targets.
func (m *model) play(until float64, load func(t float64) float64) {
	var next func()
	next = func() {
		m.arrive(&modelRequest{priority: -1, at: m.now})
		m.after(m.rng.ExpFloat64()/(load(m.now)*modelRoom*float64(len(m.targets))), next)
	}
	m.after(0, next)
	for m.now < until {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func (m *model) time() time.Time { return time.UnixMilli(1_800_000_000_000).Add(duration(m.now)) }

// count returns the count of requests that arrived first in the same second.
func (m *model) count(r *modelRequest) *count {
	key := int(r.at)*priorities + r.priority
	if m.counts[key] == nil {
		m.counts[key] = &count{}
	}
	return m.counts[key]
}

// sum adds up the counts of a priority over seconds.
func (m *model) sum(priority, from, to int) count {
	var all count
	for s := from; s < to; s++ {
		if c := m.counts[s*priorities+priority]; c != nil {
			all = count{all.asked + c.asked, all.inTime + c.inTime, all.late + c.late, all.refused + c.refused}
		}
	}
	return all
}

// arrive gives a request to an instance. Callers come back once.
func (m *model) arrive(r *modelRequest) {
	in := m.instances[m.rng.IntN(len(m.instances))]
	if m.skewed && m.rng.IntN(6) > 0 {
		in = m.instances[m.rng.IntN(len(m.instances)/8)]
	}
	if r.priority < 0 {
		r.priority = m.choosePriority(in)
		m.count(r).asked++
	}
	target, ok := m.choose(in, r)
	switch {
	case ok:
		in.sent[target] = append(in.sent[target], m.now)
		m.send(m.targets[target], r)
	case r.returned:
		m.count(r).refused++
	default:
		r.returned = true
		m.after(in.level.RetryAfter(m.time(), m.time().Add(3*time.Second), m.rng.Uint64()).Seconds(), func() { m.arrive(r) })
	}
}

func (m *model) choosePriority(in *modelInstance) int {
	if in.only >= 0 {
		return in.only
	}
	u, p := m.rng.Float64(), 0
	for ; p < priorities-1 && u > modelMix[p]; p++ {
		u -= modelMix[p]
	}
	return p
}

func (m *model) send(t *modelTarget, r *modelRequest) {
	switch {
	case t.running == modelSlots && len(t.queue) == modelQueue:
		m.count(r).refused++
		return
	case t.running == modelSlots:
		t.queue = append(t.queue, r)
		return
	}
	t.running++
	m.after(modelWork*(0.7+0.6*m.rng.Float64()), func() { m.finish(t, r) })
}

func (m *model) finish(t *modelTarget, r *modelRequest) {
	if m.now-r.at <= modelObjectives[r.priority] {
		m.count(r).inTime++
	} else {
		m.count(r).late++
	}
	t.running--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		m.send(t, next)
	}
}

// known returns the snapshot that an instance knows, and its time.
func (m *model) known(in *modelInstance) (snapshot, float64) {
	at := math.Floor((m.now-in.phase)/exchangeGap)*exchangeGap + in.phase - exchangeGap/2
	i := max(0, int(at/historyStep))
	return m.history[i], float64(i) * historyStep
}

// wait returns how long a request waits at a target by what an instance knows.
func (m *model) wait(in *modelInstance, target int) float64 {
	s, at := m.known(in)
	own := in.sent[target]
	for len(own) > 0 && own[0] < at {
		own = own[1:]
	}
	in.sent[target] = own
	return modelWork * float64(max(0, s.loads[target]+len(own)+1-modelSlots)) / modelSlots
}

// choose returns the target that a request is sent to, or false if it is refused.
func (m *model) choose(in *modelInstance, r *modelRequest) (int, bool) {
	a, b := m.rng.IntN(len(m.targets)), m.rng.IntN(len(m.targets))
	if m.wait(in, b) < m.wait(in, a) {
		a = b
	}
	wait, objective := m.wait(in, a), modelObjectives[r.priority]
	inTime := wait <= objective-modelWork-(m.now-r.at) || wait == 0
	switch m.way {
	case byLevel:
		return a, m.admit(in, r, a, wait)
	case credits:
		return a, inTime && m.takeCredit(in, r, a)
	case planned:
		most := max(3, in.plan.rate*modelWork)
		in.plan.fill(m.now, most)
		if !inTime || in.plan.tokens < 1+0.2*most*float64(r.priority) {
			return a, false
		}
		in.plan.tokens--
		return a, true
	}
	return a, wait <= objective
}

// admit decides as steer does.
func (m *model) admit(in *modelInstance, r *modelRequest, target int, wait float64) bool {
	l, now, objective := &in.level, m.time(), duration(modelObjectives[r.priority])
	if l.Due(now) {
		s, _ := m.known(in)
		l.Update(now, s.room)
	}
	mayWait := l.MayWait(now, r.priority, objective, m.rng.Uint64())
	longest := objective
	switch {
	case !l.Short(now) || !m.contended(in, target):
	case mayWait:
		longest = l.MaxWait(now, r.priority, objective, duration(m.now-r.at), duration(modelWork))
	case l.MostUrgent(r.priority):
		longest = 0
	default:
		return false
	}
	if duration(wait) > longest {
		return false
	}
	l.Sent()
	return true
}

// contended reports whether a target was full lately, by what an instance knows.
func (m *model) contended(in *modelInstance, target int) bool {
	_, at := m.known(in)
	for i := int(at / historyStep); i >= 0 && float64(i)*historyStep > m.now-contention; i-- {
		if float64(m.history[i].loads[target]) >= ShortLoad*modelSlots {
			return true
		}
	}
	return false
}

// takeCredit takes a credit for a target. Their rate falls if requests wait there, and rises if not.
func (m *model) takeCredit(in *modelInstance, r *modelRequest, target int) bool {
	share := modelRoom / float64(len(m.instances))
	c := in.credits[target]
	if c == nil {
		c = &bucket{rate: share, tokens: 1, filledAt: m.now}
		in.credits[target] = c
	}
	if m.now-c.movedAt > exchangeGap {
		c.movedAt = m.now
		if s, _ := m.known(in); s.loads[target] > modelSlots+1 {
			c.rate *= 0.8
		} else {
			c.rate += 0.1 * share
		}
	}
	c.fill(m.now, 2+c.rate*exchangeGap)
	if c.tokens < 1+0.3*float64(r.priority) {
		return false
	}
	c.tokens--
	return true
}
