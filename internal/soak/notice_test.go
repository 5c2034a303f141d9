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

// Bounds on the requests that a target receives from instances that have received its notice.
const (
	leavingDelay = time.Second // a request sent before the notice may take as long to arrive
	noticeDelay  = 500 * time.Millisecond
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	maxInBackOff = 2
)

// headerRun carries the ID of the run of the target that answers, for the checks of callers.
const headerRun = "Target-Run"

// noticeChecker records the notices of targets and the requests that they receive, and checks that
// instances comply with the notices.
type noticeChecker struct {
	journal *journal

	mu           sync.Mutex
	relayed      map[noticeHeader]map[string]time.Time // by instance: when it first relayed an answer with this header; guarded by mu
	backOffs     map[string][]*backOff                 // by run; guarded by mu
	arrivals     map[string][]arrival                  // by run, within limitWindow; guarded by mu
	activeFaults map[string]int                        // number of faults on the link to the targets of a domain; guarded by mu
}

// backOff is a period in which a run accepts no requests from an instance.
type backOff struct {
	instance string
	from, to time.Time
	requests int
}

// noticeHeader identifies a notice header of a run.
type noticeHeader struct{ run, header string }

// Headers of notices.
const (
	headerLeaving = "Server-Leaving"
	headerLimit   = "Server-Limit"
)

// arrival is a request that a target receives.
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

// recordRelayed records when an instance first relays an answer with a notice header.
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

// recordBackOff records that a run has requested back-off from an instance. It records nothing while
// a fault affects the link to the domain of the target: the instance may not receive the answer.
func (c *noticeChecker) recordBackOff(run, instance, domain string, now, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activeFaults[domain] == 0 {
		c.backOffs[run] = append(c.backOffs[run], &backOff{instance: instance, from: now.Add(noticeDelay), to: until})
	}
}

// checkArrival checks a request that a run receives while it announces a notice.
func (c *noticeChecker) checkArrival(run, instance string, announced notice.Notice, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	relayed := c.relayed[noticeHeader{run, headerLeaving}][instance]
	if announced.Leaving && !relayed.IsZero() && now.Sub(relayed) > leavingDelay {
		c.addViolation("%s received a request from %s %s after that instance relayed that it is leaving", run, instance, now.Sub(relayed))
	}
	for _, b := range c.backOffs[run] {
		if b.instance != instance || now.Before(b.from) || !now.Before(b.to) {
			continue
		}
		if b.requests++; b.requests == maxInBackOff+1 {
			c.addViolation("%s received %d requests from %s within the back-off that it requested", run, b.requests, instance)
		}
	}
	if announced.HasLimit {
		c.checkLimit(run, arrival{at: now, instance: instance}, announced.Limit)
	}
}

// checkLimit checks that a run receives no more than its limit from the instances that have received
// it, all together. c.mu is held.
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
		c.addViolation("%s has a limit of %.1f requests per second and received %d in %s", run, limit, arrived, limitWindow)
	}
}

func (c *noticeChecker) addViolation(format string, args ...any) {
	c.journal.mu.Lock()
	defer c.journal.mu.Unlock()
	c.journal.addViolationLocked(format, args...)
}

// resetInstance discards the notices that an instance has received, when it is killed, paused or
// stopped.
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

// addFaults changes the number of faults on the link to the targets of a domain by delta, and
// discards all back-offs.
func (c *noticeChecker) addFaults(domain string, delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults[domain] += delta
	clear(c.backOffs)
}

// resetLimit discards the requests that a run received under another limit, and which instances have
// received that limit.
func (c *noticeChecker) resetLimit(run string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.relayed, noticeHeader{run, headerLimit})
	delete(c.arrivals, run)
}

// setNotice makes targets announce a notice for a time.
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

// announceLeaving makes the oldest target announce that it is leaving, and adds another one. The
// entry of the old target is removed from the store only later, if at all.
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

// writeNotice adds the notice of the target to the headers of an answer. It returns true if the target
// refuses the request because it requests back-off.
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
	if announced.HasLimit {
		h.Set(headerLimit, fmt.Sprint(announced.Limit))
	}
	if announced.BackOff == 0 {
		return false
	}
	h.Set("Retry-After", strconv.FormatFloat(announced.BackOff.Seconds(), 'f', 3, 64))
	t.cluster.notices.recordBackOff(run, instance, t.domain, now, now.Add(announced.BackOff))
	return true
}

// recordNotices records the notice headers of an answer that an instance has relayed.
func (c *noticeChecker) recordNotices(instance net.Addr, h http.Header) {
	ip, _, _ := net.SplitHostPort(instance.String())
	for _, name := range []string{headerLeaving, headerLimit} {
		if h.Get(name) != "" {
			c.recordRelayed(noticeHeader{h.Get(headerRun), name}, ip, time.Now())
		}
	}
}
