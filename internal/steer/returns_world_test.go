package steer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/reservation"
	"github.com/firlever/firlever/internal/routes"
)

const (
	returnTick      = 5 * time.Millisecond
	returnTargets   = 40
	returnSlots     = 4
	returnWork      = 400 * time.Millisecond
	returnRoom      = returnTargets * returnSlots * float64(time.Second) / float64(returnWork) // requests per second
	returnDeadline  = 4 * time.Second
	returnObjective = 600 * time.Millisecond
	burstFrom       = 8.0 // seconds
	burstTo         = 11.0
)

// returnSim simulates instances that share targets in virtual time, and callers that are refused for lack
// of capacity and return once, to any instance. The callers are more than the targets can serve
// for some seconds.
type returnSim struct {
	rng     *rand.Rand
	now     time.Time
	fleets  []*Fleet
	callers []*reservation.Callers
	weights []float64 // running sum of the instances' shares of the callers
	targets map[string]*returnTarget
	events  map[time.Time][]func()

	comesBack  string  // when a refused caller returns: "told", "at once" or "never"
	killed     bool    // the second half of the instances gets no requests any more
	policy     string  // "before", "spacing" or "reserved"
	shed       float64 // share of sends that targets refuse although they have free slots
	priorities int     // of callers, evenly; 0: all have priority 0

	counts    [4]returnCounts // by priority
	firstCome bool            // retries are not divided by priority
}

// returnCounts counts callers.
type returnCounts struct {
	asked, inTime, served                          int
	promised, kept, again                          int // told a time that they wait for; of these served, refused again
	unpromised, unpromisedAgain, noBudget, retries int
}

// returnTarget is a target with slots and a queue.
type returnTarget struct {
	running int
	queue   []func()
}

func newReturnSim(t testing.TB, instances int) *returnSim {
	t.Helper()
	w := &returnSim{
		rng: rand.New(rand.NewPCG(1, uint64(instances))), now: start, targets: make(map[string]*returnTarget),
		events: make(map[time.Time][]func()), comesBack: "told", policy: "reserved", priorities: 1,
	}
	names := make([]string, instances)
	for i := range names {
		names[i] = fmt.Sprintf("i%04d", i)
	}
	sum := 0.0
	for _, name := range names {
		cfg := config(name, "n1")
		cfg.RetryRatio, cfg.RetrySlack = 0.2, 200
		f, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		f.SetServices(start, map[string]routes.Service{"s": {Name: "s"}})
		f.SetPeers(start, names)
		for j := range returnTargets {
			id := fmt.Sprintf("t%02d", j)
			f.Put(start, Target{ID: id, Service: "s", Domain: "n1", Slots: returnSlots})
			w.targets[id] = &returnTarget{}
		}
		w.fleets, w.callers = append(w.fleets, f), append(w.callers, new(reservation.Callers))
		sum += 0.2 + 0.8*w.rng.Float64()
		w.weights = append(w.weights, sum)
	}
	return w
}

func (w *returnSim) after(d time.Duration, event func()) {
	at := w.now.Add(max(returnTick, d)).Truncate(returnTick)
	w.events[at] = append(w.events[at], event)
}

// run simulates the given seconds. load returns the callers' requests as a multiple of what the targets can
// serve.
func (w *returnSim) run(until float64, load func(second float64) float64) {
	w.now = w.now.Truncate(returnTick)
	due := 0.0
	for tick := 0; w.now.Before(start.Add(seconds(until))); tick++ {
		for _, event := range w.events[w.now] {
			event()
		}
		delete(w.events, w.now)
		due += returnRoom * load(w.now.Sub(start).Seconds()) * returnTick.Seconds()
		for ; due >= 1; due-- {
			w.call()
		}
		if tick%100 == 0 {
			w.exchange()
		}
		w.now = w.now.Add(returnTick)
	}
}

// exchange passes reports of loads between the instances.
func (w *returnSim) exchange() {
	var all []LoadReport
	for _, f := range w.fleets {
		all = append(all, f.Reports(w.now, w.now.Add(-100*returnTick))...)
	}
	for _, f := range w.fleets {
		f.ApplyReports(w.now, all)
	}
}

// returnCaller is a caller with one request.
type returnCaller struct {
	counts    *returnCounts
	query     Query
	begin     time.Time
	returning bool // it has been refused
	promised  bool // it was told a time that it waits for
}

