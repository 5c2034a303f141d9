package steer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/routes"
)

// All targets refuse half of their requests although they have capacity. No request waits or is
// refused for lack of capacity, and callers whose retry exceeds the budget may retry at once.
func TestRefusalsWithFreeSlots(t *testing.T) {
	f := newFleet(t, 16, 4)
	rng := rand.New(rand.NewPCG(1, 1))
	now, served, budget := start, 0, 0
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		q := query(fmt.Sprint(i % 40))
		for range 2 {
			c := f.Pick(now, q)
			if c.Reason == NoBudget && c.RetryAfter <= minRetryAfter {
				budget++
				break
			}
			if c.Reason != "" {
				t.Fatalf("request %d: got refused with %s, retry after %s", i, c.Reason, c.RetryAfter)
			}
			if rng.IntN(2) == 0 {
				f.Done(now, c.Target, Outcome{Ending: Answered, Took: 100 * time.Millisecond, Load: &Load{}})
				served++
				break
			}
			f.Done(now, c.Target, Outcome{Ending: Shed, Load: &Load{Running: 1}})
			q.Retry, q.Tried = true, append(q.Tried, c.Target.ID)
		}
	}
	if served < 220 || budget == 0 {
		t.Errorf("got %d of 400 served and %d without a retry, want 220 or more, and some", served, budget)
	}
}

// All targets of a service have more requests than slots, and this instance, one of many,
// receives a report from each only now and then. A target without a recent report must not be
// treated as idle.
func TestSilentTargetsOfBusyService(t *testing.T) {
	const targets, slots = 16, 4
	f := newFleet(t, targets, slots)
	now, withoutWait := start, 0
	for i := range 400 {
		now = now.Add(500 * time.Millisecond)
		q := query(fmt.Sprint(i))
		q.Deadline = now.Add(time.Minute)
		c := f.Pick(now, q)
		if c.Reason == "" {
			if i > 100 && c.Wait == 0 {
				withoutWait++
			}
			f.Done(now, c.Target, Outcome{
				Ending: Answered, Took: 100 * time.Millisecond, Load: &Load{Running: slots, Waiting: 3},
			})
		}
	}
	if withoutWait > 0 {
		t.Errorf("got %d of 300 requests without an expected wait, want none", withoutWait)
	}
}

// A target that was just added does all of its objects' work cold, which takes three times as
// long as at other targets. It must keep the objects to become warm.
func TestNewTargetKeepsObjects(t *testing.T) {
	f := newFleet(t, 4, 4)
	home := f.best(start, f.services["s"], queryOf("x")).Target.ID
	for range 20 {
		for id := range f.targets {
			took := 100 * time.Millisecond
			if id == home {
				took *= 3
			}
			f.Done(start, Target{ID: id}, Outcome{Ending: Answered, Took: took, Load: &Load{}})
		}
	}
	f.services["s"].meanLatency = 100 * time.Millisecond
	if got := f.best(start, f.services["s"], queryOf("x")).Target.ID; got != home {
		t.Errorf("got %s, want the home %s", got, home)
	}
}

// A region has as many callers as the others and a tenth of the targets. Its targets must be
// homes of hardly more objects than those of the others, and most objects requested in a large
// region must have their home there.
func TestSmallRegion(t *testing.T) {
	const objects = 3000 // requested in each region
	targets := map[string]int{"east": 48, "south": 192, "north": 231}
	regions := map[string]string{"east": "east", "south": "south", "north": "north"}
	homes, own := map[string]int{}, map[string]int{}
	for region := range targets {
		cfg := config("a", region)
		cfg.Regions = regions
		f, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		f.SetServices(start, map[string]routes.Service{"s": {Name: "s"}})
		for domain, n := range targets {
			for i := range n {
				f.Put(start, Target{ID: fmt.Sprint(domain, i), Service: "s", Domain: domain, Slots: 9})
			}
		}
		for i := range objects {
			home := f.best(start, f.services["s"], queryOf(fmt.Sprint(region, i))).Target.Domain
			homes[home]++
			if home == region {
				own[region]++
			}
		}
	}
	mean := float64(3*objects) / float64(48+192+231)
	for region, n := range targets {
		if got := float64(homes[region]) / float64(n) / mean; got > 1.25 {
			t.Errorf("%s: got %.2f times the mean of homes at its targets, want 1.25 at most", region, got)
		}
	}
	for _, region := range []string{"south", "north"} {
		if got := float64(own[region]) / objects; got < 0.6 {
			t.Errorf("%s: got %.2f of its objects at home in it, want 0.6 or more", region, got)
		}
	}
}

// slowRegionSim simulates requests for two regions with the same number of targets. Those in the
// north do all work cold, which takes four times as long, and get more requests than they can
// serve. Those in the south have free slots, but requests bound to the north can't use them.
type slowRegionSim struct {
	fleet    *Fleet
	rng      *rand.Rand
	free     map[string][]time.Time // when each slot of a target becomes free, by target ID
	inFlight []attempt              // sorted by end time

	served, late int // requests for the north
}

