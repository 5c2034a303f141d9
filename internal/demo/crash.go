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

// Settings of the poison request, which crashes each target that runs it.
const (
	crashPath     = "/crash"
	crashInterval = 50 * time.Millisecond
	crashTimeout  = 2 * time.Second
	restartDelay  = 300 * time.Millisecond // from a target's crash to its restart
	// crashesToDetect is the number of crashed targets of a place after which the request is
	// recognised as poison, and propagationTime the time within which all instances of the
	// place must then have received that.
	crashesToDetect = 3
	propagationTime = time.Second
)

// restartingTarget is an emulated target that restarts at the same address after a poison request
// has crashed it.
type restartingTarget struct {
	f       *fleet
	cfg     target.Config
	journal *target.Journal

	mu      sync.Mutex
	current *target.Target // guarded by mu
	closed  bool           // guarded by mu
}

// start runs the target on ln. It returns net.ErrClosed after close.
func (t *restartingTarget) start(ln net.Listener) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return net.ErrClosed
	}
	cfg := t.cfg
	cfg.CrashPath = crashPath
	cfg.OnCrash = func() { t.restart(ln.Addr().String()) }
	var err error
	t.current, err = target.Start(ln, cfg, t.journal)
	return err
}

// restart records a crash of the target and starts it again after restartDelay.
func (t *restartingTarget) restart(address string) {
	t.f.crashes.add(t.f.observerChecks, t.cfg.Place, time.Now())
	time.Sleep(restartDelay)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return // the port has been taken meanwhile: the target stays down
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

// crashTimes records when poison requests crashed targets. It is safe for concurrent use.
type crashTimes struct {
	mu    sync.Mutex
	times map[string][]time.Time // by place; guarded by mu
	total int                    // guarded by mu
}

// add records a crash. It checks that the crash did not come after the place's instances had to
// suppress the request.
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
	checks.Check(invariant.PoisonSuppressed, !overdue, func() string {
		return fmt.Sprintf("one request has crashed %d targets of %s, the last %s after the third", n, place, now.Sub(c.times[place][crashesToDetect-1]))
	})
}

// crash sends the poison request every crashInterval until fault.Back, from each place in turn.
func (r *run) crash(ctx context.Context, fault Fault) error {
	service := r.f.snapshot.Services()[0]
	if s, ok := r.planner.measuredService(); ok {
		service = s.ID() // its requests are short, so its targets have free slots for this one
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

// sendCrashRequest sends the poison request once. It ignores the result: crashes are recorded at
// the targets.
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
