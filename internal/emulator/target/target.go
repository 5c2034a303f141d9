// Package target emulates the targets to which firlever sends requests: HTTP servers with
// slots, connection limits, cold starts, and health and load reports that lag or mislead. A
// Journal shared by all targets of a process records the requests that actually ran.
package target

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Target is one running emulated target. It is safe for concurrent use.
type Target struct {
	cfg          Config
	journal      *Journal
	ln           *listener
	srv          *http.Server
	slots        *slots
	serviceTimes *serviceTimes
	done         chan struct{} // closed when the server has ended
	crashOnce    sync.Once     // guards the crash by a poison request
	notices      noticeState

	mu     sync.Mutex
	report Report
}

// Stats counts a target's connections.
type Stats struct {
	Open    int // currently open
	Peak    int // maximum of open ones
	Refused int // closed because of the limit
}

// Start serves on ln until Close. It returns a *ConfigError if cfg is invalid.
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
	_ = t.srv.Serve(t.ln) // always returns an error, and only after Close
}

// Config returns what the target was started with, defaults included.
func (t *Target) Config() Config { return t.cfg }

// Addr returns the listener's address.
func (t *Target) Addr() string { return t.ln.Addr().String() }

// Scope returns the target's scope in the journal.
func (t *Target) Scope() Scope {
	return Scope{Place: t.cfg.Place, Service: t.cfg.Service, Target: t.cfg.Name}
}

// Stats returns the current connection counts.
func (t *Target) Stats() Stats {
	return Stats{
		Open:    int(t.ln.open.Load()),
		Peak:    int(t.ln.peak.Load()),
		Refused: int(t.ln.refused.Load()),
	}
}

// Drain refuses new requests as not run; requests accepted before are finished.
func (t *Target) Drain() { t.slots.setDraining(true) }

// Undrain accepts new requests again.
func (t *Target) Undrain() { t.slots.setDraining(false) }

// SetHealthy sets the state that the health answer reports after its lag.
func (t *Target) SetHealthy(healthy bool) { t.slots.setHealthy(healthy) }

// SetReport changes how the health and load answers differ from the actual state.
func (t *Target) SetReport(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report = r
}

// SetSlowdown sets a factor on the service times from now on; 1 for none.
func (t *Target) SetSlowdown(factor float64) { t.serviceTimes.setSlowdown(factor) }

// ResetWarmup makes the target as cold as after its start.
func (t *Target) ResetWarmup() { t.serviceTimes.resetWarmup(time.Now()) }

// crash closes the target as a poison request does, and returns when the request's connection
// has been aborted.
func (t *Target) crash(r *http.Request) {
	t.crashOnce.Do(func() {
		go func() {
			t.Close()
			if t.cfg.OnCrash != nil {
				t.cfg.OnCrash()
			}
		}()
	})
	<-r.Context().Done()
}

// Close ends the target as a crash would: all its connections are aborted.
func (t *Target) Close() error {
	err := t.srv.Close()
	<-t.done
	return errors.Annotate(err, "Target.Close")
}
