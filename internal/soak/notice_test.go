//go:build linux

package soak

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/notice"
)

// Bounds of what reaches a target from instances that know which requests it wants.
const (
	leavingWithin = time.Second // a request that was sent before may be on its way as long
	toldWithin    = 500 * time.Millisecond
	limitWindow   = 4 * time.Second
	limitOver     = 1.5
	limitSlack    = 5
	mostInRest    = 2
)

// headerRun names the run of a target that answers, for callers.
const headerRun = "Target-Run"

// wants holds what targets have said of the requests that they want, and what reached them.
type wants struct {
	journal *journal

	mu      sync.Mutex
	told    map[word]map[string]time.Time // by instance: when it first passed on an answer that says so; guarded by mu
	rests   map[string][]*rest            // by run; guarded by mu
	arrived map[string][]visit            // by run, within limitWindow; guarded by mu
	harmed  map[string]int                // faults on the way to the targets of a domain; guarded by mu
}

// rest is a span in which a run wants nothing from an instance.
type rest struct {
	instance string
	from, to time.Time
	got      int
}

// word is a header by which a run says what it wants.
type word struct{ run, header string }

// Headers of notices.
const (
	headerLeaving = "Server-Leaving"
	headerLimit   = "Server-Limit"
)

// visit is a request at a target.
type visit struct {
	at       time.Time
	instance string
}

func newWants(j *journal) *wants {
	return &wants{
		journal: j, told: make(map[word]map[string]time.Time), rests: make(map[string][]*rest),
		arrived: make(map[string][]visit), harmed: make(map[string]int),
	}
}

// passed notes that an instance has passed on an answer that says something.
func (w *wants) passed(said word, instance string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.told[said] == nil {
		w.told[said] = make(map[string]time.Time)
	}
	if w.told[said][instance].IsZero() {
		w.told[said][instance] = now
	}
}

// rested notes that a run has asked an instance for rest.
func (w *wants) rested(run, instance, domain string, now, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.harmed[domain] == 0 {
		w.rests[run] = append(w.rests[run], &rest{instance: instance, from: now.Add(toldWithin), to: until})
	}
}

// visited checks a request that reaches a run which says something.
func (w *wants) visited(run, instance string, said notice.Notice, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	told := w.told[word{run, headerLeaving}][instance]
	if said.Leaving && !told.IsZero() && now.Sub(told) > leavingWithin {
		w.fault("%s gets a request of %s %s after that has passed on that it leaves", run, instance, now.Sub(told))
	}
	for _, r := range w.rests[run] {
		if r.instance != instance || now.Before(r.from) || !now.Before(r.to) {
			continue
		}
		if r.got++; r.got == mostInRest+1 {
			w.fault("%s gets %d requests of %s within the time of rest that it has asked for", run, r.got, instance)
		}
	}
	if said.Limited {
		w.count(run, visit{at: now, instance: instance}, said.Limit)
	}
}

// count checks that a run gets no more than its limit from all instances that know it. w.mu is held.
func (w *wants) count(run string, v visit, limit float64) {
	list := slices.DeleteFunc(append(w.arrived[run], v), func(o visit) bool { return v.at.Sub(o.at) >= limitWindow })
	w.arrived[run] = list
	n := 0
	for _, o := range list {
		if told := w.told[word{run, headerLimit}][o.instance]; !told.IsZero() && o.at.Sub(told) >= toldWithin {
			n++
		}
	}
	if most := int(limitOver*limit*limitWindow.Seconds()) + limitSlack; n == most+1 {
		w.fault("%s takes %.1f requests a second and gets %d in %s", run, limit, n, limitWindow)
	}
}

func (w *wants) fault(format string, args ...any) {
	w.journal.mu.Lock()
	defer w.journal.mu.Unlock()
	w.journal.fault(format, args...)
}

// excuse forgets what an instance knows: it is killed, paused or stopped.
func (w *wants) excuse(instance string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, told := range w.told {
		delete(told, instance)
	}
	for run, list := range w.rests {
		w.rests[run] = slices.DeleteFunc(list, func(r *rest) bool { return r.instance == instance })
	}
}

// harm notes that a fault on the way to the targets of a domain begins, or ends.
func (w *wants) harm(domain string, change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.harmed[domain] += change
	clear(w.rests)
}

// renew forgets what reached a run while it named another limit.
func (w *wants) renew(run string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.told, word{run, headerLimit})
	delete(w.arrived, run)
}

// constrain lets targets say something for a while.
func (w *world) constrain(list []*target, n notice.Notice, length time.Duration) {
	for _, t := range list {
		w.lasting(t.name+" says", func() {
			t.said.Store(&n)
			w.wants.renew(t.id())
			time.Sleep(length)
			t.said.Store(&notice.Notice{})
		})
	}
}

// leave lets the oldest target say that it leaves, and another come. The store hears later, if
// it does at all, that the old one is gone.
func (w *world) leave() {
	old := w.targets[0]
	w.targets = w.targets[1:]
	w.add()
	old.said.Store(&notice.Notice{Leaving: true})
	w.work.Go(func() {
		time.Sleep(2 * leaving)
		w.store.Remove("servers/" + old.id())
		time.Sleep(leaving)
		old.close()
	})
}

// say writes what the target says into the head of an answer. It returns true if it refuses the
// request for rest.
func (t *target) say(h http.Header, r *http.Request) bool {
	said := *t.said.Load()
	if !said.Any() {
		return false
	}
	now, run := time.Now(), t.id()
	instance, _, _ := net.SplitHostPort(r.RemoteAddr)
	t.world.wants.visited(run, instance, said, now)
	h.Set(headerRun, run)
	if said.Leaving {
		h.Set(headerLeaving, "1")
	}
	if said.Limited {
		h.Set(headerLimit, fmt.Sprint(said.Limit))
	}
	if said.Rest == 0 {
		return false
	}
	h.Set("Retry-After", strconv.FormatFloat(said.Rest.Seconds(), 'f', 3, 64))
	t.world.wants.rested(run, instance, t.domain, now, now.Add(said.Rest))
	return true
}

// toldBy notes what an answer says that an instance has passed on.
func (w *wants) toldBy(instance net.Addr, h http.Header) {
	ip, _, _ := net.SplitHostPort(instance.String())
	for _, name := range []string{headerLeaving, headerLimit} {
		if h.Get(name) != "" {
			w.passed(word{h.Get(headerRun), name}, ip, time.Now())
		}
	}
}
