package queue

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

const (
	slots      = 50
	minService = 10 * time.Millisecond
	meanExtra  = 10 * time.Millisecond // mean of the exponential part
	budget     = 200 * time.Millisecond
	runLength  = 10 * time.Second
	maxLength  = 1000 // length of the plain queues
	capacity   = float64(slots) / (float64(minService+meanExtra) / float64(time.Second))
)

// policy is a queue in front of the slots of one service.
type policy interface {
	push(now time.Time, it Item) bool
	pop(now time.Time) (Item, bool)
	completed(now time.Time, took time.Duration)
}

type deadlineQueue struct{ q *Queue }

func (p deadlineQueue) push(now time.Time, it Item) bool {
	return p.q.Push(now, it).Kind == VerdictQueued
}

func (p deadlineQueue) pop(now time.Time) (Item, bool) { return p.q.Pop(now, always) }

func (p deadlineQueue) completed(now time.Time, took time.Duration) {
	p.q.Completed(now, settings.ServiceID{}, took)
}

// plainQueue is a queue bounded by length alone.
type plainQueue struct {
	items       []Item
	dropExpired bool // drop expired items when they are popped
	lifoFrom    int  // length from which the newest goes first; 0 is never
}

func (p *plainQueue) push(_ time.Time, it Item) bool {
	if len(p.items) >= maxLength {
		return false
	}
	p.items = append(p.items, it)
	return true
}

func (p *plainQueue) pop(now time.Time) (Item, bool) {
	for len(p.items) > 0 {
		var it Item
		last := len(p.items) - 1
		if p.lifoFrom > 0 && last >= p.lifoFrom {
			it, p.items = p.items[last], p.items[:last]
		} else {
			it, p.items = p.items[0], p.items[1:]
		}
		if !p.dropExpired || now.Before(it.Deadline) {
			return it, true
		}
	}
	return Item{}, false
}

func (p *plainQueue) completed(time.Time, time.Duration) {}

// job is a request in a slot.
type job struct {
	end, start, deadline time.Time
}

type jobs []job

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].end.Before(j[b].end) }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)        { *j = append(*j, x.(job)) }

func (j *jobs) Pop() any {
	last := len(*j) - 1
	x := (*j)[last]
	*j = (*j)[:last]
	return x
}

// result holds the figures of one run.
type result struct {
	good    float64       // answers within their deadline, as a fraction of capacity
	late    float64       // fraction of started requests that ended after their deadline
	dropped float64       // fraction of the demand that was queued and then dropped
	median  time.Duration // of the answers within their deadline, from arrival
}

// measure simulates Poisson demand of load times the capacity. A late request
// keeps its slot until it ends.
func measure(p policy, load float64) result {
	rnd := rand.New(rand.NewPCG(1, 2))
	var busy jobs
	var answers []time.Duration
	var late, queued, demand int
	arrival := start
	for id := uint64(1); ; id++ {
		arrival = arrival.Add(seconds(rnd.ExpFloat64() / (load * capacity)))
		if arrival.Sub(start) > runLength {
			break
		}
		for len(busy) > 0 && busy[0].end.Before(arrival) {
			j := heap.Pop(&busy).(job)
			p.completed(j.end, j.end.Sub(j.start))
			if j.end.After(j.deadline) {
				late++
			} else {
				answers = append(answers, j.end.Sub(j.deadline)+budget)
			}
			fill(p, &busy, j.end, rnd)
		}
		demand++
		if p.push(arrival, Item{ID: id, Deadline: arrival.Add(budget)}) {
			queued++
		}
		fill(p, &busy, arrival, rnd)
	}
	slices.Sort(answers)
	started := len(answers) + late
	return result{
		good:    float64(len(answers)) / (capacity * runLength.Seconds()),
		late:    float64(late) / float64(started),
		dropped: float64(queued-started-len(busy)) / float64(demand), // includes those that wait at the end
		median:  answers[len(answers)/2],
	}
}

func fill(p policy, busy *jobs, now time.Time, rnd *rand.Rand) {
	for len(*busy) < slots {
		it, ok := p.pop(now)
		if !ok {
			return
		}
		took := minService + seconds(rnd.ExpFloat64()*meanExtra.Seconds())
		heap.Push(busy, job{end: now.Add(took), start: now, deadline: it.Deadline})
	}
}

// TestGoodput logs the table of docs/design/overload.md.
func TestGoodput(t *testing.T) {
	tests := map[string]struct {
		policy func() policy
		least  float64 // fraction of the goodput at capacity to keep under any load
	}{
		"FIFO by length":                {func() policy { return &plainQueue{} }, 0},
		"FIFO by length, check at pop":  {func() policy { return &plainQueue{dropExpired: true} }, 0},
		"adaptive LIFO":                 {func() policy { return &plainQueue{dropExpired: true, lifoFrom: slots} }, 0},
		"FIFO with deadline prediction": {func() policy { return deadlineQueue{New(Defaults())} }, 0.95},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			atCapacity := measure(tt.policy(), 1).good
			for _, load := range []float64{1, 1.2, 2, 4} {
				got := measure(tt.policy(), load)
				t.Logf("load %.1f: goodput %.3f, kept %.3f, late %.4f, queued then dropped %.4f, median %v",
					load, got.good, got.good/atCapacity, got.late, got.dropped, got.median.Round(time.Millisecond))
				if got.good < tt.least*atCapacity {
					t.Errorf("got %.3f, want at least %.2f of %.3f", got.good, tt.least, atCapacity)
				}
			}
		})
	}
}
