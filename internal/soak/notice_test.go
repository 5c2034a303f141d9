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
	leavingDelay = time.Second // a request that was sent before may be on its way as long
	noticeDelay  = 500 * time.Millisecond
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	maxInBackOff = 2
)

// headerRun names the run of a target that answers, for callers.
const headerRun = "Target-Run"

// noticeChecker holds what targets have said of the requests that they want, and what reached them.
type noticeChecker struct {
	journal *journal

	mu           sync.Mutex
	relayed      map[noticeHeader]map[string]time.Time // by instance: when it first passed on an answer that says so; guarded by mu
	backOffs     map[string][]*backOff                 // by run; guarded by mu
	arrivals     map[string][]arrival                  // by run, within limitWindow; guarded by mu
	activeFaults map[string]int                        // faults on the way to the targets of a domain; guarded by mu
}

// backOff is a span in which a run wants nothing from an instance.
type backOff struct {
	instance string
	from, to time.Time
	requests int
}

// noticeHeader is a header by which a run says what it wants.
type noticeHeader struct{ run, header string }

// Headers of notices.
const (
	headerLeaving = "Server-Leaving"
	headerLimit   = "Server-Limit"
)

// arrival is a request at a target.
type arrival struct {
	at       time.Time
	instance string
}

func newNoticeChecker(j *journal) *noticeChecker {
	return &noticeChecker{
		journal: j, relayed: make(map[noticeHeader]map[string]time.Time), backOffs: make(map[string][]*backOff),
		arrivals: make(map[string][]arrival), activeFaults: make(map[string]int),
	}
}

// recordRelayed notes that an instance has recordRelayed on an answer that says something.
func (c *noticeChecker) recordRelayed(header noticeHeader, instance string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relayed[header] == nil {
		c.relayed[header] = make(map[string]time.Time)
	}
	if c.relayed[header][instance].IsZero() {
		c.relayed[header][instance] = now
	}
}

// recordBackOff notes that a run has asked an instance for rest.
func (c *noticeChecker) recordBackOff(run, instance, domain string, now, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activeFaults[domain] == 0 {
		c.backOffs[run] = append(c.backOffs[run], &backOff{instance: instance, from: now.Add(noticeDelay), to: until})
	}
}

// checkArrival checks a request that reaches a run which says something.
func (c *noticeChecker) checkArrival(run, instance string, announced notice.Notice, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	relayed := c.relayed[noticeHeader{run, headerLeaving}][instance]
	if announced.Leaving && !relayed.IsZero() && now.Sub(relayed) > leavingDelay {
		c.addViolation("%s gets a request of %s %s after that has passed on that it leaves", run, instance, now.Sub(relayed))
	}
	for _, b := range c.backOffs[run] {
		if b.instance != instance || now.Before(b.from) || !now.Before(b.to) {
			continue
		}
		if b.requests++; b.requests == maxInBackOff+1 {
			c.addViolation("%s gets %d requests of %s within the time of rest that it has asked for", run, b.requests, instance)
		}
	}
	if announced.Limited {
		c.checkLimit(run, arrival{at: now, instance: instance}, announced.Limit)
	}
}

// checkLimit checks that a run gets no more than its limit from all instances that know it. w.mu is held.
func (c *noticeChecker) checkLimit(run string, latest arrival, limit float64) {
	recent := slices.DeleteFunc(append(c.arrivals[run], latest), func(a arrival) bool { return latest.at.Sub(a.at) >= limitWindow })
	c.arrivals[run] = recent
	arrived := 0
	for _, a := range recent {
		if relayed := c.relayed[noticeHeader{run, headerLimit}][a.instance]; !relayed.IsZero() && a.at.Sub(relayed) >= noticeDelay {
			arrived++
		}
	}
	if maxArrivals := int(limitOverage*limit*limitWindow.Seconds()) + limitSlack; arrived == maxArrivals+1 {
		c.addViolation("%s takes %.1f requests a second and gets %d in %s", run, limit, arrived, limitWindow)
	}
}

func (c *noticeChecker) addViolation(format string, args ...any) {
	c.journal.mu.Lock()
	defer c.journal.mu.Unlock()
	c.journal.addViolationLocked(format, args...)
}

// resetInstance forgets what an instance knows: it is killed, paused or stopped.
func (c *noticeChecker) resetInstance(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, relayed := range c.relayed {
		delete(relayed, instance)
	}
	for run, backOffs := range c.backOffs {
		c.backOffs[run] = slices.DeleteFunc(backOffs, func(b *backOff) bool { return b.instance == instance })
	}
}

// addFaults notes that a fault on the way to the targets of a domain begins, or ends.
func (c *noticeChecker) addFaults(domain string, delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults[domain] += delta
	clear(c.backOffs)
}

// resetLimit forgets what reached a run while it named another limit.
func (c *noticeChecker) resetLimit(run string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.relayed, noticeHeader{run, headerLimit})
	delete(c.arrivals, run)
}

// setNotice lets targets say something for a while.
func (c *cluster) setNotice(targets []*target, n notice.Notice, length time.Duration) {
	for _, t := range targets {
		c.startFault(t.name+" says", func() {
			t.notice.Store(&n)
			c.notices.resetLimit(t.id())
			time.Sleep(length)
			t.notice.Store(&notice.Notice{})
		})
	}
}

// announceLeaving lets the oldest target say that it leaves, and another come. The store hears later, if
// it does at all, that the old one is gone.
func (c *cluster) announceLeaving() {
	old := c.targets[0]
	c.targets = c.targets[1:]
	c.addTarget()
	old.notice.Store(&notice.Notice{Leaving: true})
	c.background.Go(func() {
		time.Sleep(2 * leavingTime)
		c.store.Remove("servers/" + old.id())
		time.Sleep(leavingTime)
		old.close()
	})
}

// writeNotice writes what the target says into the head of an answer. It returns true if it refuses the
// request for rest.
func (t *target) writeNotice(h http.Header, r *http.Request) bool {
	announced := *t.notice.Load()
	if !announced.Any() {
		return false
	}
	now, run := time.Now(), t.id()
	instance, _, _ := net.SplitHostPort(r.RemoteAddr)
	t.cluster.notices.checkArrival(run, instance, announced, now)
	h.Set(headerRun, run)
	if announced.Leaving {
		h.Set(headerLeaving, "1")
	}
	if announced.Limited {
		h.Set(headerLimit, fmt.Sprint(announced.Limit))
	}
	if announced.Rest == 0 {
		return false
	}
	h.Set("Retry-After", strconv.FormatFloat(announced.Rest.Seconds(), 'f', 3, 64))
	t.cluster.notices.recordBackOff(run, instance, t.domain, now, now.Add(announced.Rest))
	return true
}

// recordNotices notes what an answer says that an instance has passed on.
func (c *noticeChecker) recordNotices(instance net.Addr, h http.Header) {
	ip, _, _ := net.SplitHostPort(instance.String())
	for _, name := range []string{headerLeaving, headerLimit} {
		if h.Get(name) != "" {
			c.recordRelayed(noticeHeader{h.Get(headerRun), name}, ip, time.Now())
		}
	}
}