// attempt is a request at a target.
type attempt struct {
	target     Target
	begin, end time.Time
	deadline   time.Time
	north      bool
}

// send sends one request.
func (s *slowRegionSim) send(now time.Time, object string, north bool) {
	q := query(object)
	q.Deadline = now.Add(900 * time.Millisecond)
	q.Regions = routes.RegionsOf([]string{"south"})
	work := 100 * time.Millisecond
	if north {
		q.Regions = routes.RegionsOf([]string{"north"})
		work = 400 * time.Millisecond
	}
	c := s.fleet.Pick(now, q)
	if c.Reason != "" {
		return
	}
	slots := s.free[c.Target.ID]
	if slots == nil {
		slots = make([]time.Time, c.Target.Slots)
	}
	slices.SortFunc(slots, time.Time.Compare)
	slots[0] = later(slots[0], now).Add(work)
	s.free[c.Target.ID] = slots
	s.inFlight = append(s.inFlight, attempt{c.Target, now, slots[0], q.Deadline, north})
	slices.SortFunc(s.inFlight, func(a, b attempt) int { return a.end.Compare(b.end) })
}

// finish completes the requests that have ended by now.
func (s *slowRegionSim) finish(now time.Time) {
	for len(s.inFlight) > 0 && !s.inFlight[0].end.After(now) {
		a := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		busy := 0
		for _, other := range s.inFlight {
			if other.target.ID == a.target.ID {
				busy++
			}
		}
		s.fleet.Done(a.end, a.target, Outcome{Ending: Answered, Took: a.end.Sub(a.begin), Load: &Load{Running: busy}})
		switch {
		case !a.north:
		case a.end.After(a.deadline):
			s.late++
		default:
			s.served++
		}
	}
}

// A region with slow and overloaded targets must not be estimated by the latency of the other
// region: requests that would finish too late are refused at once, and the targets stay busy.
func TestWaitsInASlowRegion(t *testing.T) {
	const warmUp, simulated, capacity = 5 * time.Second, 25 * time.Second, 4 * 8 / 0.4 // requests per second in the north
	s := &slowRegionSim{fleet: newFleet(t, 16, 4), rng: rand.New(rand.NewPCG(1, 1)), free: map[string][]time.Time{}}
	for at := time.Duration(0); at < simulated; at += 10 * time.Millisecond {
		now := start.Add(at)
		s.finish(now)
		if at == warmUp {
			s.served, s.late = 0, 0
		}
		for range 2 {
			s.send(now, fmt.Sprint("s", s.rng.IntN(100)), false)
			s.send(now, fmt.Sprint("n", s.rng.IntN(400)), true)
		}
	}
	if s.late*20 > s.served {
		t.Errorf("got %d late of %d answers, want a twentieth at most", s.late, s.served+s.late)
	}
	if want := int(0.85 * capacity * (simulated - warmUp).Seconds()); s.served < want {
		t.Errorf("got %d served in time, want %d or more", s.served, want)
	}
}

// The network distance to a far domain makes requests take longer, but does not lengthen queues.
func TestDistanceIsNotSlowness(t *testing.T) {
	tests := map[string]struct {
		near, far time.Duration // latency of one request
		want      bool          // whether the far domain's own latency is used
	}{
		"far":          {20 * time.Millisecond, 100 * time.Millisecond, false},
		"slow":         {200 * time.Millisecond, 800 * time.Millisecond, true},
		"a bit slower": {800 * time.Millisecond, 1000 * time.Millisecond, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 4, 4)
			for range 100 {
				for _, target := range f.services["s"].targets {
					took := tt.near
					if target.Domain == "s1" {
						took = tt.far
					}
					f.measure(start, target, took)
				}
			}
			mean := f.services["s"].latency(time.Second)
			for _, target := range f.services["s"].targets {
				want := target.Domain == "s1" && tt.want
				if got := target.workTime(mean) != mean; got != want {
					t.Errorf("%s: got the domain's own latency used: %t, want %t", target.Domain, got, want)
				}
			}
		})
	}
}

// The first requests in a domain run cold. One sample must not mark the domain as slow; more of
// them do.
func TestColdRunsDoNotMarkDomainSlow(t *testing.T) {
	const warm, cold = 200 * time.Millisecond, 600 * time.Millisecond
	f := newFleet(t, 4, 4)
	list := f.services["s"].targets
	for range 50 {
		f.measure(start, list[0], warm)
	}
	f.measure(start, list[1], cold)
	mean := f.services["s"].latency(time.Second)
	if got := list[1].workTime(mean); got != mean {
		t.Errorf("got %s after one cold run, want %s", got, mean)
	}
	for range 20 {
		for range 3 {
			f.measure(start, list[0], warm)
		}
		f.measure(start, list[1], cold)
	}
	mean = f.services["s"].latency(time.Second)
	if got := list[1].workTime(mean); got <= mean {
		t.Errorf("got %s after 20 more, want over %s", got, mean)
	}
}
