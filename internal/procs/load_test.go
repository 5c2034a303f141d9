//go:build linux

package procs

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/target"
	"github.com/firlever/firlever/pkg/caller"
)

// traffic describes an open-loop load from callers at home in one place.
type traffic struct {
	home          string
	idempotent    int           // requests/s that may run twice
	nonIdempotent int           // requests/s that must run at most once
	timeout       time.Duration // per request; default 8s
	size          int64         // answer size in bytes; 0 means the target's default
	reachable     []*node       // instances that the callers are configured with; nil means all that run
}

// tally counts requests by their final outcome.
type tally struct {
	sent            int
	answered        int
	retried         int            // requests with an unknown outcome that were sent again with their key
	byRunCount      map[int]int    // number of non-idempotent requests by how often they ran
	failureCounts   map[string]int // requests without a complete answer, by outcome and reason
	violations      []string       // wrong answers, and requests that ended too long after their deadline
	failedIDs       []string       // first requests without a complete answer, up to maxFailedIDs
	slowest         time.Duration
	answersBySecond []int // answers per second since the load's start
}

// failures returns the number of requests that got no complete answer.
func (c *tally) failures() int { return c.sent - c.answered }

// countWithPrefix returns the number of failures whose outcome begins with a prefix.
func (c *tally) countWithPrefix(prefix string) int {
	n := 0
	for end, m := range c.failureCounts {
		if strings.HasPrefix(end, prefix) {
			n += m
		}
	}
	return n
}

// load generates traffic until stop or end.
type load struct {
	f      *fleet
	name   string
	tr     traffic
	client *caller.Client
	began  time.Time
	done   chan struct{}
	wg     sync.WaitGroup

	mu            sync.Mutex
	idempotent    tally
	nonIdempotent tally
	requestIDs    []string // of the non-idempotent requests
}

// deadlineTolerance is how long after its deadline a request may end, in addition to the
// pauses of this process, which runs the callers.
const deadlineTolerance = 2 * time.Second

// load starts a load. It ends with stop, or at the end of the test.
func (f *fleet) load(name string, tr traffic) *load {
	f.t.Helper()
	setDefault(&tr.timeout, 8*time.Second)
	l := &load{f: f, name: fmt.Sprintf("f%d-%s", f.number, name), tr: tr, client: f.clientForNodes(tr.home, tr.reachable), began: time.Now(), done: make(chan struct{})}
	l.idempotent.failureCounts, l.nonIdempotent.failureCounts = map[string]int{}, map[string]int{}
	l.wg.Go(func() { l.generate(tr.idempotent, l.get) })
	l.wg.Go(func() { l.generate(tr.nonIdempotent, l.post) })
	f.t.Cleanup(func() { l.end() })
	return l
}

// clientForNodes returns a client at home in a place that is configured with the given
// instances, or with all that run if nodes is nil.
func (f *fleet) clientForNodes(home string, nodes []*node) *caller.Client {
	f.t.Helper()
	var entries []string
	if nodes == nil {
		nodes = f.running()
	}
	for _, n := range nodes {
		entries = append(entries, n.callerAddr)
	}
	return f.clientForAddresses(home, entries...)
}

// clientForAddresses returns a client at home in a place that is configured with the given
// caller addresses.
func (f *fleet) clientForAddresses(home string, entries ...string) *caller.Client {
	f.t.Helper()
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(f.callerIP(f.placeIndex(home)))}}
	c, err := caller.New(caller.Config{Entries: entries, Dial: d.DialContext})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(c.Close)
	return c
}

// generate starts requests at their scheduled times, without waiting for earlier ones to
// end.
func (l *load) generate(rate int, do func(id string)) {
	if rate == 0 {
		return
	}
	interval := time.Second / time.Duration(rate)
	next := time.Now()
	for i := 0; ; i++ {
		select {
		case <-l.done:
			return
		case <-time.After(time.Until(next)):
		}
		next = next.Add(interval)
		l.wg.Go(func() { do(fmt.Sprintf("%s-%d-%d", l.name, rate, i)) })
	}
}

// end stops the load and waits for the requests in flight. It may be called repeatedly.
func (l *load) end() {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	l.wg.Wait()
}

func (l *load) request(id, method string) *caller.Request {
	path := "/work"
	if l.tr.size > 0 {
		path += fmt.Sprintf("?size=%d", l.tr.size)
	}
	return &caller.Request{Method: method, Path: path, Header: http.Header{"Firlever-Request": {id}}}
}

func (l *load) get(id string) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), l.tr.timeout)
	defer cancel()
	err := l.send(ctx, l.request("i-"+id, http.MethodGet))
	l.checkOutcome("i-"+id, err)
	l.recordOutcome(&l.idempotent, "i-"+id, began, err)
}

const maxTries = 4 // sends of a non-idempotent request whose outcome is unknown

