package boottime

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// machine is a kernel whose machine can be suspended.
type machine struct {
	offset atomic.Int64
	fails  atomic.Bool
}

var errKernel = errors.New("no such clock")

func (m *machine) kernel() (time.Duration, error) {
	if m.fails.Load() {
		return 0, errKernel
	}
	return time.Duration(m.offset.Load()), nil
}

func (m *machine) suspend(d time.Duration) { m.offset.Add(int64(d)) }

// The clock counts suspensions, and is equal to the monotonic clock otherwise.
func TestNow(t *testing.T) {
	tests := map[string]struct {
		play func(m *machine, c *clock)
		want time.Duration // beyond the monotonic clock
	}{
		"never suspended": {func(*machine, *clock) {}, 0},
		"suspended":       {func(m *machine, _ *clock) { m.suspend(3 * time.Second) }, 3 * time.Second},
		"suspended twice": {func(m *machine, c *clock) {
			m.suspend(time.Second)
			time.Sleep(2 * recheckInterval)
			c.now()
			m.suspend(time.Second)
		}, 2 * time.Second},
		"the kernel clocks read apart": {func(m *machine, _ *clock) { m.suspend(time.Millisecond) }, 0},
		"read apart the other way":     {func(m *machine, _ *clock) { m.suspend(-time.Second) }, 0},
		"the kernel clock fails":       {func(m *machine, _ *clock) { m.suspend(time.Second); m.fails.Store(true) }, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &machine{}
				m.offset.Store(int64(time.Hour)) // suspensions before the process started
				c := newClock(m.kernel)
				before, steady := c.now(), time.Now()
				tt.play(m, c)
				time.Sleep(2 * recheckInterval)
				if got := c.now().Sub(before) - time.Since(steady); got != tt.want {
					t.Errorf("got %s beyond the steady clock, want %s", got, tt.want)
				}
			})
		})
	}
}

// A suspension is detected even if nothing asks for the time.
func TestResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &machine{}
		c := newClock(m.kernel)
		resumed := c.nextResume()
		begin := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 10*recheckInterval)
		defer cancel()
		go c.watch(ctx)
		m.suspend(time.Minute)
		select {
		case <-resumed:
		case <-ctx.Done():
			t.Fatal("suspension not detected")
		}
		if got := time.Since(begin); got > 2*recheckInterval {
			t.Errorf("suspension detected after %s", got)
		}
	})
}

// The clock of this machine runs, and its times can be converted to the clock of the runtime.
func TestSystem(t *testing.T) {
	at := Now().Add(20 * time.Millisecond)
	first, last := ToRuntime(at), ToRuntime(at)
	if got := time.Until(last); got <= 0 || got > 20*time.Millisecond {
		t.Errorf("got %s by the clock of the runtime, want 20ms at most", got)
	}
	if early := at.Sub(first); early > 0 {
		t.Errorf("woken %s too soon", early)
	}
	Sleep(context.Background(), at)
	if Until(at) > 0 || Since(at) < 0 {
		t.Errorf("returned from sleep %s too soon", Until(at))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	Sleep(ctx, Now().Add(time.Hour))
}
