package clock

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"
)

func TestTimersFireInOrder(t *testing.T) {
	tests := map[string]*Clock{"started": Start(), "runtime": nil}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if c != nil {
				defer c.Close()
			}
			start := time.Now()
			var mu sync.Mutex
			var got []int
			var done sync.WaitGroup
			done.Add(4)
			for _, n := range []int{3, 1, 2, 0} {
				at := start.Add(time.Duration(n) * 50 * time.Millisecond)
				c.AfterFunc(at, func() {
					defer done.Done()
					mu.Lock()
					defer mu.Unlock()
					got = append(got, n)
					if time.Now().Before(at) {
						t.Errorf("timer %d fired early", n)
					}
				})
			}
			done.Wait()
			if want := []int{0, 1, 2, 3}; !slices.Equal(got, want) {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

func TestStoppedTimerNeverFires(t *testing.T) {
	c := Start()
	defer c.Close()
	at := time.Now().Add(time.Millisecond)
	stopped := c.Timer(at)
	stopped.Stop()
	<-c.Timer(at.Add(time.Millisecond)).C
	select {
	case <-stopped.C:
		t.Error("got a stopped timer's time")
	default:
	}
}

func TestSleepUntil(t *testing.T) {
	c := Start()
	defer c.Close()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	tests := map[string]struct {
		ctx  context.Context
		wait time.Duration
		want bool
	}{
		"past":      {t.Context(), -time.Second, true},
		"to come":   {t.Context(), time.Millisecond, true},
		"ended":     {ended, time.Hour, false},
		"both":      {ended, -time.Second, false},
		"not begun": {t.Context(), 0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := c.SleepUntil(tt.ctx, time.Now().Add(tt.wait)); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// BenchmarkWake measures a wait of 1.5 ms: ns/op beyond that are the timer's lateness.
func BenchmarkWake(b *testing.B) {
	benches := map[string]*Clock{"started": Start(), "runtime": nil}
	for name, c := range benches {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				c.SleepUntil(b.Context(), time.Now().Add(1500*time.Microsecond))
			}
		})
	}
}
