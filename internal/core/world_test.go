package core_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/firlever/firlever/internal/owner"
)

// Bounds of the design, as configured or by default.
const (
	term          = time.Second      // core.Config.Term
	lag           = 4 * time.Second  // core.Config.Lag
	skew          = 0.05             // core.Config.Skew
	maxStaleness  = 10 * time.Second // owner.DefaultSettle
	abandonWithin = 90 * time.Millisecond
)

// Phases of a run, in true time.
const (
	warmUp    = 4 * time.Second
	faultsEnd = 40 * time.Second // faults have ended by now
	recovery  = 16 * time.Second // after the faults; from then on calls must be answered
	loadEnd   = 62 * time.Second // callers stop
	runEnd    = 72 * time.Second
)

// epoch is the start of true time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function to run at a true time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// simulation is the environment of some nodes, in virtual time. It runs in one goroutine.
type simulation struct {
	seed   uint64
	rng    *rand.Rand
	now    time.Duration
	events events
	seq    uint64

	places        []string
	names         []string         // of instances, fixed
	home          map[string]int   // index of each instance's place
	procs         []*proc          // every process that was ever started
	live          map[string]*proc // by instance; nil while none runs
	targets       map[string]*target
	sortedTargets []*target
	store         *store
	links         links
	callers       []*caller
	calls         []*call
	check         *checker

	listProves    bool // the list names a process until it has ended, even if it is partitioned
	clocksAligned bool // clocks agree with true time
	clocksJump    bool // clocks jump, which violates the assumed time bounds
	trace         []string
	tracing       bool
	counts        map[string]int
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		seed:    seed,
		rng:     rand.New(rand.NewPCG(seed, 7)),
		home:    make(map[string]int),
		live:    make(map[string]*proc),
		targets: make(map[string]*target),
		counts:  make(map[string]int),
		links:   links{cut: make(map[[2]int]int), apart: make(map[[2]string]int)},
	}
	w.clocksAligned = w.chance(0.35)
	w.listProves = w.chance(0.4)
	w.clocksJump = !w.clocksAligned && w.chance(0.15)
	w.check = newChecker(w)
	w.store = newStore(w)
	w.build()
	return w
}

// build creates places, documents, targets, processes and callers.
func (w *simulation) build() {
	for i := range 2 + w.rng.IntN(2) {
		w.places = append(w.places, fmt.Sprint("place-", i))
	}
	for i := range w.places {
		for j := range 1 + w.rng.IntN(3) {
			name := fmt.Sprintf("i-%d-%d", i, j)
			w.names = append(w.names, name)
			w.home[name] = i
		}
	}
	w.firstDocuments()
	for _, name := range w.names {
		w.after(w.upTo(500*time.Millisecond), func() { w.start(name) })
	}
	for i := range 3 * len(w.places) {
		w.callers = append(w.callers, newCaller(w, i))
	}
	w.scheduleFaults()
}

// run processes events until the end or the first violation.
func (w *simulation) run() string {
	for len(w.events) > 0 && w.check.violation == "" {
		e := heap.Pop(&w.events).(event)
		if e.at > runEnd {
			break
		}
		w.now = e.at
		e.do()
	}
	if w.check.violation == "" {
		w.check.end()
	}
	return w.check.violation
}

func (w *simulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, do: do})
}

func (w *simulation) chance(p float64) bool { return w.rng.Float64() < p }

// upTo returns a random duration below most.
func (w *simulation) upTo(most time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(most)))
}

func (w *simulation) between(least, most time.Duration) time.Duration {
	return least + w.upTo(most-least)
}

func (w *simulation) tracef(format string, args ...any) {
	if w.tracing {
		w.trace = append(w.trace, fmt.Sprintf("%9.4f ", w.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// start starts a new process of an instance, unless one runs.
func (w *simulation) start(name string) {
	if w.live[name] != nil {
		return
	}
	p := newProc(w, name)
	w.procs = append(w.procs, p)
	w.live[name] = p
	p.begin()
}

// Endpoints of links that are not places.
const (
	endpointPlatform = 100
	endpointCallers  = 101
)

// links is the present behaviour of the network.
type links struct {
	cut   map[[2]int]int    // one way between two endpoints; counts the active faults
	apart map[[2]string]int // one way between two instances; counts the active faults
	loss  float64           // of datagrams
	slow  time.Duration     // maximum random extra delay
}

// open reports whether messages pass from one process to another.
func (w *simulation) open(from, to *proc) bool {
	return w.links.cut[[2]int{from.place, to.place}] == 0 && w.links.apart[[2]string{from.name, to.name}] == 0
}

// delay returns how long a message takes between two endpoints.
func (w *simulation) delay(a, b int) time.Duration {
	d := w.between(300*time.Microsecond, 3*time.Millisecond)
	if a != b {
		d += 10 * time.Millisecond
	}
	if w.links.slow > 0 {
		d += w.upTo(w.links.slow)
	}
	return d
}

// datagram sends a message that may be lost, duplicated, delayed or reordered.
func (w *simulation) datagram(from, to *proc, do func()) {
	if !w.open(from, to) || w.chance(w.links.loss) {
		return
	}
	for copies := 1; copies > 0; copies-- {
		d := w.delay(from.place, to.place)
		if w.chance(0.02) {
			d += w.upTo(3 * time.Second)
		}
		w.after(d, func() { to.deliver(do) })
		if w.chance(0.05) {
			copies++
		}
	}
}

// region returns the region of a place. The first two places share one.
func region(place int) string {
	if place < 2 {
		return "near"
	}
	return "far"
}

// isDrained returns since when the platform's newest documents drain a target, if they
// do.
func (w *simulation) isDrained(t *target) (time.Duration, bool) {
	return w.store.drainedSince(t)
}

func keyOf(service, name string) owner.TargetKey {
	return owner.TargetKey{Service: serviceID(service), Name: name}
}

// reachable reports whether nothing impedes a process's access to the platform.
func (w *simulation) reachable(p *proc) bool {
	l := w.links
	return !w.store.down && l.loss == 0 && l.slow == 0 &&
		l.cut[[2]int{p.place, endpointPlatform}] == 0 && l.cut[[2]int{endpointPlatform, p.place}] == 0
}
