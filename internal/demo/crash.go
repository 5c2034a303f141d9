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
	fatalPath    = "/crash"
	fatalEvery   = 50 * time.Millisecond
	fatalTimeout = 2 * time.Second
	deadTime     = 300 * time.Millisecond // until a target is back
	// shownBy is how many targets of a place have to end until that shows what the request
	// does, and spreadTime how long the place's instances may then take to know.
	shownBy    = 3
	spreadTime = time.Second
)

// mortal is a stand-in for a target that comes back at its address when a request has
// ended it.
type mortal struct {
	f       *fleet
	cfg     target.Config
	journal *target.Journal

	mu     sync.Mutex
	now    *target.Target // guarded by mu
	closed bool           // guarded by mu
}

// start runs the target.
func (m *mortal) start(ln net.Listener) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return net.ErrClosed
	}
	cfg := m.cfg
	cfg.Fatal = fatalPath
	cfg.Ended = func() { m.ended(ln.Addr().String()) }
	var err error
	m.now, err = target.Start(ln, cfg, m.journal)
	return err
}

// ended notes that the request has ended the target, and starts it again.
func (m *mortal) ended(address string) {
	m.f.ends.add(m.f.truth, m.cfg.Place, time.Now())
	time.Sleep(deadTime)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return // the port was taken meanwhile: it stays away
	}
	if m.start(ln) != nil {
		ln.Close()
	}
}

func (m *mortal) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.now.Close()
}

// ends are the ends of targets under the request, by place. It is safe for concurrent use.
type ends struct {
	mu    sync.Mutex
	at    map[string][]time.Time // guarded by mu
	total int                    // guarded by mu
}

// add counts an end, and checks that the place did not know better.
func (e *ends) add(truth *invariant.Counter, place string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.at == nil {
		e.at = make(map[string][]time.Time)
	}
	e.total++
	e.at[place] = append(e.at[place], now)
	n := len(e.at[place])
	known := n > shownBy && now.After(e.at[place][shownBy-1].Add(spreadTime))
	truth.Check(invariant.Contained, !known, func() string {
		return fmt.Sprintf("one request has ended %d targets of %s, the last %s after the third", n, place, now.Sub(e.at[place][shownBy-1]))
	})
}

// crash sends the request again and again, from each place in turn.
func (r *run) crash(ctx context.Context, fault Fault) error {
	service := r.f.snapshot.Services()[0]
	if s, ok := r.planner.measured(); ok {
		service = s.ID() // its requests are short, so that the targets have room for this one
	}
	var sent sync.WaitGroup
	defer sent.Wait()
	var clients []*http.Client
	places := r.f.snapshot.Places()
	for _, place := range places {
		t := &http.Transport{DialContext: r.f.dialerOf(place, ""), DisableKeepAlives: true}
		clients = append(clients, &http.Client{Transport: t, Timeout: fatalTimeout})
	}
	at := fault.At
	for n := 0; at < fault.Back && r.until(ctx, at); n++ {
		i := n % len(places)
		entries := r.f.roll.entries(places[i])
		if len(entries) > 0 {
			address := entries[0] + peers.PrefixCall + service.String() + fatalPath
			sent.Go(func() { r.fatal(ctx, clients[i], address, n) })
		}
		at = max(at+fatalEvery, time.Since(r.start))
	}
	return nil
}

// fatal sends the request once. What comes of it shows at the targets.
func (r *run) fatal(ctx context.Context, client *http.Client, address string, n int) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		return
	}
	q.Header.Set(headerRequest, fmt.Sprintf("fatal-%d", n))
	resp, err := client.Do(q)
	if err != nil {
		return
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}