// post sends a request that must run at most once. While its outcome is unknown, it is
// sent again with the key that resolves the outcome.
func (l *load) post(id string) {
	id = "o-" + id
	l.f.journal.RequireAtMostOnce(id)
	l.mu.Lock()
	l.requestIDs = append(l.requestIDs, id)
	l.mu.Unlock()
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), l.tr.timeout)
	defer cancel()
	r := l.request(id, http.MethodPost)
	var err error
	for i := range maxTries {
		err = l.send(ctx, r)
		var unknown *caller.UnknownError
		if !errors.As(err, &unknown) || unknown.Key.Value == "" || ctx.Err() != nil {
			break
		}
		r.Key = unknown.Key
		if i == 0 {
			l.mu.Lock()
			l.nonIdempotent.retried++
			l.mu.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
	}
	l.checkOutcome(id, err)
	l.recordOutcome(&l.nonIdempotent, id, began, err)
}

// statusError is an answer of a target with a status other than 200.
type statusError struct{ status int }

func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.status) }

func (l *load) send(ctx context.Context, r *caller.Request) error {
	resp, err := l.client.Do(ctx, service, r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.Status != http.StatusOK {
		return &statusError{resp.Status}
	}
	return target.VerifyAnswer(r.Header.Get("Firlever-Request"), resp.Body)
}

// checkOutcome compares the final outcome of a request with the journal of the targets.
func (l *load) checkOutcome(id string, err error) {
	var notRun *caller.NotRunError
	if errors.As(err, &notRun) {
		l.f.journal.RecordRefusal(id)
	}
	if err == nil && l.f.journal.Runs(id) == 0 {
		l.addViolation(id + " was answered but never ran")
	}
	var wrong *target.AnswerError
	if errors.As(err, &wrong) && wrong.Err == nil {
		l.addViolation(err.Error())
	}
}

func (l *load) addViolation(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idempotent.violations = append(l.idempotent.violations, text)
}

// maxFailedIDs is the number of failures of a tally whose log lines are printed.
const maxFailedIDs = 2

func (l *load) recordOutcome(c *tally, id string, began time.Time, err error) {
	took := time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	c.sent++
	c.slowest = max(c.slowest, took)
	_, paused, _ := processPauses.since(began)
	if took > l.tr.timeout+deadlineTolerance+paused {
		c.violations = append(c.violations, fmt.Sprintf("a request ended %s after its deadline, with callers paused for %s", took-l.tr.timeout, paused))
	}
	if err == nil {
		c.answered++
		c.countAnswer(int(time.Since(l.began) / time.Second))
		return
	}
	c.failureCounts[outcomeOf(err)]++
	if len(c.failedIDs) < maxFailedIDs {
		c.failedIDs = append(c.failedIDs, id)
	}
}

func (c *tally) countAnswer(second int) {
	for len(c.answersBySecond) <= second {
		c.answersBySecond = append(c.answersBySecond, 0)
	}
	c.answersBySecond[second]++
}

// outcomeOf returns the outcome and reason of a request that got no complete answer.
func outcomeOf(err error) string {
	var notRun *caller.NotRunError
	var unknown *caller.UnknownError
	var incomplete *caller.IncompleteError
	var status *statusError
	switch {
	case errors.As(err, &notRun):
		return "not-run " + notRun.Reason
	case errors.As(err, &unknown):
		return "unknown " + unknown.Reason
	case errors.As(err, &incomplete):
		return "cut"
	case errors.As(err, &status):
		return status.Error()
	}
	return "wrong"
}

// stop ends the load, fails the test for violations, and logs the counts.
func (l *load) stop(t *testing.T) (idempotent, nonIdempotent *tally) {
	t.Helper()
	l.end()
	l.nonIdempotent.byRunCount = map[int]int{}
	for _, id := range l.requestIDs {
		l.nonIdempotent.byRunCount[l.f.journal.Runs(id)]++
	}
	for _, c := range []*tally{&l.idempotent, &l.nonIdempotent} {
		for _, text := range c.violations {
			t.Error(text)
		}
	}
	t.Logf("%s idempotent: %s", l.name, &l.idempotent)
	t.Logf("%s non-idempotent: %s; sent again %d, requests by number of runs %v", l.name, &l.nonIdempotent, l.nonIdempotent.retried, l.nonIdempotent.byRunCount)
	return &l.idempotent, &l.nonIdempotent
}

// failureLogs returns what the instances logged about the first failed requests.
func (f *fleet) failureLogs(c *tally) string {
	var b strings.Builder
	for _, id := range c.failedIDs {
		for _, n := range f.nodes {
			for _, p := range n.processes {
				for _, line := range p.out.linesWithID(id) {
					fmt.Fprintf(&b, "\n  %s: %s", n.id, line)
				}
			}
		}
	}
	return b.String()
}

func (c *tally) String() string {
	var ends []string
	for end, n := range c.failureCounts {
		ends = append(ends, fmt.Sprintf("%s %d", end, n))
	}
	slices.Sort(ends)
	return fmt.Sprintf("%d sent, %d answered, slowest %s, by second %v; %s", c.sent, c.answered,
		c.slowest.Round(time.Millisecond), c.answersBySecond, strings.Join(ends, ", "))
}
