package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Half of all sends fail for 8 s, and retries are allowed for a tenth of the requests. Three quarters of the retries that
// the first class asks for, a sixth of all, are to be had by it; the window's bound holds for all together.
func TestRetriesOfTheFirstClass(t *testing.T) {
	const share = 0.15
	w, d, rng := NewWindow(begin, 4*time.Second, share), NewDemand(begin, 4*time.Second), rand.New(rand.NewPCG(1, 1))
	asked, got, all, requests := [Classes]int{}, [Classes]int{}, 0, 0
	for i := range 8000 {
		now := begin.Add(time.Duration(i) * time.Millisecond)
		w.Request(now)
		requests++
		if rng.IntN(2) == 0 {
			continue
		}
		class := 4 * min(1, rng.IntN(6))
		ok := d.Spend(now, w, class)
		if i < 2000 {
			continue
		}
		asked[class]++
		if ok {
			got[class]++
			all++
		}
	}
	if got[0]*4 < asked[0]*3 {
		t.Errorf("got %d of %d retries of the first class, want three quarters or more", got[0], asked[0])
	}
	if got[4] == 0 || all > int(share*float64(requests)) {
		t.Errorf("got %d retries of the other class and %d in all, want some, and %d at most", got[4], all, int(share*float64(requests)))
	}
}

// One class alone is decided about as by the window itself.
func TestOneClass(t *testing.T) {
	for class := range Classes {
		alone, w := NewWindow(begin, 4*time.Second, 0.2), NewWindow(begin, 4*time.Second, 0.2)
		d, rng := NewDemand(begin, 4*time.Second), rand.New(rand.NewPCG(1, uint64(class)))
		for i := range 5000 {
			now := begin.Add(time.Duration(i) * 3 * time.Millisecond)
			alone.Request(now)
			w.Request(now)
			if rng.IntN(3) > 0 {
				continue
			}
			if got, want := d.Spend(now, w, class), alone.Spend(now); got != want {
				t.Fatalf("retry %d: got %t, want %t", i, got, want)
			}
		}
	}
}
