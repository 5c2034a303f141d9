package queue

import (
	"testing"
	"time"
)

func TestDeadServiceRecovers(t *testing.T) {
	q, now := busyQueue(5)
	now = now.Add(time.Minute) // no completion
	if got := q.Push(now, Item{ID: 100, Service: a1, Deadline: now.Add(10 * time.Second)}).Kind; got != VerdictLate {
		t.Fatalf("got %v, want late", got)
	}
	for i := range uint64(30) {
		it, _ := q.Pop(now, always)
		now = now.Add(10 * time.Millisecond)
		q.Completed(now, a1, 10*time.Millisecond)
		q.Push(now, Item{ID: 200 + i, Service: a1, Deadline: now.Add(time.Hour)})
		_ = it
	}
	if got := q.Push(now, Item{ID: 100, Service: a1, Deadline: now.Add(10 * time.Second)}).Kind; got != VerdictQueued {
		t.Errorf("got %v, want queued", got)
	}
}

// TestStandstillIsNoRate checks that requests are not refused right after a pause of the
// targets, which says nothing about the rate. A service that stays paused is assumed dead.
func TestStandstillIsNoRate(t *testing.T) {
	tests := map[string]struct {
		pause time.Duration
		want  VerdictKind
	}{
		"moves":       {0, VerdictQueued},
		"stood still": {1200 * time.Millisecond, VerdictQueued},
		"dead":        {4 * time.Second, VerdictLate},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q, now := New(Defaults()), start
			for range 40 {
				now = now.Add(10 * time.Millisecond)
				q.Completed(now, a1, 5*time.Millisecond)
			}
			deadline := now.Add(tt.pause + 3*time.Second)
			for id := range uint64(90) {
				if got := q.Push(now, Item{ID: id + 1, Service: a1, Deadline: deadline}).Kind; got != VerdictQueued {
					t.Fatalf("request %d: got %v, want queued", id, got)
				}
				now = now.Add(min(tt.pause, 1200*time.Millisecond) / 90)
			}
			now = now.Add(max(0, tt.pause-1200*time.Millisecond))
			if got := q.Push(now, Item{ID: 1000, Service: a1, Deadline: deadline}).Kind; got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestRateCountsOnlyWhileItemsWait(t *testing.T) {
	q, now := busyQueue(0) // ten per second: the arrival rate, not the capacity
	q.Push(now, Item{ID: 1, Service: a1, Deadline: now.Add(time.Hour)})
	if got := q.PredictWait(now, a1); got != 0 {
		t.Errorf("got a wait of %v, want none before a rate was measured", got)
	}
}

func TestWaitOfEmptyQueueIsNone(t *testing.T) {
	q, now := busyQueue(1)
	now = now.Add(time.Minute) // no completion
	q.Cancel(now, 1)
	if got := q.PredictWait(now, a1); got != 0 {
		t.Errorf("got a wait of %v, want none", got)
	}
}

// TestStallIsNoUsualTime checks that a few requests that were paused for seconds with their
// target or this process don't raise the expected duration of later ones; many do.
func TestStallIsNoUsualTime(t *testing.T) {
	tests := map[string]struct {
		slow int // number of last requests that took 3 s
		want VerdictKind
	}{
		"none": {0, VerdictQueued},
		"one":  {1, VerdictQueued},
		"four": {4, VerdictQueued},
		"all":  {40, VerdictLate},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q, now := New(Defaults()), start
			for i := range 40 {
				now = now.Add(20 * time.Millisecond)
				took := 5 * time.Millisecond
				if i >= 40-tt.slow {
					took = 3 * time.Second
				}
				q.Completed(now, a1, took)
			}
			deadline := now.Add(2280 * time.Millisecond)
			q.Push(now, Item{ID: 1, Service: a1, Deadline: deadline})
			if got := q.Push(now, Item{ID: 2, Service: a1, Deadline: deadline}).Kind; got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestStandstillIsNoUsualTime pauses all requests in flight with their targets; they then end
// together. They must not raise the expected duration of later ones; those of a service that
// has become slow must.
func TestStandstillIsNoUsualTime(t *testing.T) {
	const slots, slow = 8, 3 * time.Second
	tests := map[string]struct {
		rounds int // in which all slots ended together after slow
		want   VerdictKind
	}{
		"none":        {0, VerdictQueued},
		"stood still": {1, VerdictQueued},
		"slow":        {20, VerdictLate},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q, now := New(Defaults()), start
			for range 40 {
				now = now.Add(20 * time.Millisecond)
				q.Completed(now, a1, 5*time.Millisecond)
			}
			for range tt.rounds {
				now = now.Add(slow)
				for range slots {
					now = now.Add(time.Millisecond)
					q.Completed(now, a1, slow)
				}
			}
			deadline := now.Add(1500 * time.Millisecond)
			q.Push(now, Item{ID: 1, Service: a1, Deadline: deadline})
			if got := q.Push(now, Item{ID: 2, Service: a1, Deadline: deadline}).Kind; got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