// call sends the request of a new caller. Callers have lost up to a fifth of their time when it arrives.
func (w *returnSim) call() {
	p := w.rng.IntN(w.priorities)
	c := &returnCaller{counts: &w.counts[p], query: query(fmt.Sprint(w.rng.IntN(4 * returnTargets))), begin: w.now}
	c.query.Objective, c.query.Priority, c.query.Fingerprint = returnObjective, p, w.rng.Uint64()
	c.query.Deadline = w.now.Add(returnDeadline - time.Duration(0.19*w.rng.Float64()*float64(returnDeadline)))
	c.counts.asked++
	w.send(c)
}

// send sends a caller's request to some instance.
func (w *returnSim) send(c *returnCaller) {
	i, _ := slices.BinarySearch(w.weights, w.rng.Float64()*w.weights[len(w.weights)-1])
	if w.killed {
		i /= 2
	}
	f, q := w.fleets[i], c.query
	q.ReceivedAt = w.now
	if w.firstCome {
		q.Priority = 0
	}
	left := q.Deadline.Sub(w.now)
	if w.policy == "before" {
		f.services["s"].reportsLoad = false
	}
	q.ReturnFrom = w.now
	if w.policy == "reserved" {
		q.Returned = w.callers[i].Arrived(w.now, left)
		q.ReturnFrom = w.now.Add(w.callers[i].Recognizable(left))
	}
	w.attempt(f, c, q)
}

// attempt sends a request to a target, and again if the target refuses it.
func (w *returnSim) attempt(f *Fleet, c *returnCaller, q Query) {
	choice := f.Pick(w.now, q)
	if choice.Reason != "" {
		w.refused(c, choice)
		return
	}
	if q.Retry {
		c.counts.retries++
	}
	t := w.targets[choice.Target.ID]
	sent := w.now
	if w.rng.Float64() < w.shed {
		w.after(returnTick, func() {
			f.Done(w.now, choice.Target, Outcome{Ending: Shed, Took: w.now.Sub(sent), Load: &Load{Running: t.running, Waiting: len(t.queue)}})
			q.Retry, q.Counted, q.Tried = true, true, append(q.Tried, choice.Target.ID)
			w.attempt(f, c, q)
		})
		return
	}
	work := time.Duration((0.85 + 0.3*w.rng.Float64()) * float64(returnWork))
	begin := func() {
		t.running++
		w.after(work, func() {
			t.running--
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
			f.Done(w.now, choice.Target, Outcome{Ending: Answered, Took: w.now.Sub(sent), Load: &Load{Running: t.running, Waiting: len(t.queue)}})
			w.answered(c)
		})
	}
	if t.running >= returnSlots {
		t.queue = append(t.queue, begin)
		return
	}
	begin()
}

func (w *returnSim) answered(c *returnCaller) {
	if w.now.After(c.query.Deadline) {
		return
	}
	c.counts.served++
	if w.now.Sub(c.begin) <= returnObjective {
		c.counts.inTime++
	}
	if c.promised {
		c.counts.kept++
	}
}

// refused lets a refused caller return.
func (w *returnSim) refused(c *returnCaller, choice Choice) {
	left := c.query.Deadline.Sub(w.now)
	if choice.Reason == NoBudget {
		c.counts.noBudget++
	}
	switch {
	case c.promised:
		c.counts.again++
	case c.returning:
		c.counts.unpromisedAgain++
	}
	if c.returning || w.comesBack == "never" {
		return
	}
	c.returning, c.promised = true, choice.RetryAfter <= left/3
	if c.promised {
		c.counts.promised++
	} else {
		c.counts.unpromised++
	}
	wait := min(choice.RetryAfter, left/3)
	if w.comesBack == "at once" {
		wait = 0
	}
	w.after(wait+50*time.Millisecond+time.Duration(w.rng.IntN(100))*time.Millisecond, func() { w.send(c) })
}

// total returns the counts of all priorities.
func (w *returnSim) total() returnCounts {
	var n returnCounts
	for _, c := range w.counts {
		n.asked, n.inTime, n.served = n.asked+c.asked, n.inTime+c.inTime, n.served+c.served
		n.promised, n.kept, n.again = n.promised+c.promised, n.kept+c.kept, n.again+c.again
		n.unpromised, n.unpromisedAgain, n.noBudget = n.unpromised+c.unpromised, n.unpromisedAgain+c.unpromisedAgain, n.noBudget+c.noBudget
	}
	return n
}
