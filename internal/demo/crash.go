package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	peers "github.com/firlever/firlever/internal/callers"
	"github.com/firlever/firlever/internal/emulator/target"
	"github.com/firlever/firlever/internal/invariant"
)

// The request that ends each target that runs it.
const (
	crashPath     = "/crash"
	crashInterval = 50 * time.Millisecond
	crashTimeout  = 2 * time.Second
	restartDelay  = 300 * time.Millisecond // until a target is back
	// crashesToDetect is how many targets of a place have to end until that shows what the request
	// does, and spreadTime how long the place's instances may then take to know.
	crashesToDetect = 3
	propagationTime = time.Second
)

// restartingTarget is a stand-in for a target that comes back at its address when a request has
// ended it.
type restartingTarget struct {
	f       *fleet
	cfg     target.Config
	journal *target.Journal

	mu      sync.Mutex
	current *target.Target // guarded by mu
	closed  bool           // guarded by mu
}

// start runs the target.
func (t *restartingTarget) start(ln net.Listener) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return net.ErrClosed
	}
	cfg := t.cfg
	cfg.Fatal = crashPath
	cfg.Ended = func() { t.restart(ln.Addr().String()) }
	var err error
	t.current, err = target.Start(ln, cfg, t.journal)
	return err
}

// restart notes that the request has restart the target, and starts it again.
func (t *restartingTarget) restart(address string) {
	t.f.crashes.add(t.f.observerChecks, t.cfg.Place, time.Now())
	time.Sleep(restartDelay)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return // the port was taken meanwhile: it stays away
	}
	if t.start(ln) != nil {
		ln.Close()
	}
}

func (t *restartingTarget) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.current.Close()
}

// crashTimes are the crashTimes of targets under the request, by place. It is safe for concurrent use.
type crashTimes struct {
	mu    sync.Mutex
	times map[string][]time.Time // guarded by mu
	total int                    // guarded by mu
}

// add counts an end, and checks that the place did not know better.
func (c *crashTimes) add(checks *invariant.Counter, place string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.times == nil {
		c.times = make(map[string][]time.Time)
	}
	c.total++
	c.times[place] = append(c.times[place], now)
	n := len(c.times[place])
	overdue := n > crashesToDetect && now.After(c.times[place][crashesToDetect-1].Add(propagationTime))
	checks.Check(invariant.Contained, !overdue, func() string {
		return fmt.Sprintf("one request has ended %d targets of %s, the last %s after the third", n, place, now.Sub(c.times[place][crashesToDetect-1]))
	})
}

// crash sends the request again and again, from each place in turn.
func (r *run) crash(ctx context.Context, fault Fault) error {
	service := r.f.snapshot.Services()[0]
	if s, ok := r.planner.measuredService(); ok {
		service = s.ID() // its requests are short, so that the targets have room for this one
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	var clients []*http.Client
	places := r.f.snapshot.Places()
	for _, place := range places {
		t := &http.Transport{DialContext: r.f.dialerOf(place, ""), DisableKeepAlives: true}
		clients = append(clients, &http.Client{Transport: t, Timeout: crashTimeout})
	}
	at := fault.At
	for n := 0; at < fault.Back && r.sleepUntil(ctx, at); n++ {
		i := n % len(places)
		entries := r.f.instances.callerAddresses(places[i])
		if len(entries) > 0 {
			address := entries[0] + peers.PrefixCall + service.String() + crashPath
			wg.Go(func() { r.sendCrashRequest(ctx, clients[i], address, n) })
		}
		at = max(at+crashInterval, time.Since(r.start))
	}
	return nil
}

// sendCrashRequest sends the request once. What comes of it shows at the targets.
func (r *run) sendCrashRequest(ctx context.Context, client *http.Client, address string, n int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		return
	}
	req.Header.Set(headerRequest, fmt.Sprintf("fatal-%d", n))
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}
