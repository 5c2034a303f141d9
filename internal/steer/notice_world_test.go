package steer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/notice"
)

// stubAnswer is the answer of a simulated target.
type stubAnswer struct {
	notice.Notice
	refused bool
}

// arrival is a request at the watched target.
type arrival struct {
	at         time.Time
	instance   int
	notifiedAt time.Time // when the instance received its first notice; zero before
}

// pendingAnswer is an answer in transit.
type pendingAnswer struct {
	at       time.Time
	sentAt   time.Time
	instance int
	target   Target
	answer   stubAnswer
}

type pendingAnswers []pendingAnswer

func (a pendingAnswers) Len() int           { return len(a) }
func (a pendingAnswers) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a pendingAnswers) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *pendingAnswers) Push(x any)        { *a = append(*a, x.(pendingAnswer)) }
func (a *pendingAnswers) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// noticeSim simulates several instances with the same targets.
type noticeSim struct {
	fleets  []*Fleet
	rates   []float64 // requests per second at each instance
	respond func(target string, now time.Time) stubAnswer
	watched string // ID of the watched target

	pending    pendingAnswers
	notifiedAt map[int]time.Time
	arrivals   []arrival
	refused    int
	served     int
	rng        *rand.Rand

	exchanges   bool // whether the instances of a region exchange constraints
	exchangedAt time.Time
}

const (
	noticeSimTick = 5 * time.Millisecond
	noticeSimWork = 150 * time.Millisecond
)

func newNoticeSim(t *testing.T, rates []float64, targets int, respond func(target string, now time.Time) stubAnswer) *noticeSim {
	t.Helper()
	w := &noticeSim{rates: rates, respond: respond, watched: "t00", notifiedAt: make(map[int]time.Time), rng: rand.New(rand.NewPCG(1, 2))}
	domains := []string{"n1", "n2", "s1", "s2"}
	var names []string
	for i := range rates {
		names = append(names, fmt.Sprintf("i%03d", i))
	}
	for i := range rates {
		f, err := New(config(names[i], domains[i%len(domains)]))
		if err != nil {
			t.Fatal(err)
		}
		f.SetPeers(start, names)
		for j := range targets {
			f.Put(start, Target{ID: fmt.Sprintf("t%02d", j), Service: "s", Domain: domains[j%len(domains)], Slots: 9})
		}
		w.fleets = append(w.fleets, f)
	}
	return w
}

// run simulates a period given in seconds after start.
func (w *noticeSim) run(from, to float64) {
	end := start.Add(seconds(to))
	for now := start.Add(seconds(from)); now.Before(end); now = now.Add(noticeSimTick) {
		for len(w.pending) > 0 && !w.pending[0].at.After(now) {
			w.finish(heap.Pop(&w.pending).(pendingAnswer))
		}
		if w.exchanges && now.Sub(w.exchangedAt) >= 500*time.Millisecond {
			w.exchange(now)
		}
		for i, rate := range w.rates {
			for more := rate * noticeSimTick.Seconds(); w.rng.Float64() < more; more-- {
				w.send(now, i)
			}
		}
	}
}

// exchange sends the constraints that each instance received to the others of its region.
func (w *noticeSim) exchange(now time.Time) {
	for i, from := range w.fleets {
		list := from.Constraints(w.exchangedAt)
		for j, to := range w.fleets {
			if i != j && from.region == to.region {
				to.ApplyConstraints(now, list)
			}
		}
	}
	w.exchangedAt = now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (w *noticeSim) send(now time.Time, instance int) {
	q := query(fmt.Sprint(w.rng.IntN(90)))
	q.Deadline = now.Add(time.Second)
	c := w.fleets[instance].Pick(now, q)
	if c.Reason != "" {
		w.refused++
		return
	}
	if c.Target.ID == w.watched {
		w.arrivals = append(w.arrivals, arrival{at: now, instance: instance, notifiedAt: w.notifiedAt[instance]})
	}
	answer := w.respond(c.Target.ID, now)
	took := noticeSimWork
	if answer.refused {
		took = noticeSimTick
	}
	heap.Push(&w.pending, pendingAnswer{at: now.Add(took), sentAt: now, instance: instance, target: c.Target, answer: answer})
}

func (w *noticeSim) finish(d pendingAnswer) {
	f := w.fleets[d.instance]
	f.ApplyNotice(d.at, d.target, d.sentAt, d.answer.Notice, !d.answer.refused)
	if d.target.ID == w.watched && d.answer.Any() && w.notifiedAt[d.instance].IsZero() {
		w.notifiedAt[d.instance] = d.at
	}
	o := Outcome{Ending: Answered, Took: d.at.Sub(d.sentAt), Load: &Load{Running: 1}}
	if d.answer.refused {
		o.Ending = Shed
	} else {
		w.served++
	}
	f.Done(d.at, d.target, o)
}

// maxArrivals returns the maximum number of arrivals within a window, counting instances that
// received a notice at least the given time before.
func (w *noticeSim) maxArrivals(window, delay time.Duration, from time.Time) int {
	var times []time.Time
	for _, a := range w.arrivals {
		if !a.notifiedAt.IsZero() && a.at.Sub(a.notifiedAt) >= delay && !a.at.Before(from) {
			times = append(times, a.at)
		}
	}
	most := 0
	for i := range times {
		n, _ := slices.BinarySearchFunc(times[i:], times[i].Add(window), time.Time.Compare)
		most = max(most, n)
	}
	return most
}
