// Package target is a stand-in for the targets that firlever sends requests to:
// HTTP servers with slots, connection limits, cold starts, and health and load
// reports that lag or mislead. A Journal shared by all targets of a process
// records what really ran.
package target

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Target is one running stand-in. It is safe for concurrent use.
type Target struct {
	cfg          Config
	journal      *Journal
	ln           *listener
	srv          *http.Server
	slots        *slots
	serviceTimes *serviceTimes
	done         chan struct{} // closed when the server has ended
	crashOnce    sync.Once     // of what ends it
	notices      noticeState

	mu     sync.Mutex
	report Report
}

// Stats counts a target's connections.
type Stats struct {
	Open    int // now
	Peak    int // most at one time
	Refused int // closed for being over the limit
}

// Start serves on ln until Close. It returns a *ConfigError when cfg is faulty.
func Start(ln net.Listener, cfg Config, j *Journal) (*Target, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "target.Start")
	}
	now := time.Now()
	t := &Target{
		cfg:          cfg,
		journal:      j,
		ln:           newListener(ln, cfg),
		slots:        newSlots(cfg.Slots, cfg.Queue, now),
		serviceTimes: newServiceTimes(cfg, now),
		done:         make(chan struct{}),
		report:       cfg.Report,
	}
	t.srv = &http.Server{Handler: t}
	go t.serve()
	return t, nil
}

func (t *Target) serve() {
	defer close(t.done)
	_ = t.srv.Serve(t.ln) // always an error, and Close is the only cause
}

// Config returns what the target was started with, defaults included.
func (t *Target) Config() Config { return t.cfg }

// Addr returns the listener's address.
func (t *Target) Addr() string { return t.ln.Addr().String() }

// Scope names the target in the journal.
func (t *Target) Scope() Scope {
	return Scope{Place: t.cfg.Place, Service: t.cfg.Service, Target: t.cfg.Name}
}

// Stats returns the counts of connections.
func (t *Target) Stats() Stats {
	return Stats{
		Open:    int(t.ln.open.Load()),
		Peak:    int(t.ln.peak.Load()),
		Refused: int(t.ln.refused.Load()),
	}
}

// Drain refuses new requests as not run; those taken before are finished.
func (t *Target) Drain() { t.slots.setDraining(true) }

// Undrain takes new requests again.
func (t *Target) Undrain() { t.slots.setDraining(false) }

// SetHealthy sets what the health answer tells, after its lag.
func (t *Target) SetHealthy(healthy bool) { t.slots.setHealthy(healthy) }

// SetReport changes how the health and load answers differ from the truth.
func (t *Target) SetReport(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report = r
}

// SetSlowdown multiplies the service times from now on; 1 for none.
func (t *Target) SetSlowdown(factor float64) { t.serviceTimes.setSlowdown(factor) }

// Cool makes the target as cold as at its start.
func (t *Target) Cool() { t.serviceTimes.resetWarmup(time.Now()) }

// crash ends the target under a request, and returns when its connection has broken.
func (t *Target) crash(r *http.Request) {
	t.crashOnce.Do(func() {
		go func() {
			t.Close()
			if t.cfg.Ended != nil {
				t.cfg.Ended()
			}
		}()
	})
	<-r.Context().Done()
}

// Close ends the target as a crash would: all its connections break.
func (t *Target) Close() error {
	err := t.srv.Close()
	<-t.done
	return errors.Annotate(err, "Target.Close")
}
