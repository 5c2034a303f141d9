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

// word is what a stand-in answers.
type word struct {
	notice.Notice
	refused bool
}

// arrival is a request at the target that is watched.
type arrival struct {
	at       time.Time
	instance int
	told     time.Time // when the instance had first passed on a notice; zero before
}

// due is an answer on its way.
type due struct {
	at       time.Time
	begun    time.Time
	instance int
	target   Target
	word     word
}

type answers []due

func (a answers) Len() int           { return len(a) }
func (a answers) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a answers) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *answers) Push(x any)        { *a = append(*a, x.(due)) }
func (a *answers) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// noticeWorld is some instances with the same targets, in simulated time.
type noticeWorld struct {
	fleets  []*Fleet
	rates   []float64 // requests a second that come to each
	says    func(target string, now time.Time) word
	watched string // ID of a target

	answers  answers
	told     map[int]time.Time
	arrivals []arrival
	refused  int
	served   int
	rng      *rand.Rand

	shares bool // instances of a region tell each other
	shared time.Time
}

const (
	worldTick = 5 * time.Millisecond
	worldWork = 150 * time.Millisecond
)

func newNoticeWorld(t *testing.T, rates []float64, targets int, says func(target string, now time.Time) word) *noticeWorld {
	t.Helper()
	w := &noticeWorld{rates: rates, says: says, watched: "t00", told: make(map[int]time.Time), rng: rand.New(rand.NewPCG(1, 2))}
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
		f.Peers(start, names)
		for j := range targets {
			f.Put(start, Target{ID: fmt.Sprintf("t%02d", j), Service: "s", Domain: domains[j%len(domains)], Slots: 9})
		}
		w.fleets = append(w.fleets, f)
	}
	return w
}

// run plays the world from one time to another, in seconds after start.
func (w *noticeWorld) run(from, to float64) {
	end := start.Add(seconds(to))
	for now := start.Add(seconds(from)); now.Before(end); now = now.Add(worldTick) {
		for len(w.answers) > 0 && !w.answers[0].at.After(now) {
			w.answer(heap.Pop(&w.answers).(due))
		}
		if w.shares && now.Sub(w.shared) >= 500*time.Millisecond {
			w.share(now)
		}
		for i, rate := range w.rates {
			for more := rate * worldTick.Seconds(); w.rng.Float64() < more; more-- {
				w.send(now, i)
			}
		}
	}
}

// share passes on in each region what its instances were told.
func (w *noticeWorld) share(now time.Time) {
	for i, from := range w.fleets {
		list := from.Constraints(w.shared)
		for j, to := range w.fleets {
			if i != j && from.region == to.region {
				to.HearConstraints(now, list)
			}
		}
	}
	w.shared = now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (w *noticeWorld) send(now time.Time, instance int) {
	q := query(fmt.Sprint(w.rng.IntN(90)))
	q.Deadline = now.Add(time.Second)
	c := w.fleets[instance].Pick(now, q)
	if c.Reason != "" {
		w.refused++
		return
	}
	if c.Target.ID == w.watched {
		w.arrivals = append(w.arrivals, arrival{at: now, instance: instance, told: w.told[instance]})
	}
	said := w.says(c.Target.ID, now)
	took := worldWork
	if said.refused {
		took = worldTick
	}
	heap.Push(&w.answers, due{at: now.Add(took), begun: now, instance: instance, target: c.Target, word: said})
}

func (w *noticeWorld) answer(d due) {
	f := w.fleets[d.instance]
	f.Notice(d.at, d.target, d.begun, d.word.Notice, !d.word.refused)
	if d.target.ID == w.watched && d.word.Any() && w.told[d.instance].IsZero() {
		w.told[d.instance] = d.at
	}
	o := Outcome{Ending: Answered, Took: d.at.Sub(d.begun), Load: &Load{Running: 1}}
	if d.word.refused {
		o.Ending = Shed
	} else {
		w.served++
	}
	f.Done(d.at, d.target, o)
}

// most returns the most arrivals within a window of instances that had been told some time before.
func (w *noticeWorld) most(window, told time.Duration, from time.Time) int {
	var times []time.Time
	for _, a := range w.arrivals {
		if !a.told.IsZero() && a.at.Sub(a.told) >= told && !a.at.Before(from) {
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
